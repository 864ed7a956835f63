#ifndef COMFREYPADDLE_LOOP_H_
#define COMFREYPADDLE_LOOP_H_

#include <ace/Reactor.h>

#include <functional>
#include <map>
#include <memory>

#include "types.h"

namespace comfreypaddle {

// Returns the time since boot. It is monotonic and, unlike steady_clock, also
// advances while the machine is suspended, so that leases and deadlines that
// expire during a suspend are recognized as expired.
Instant Now();

// Event loop of one task: descriptors and timers of an ACE_Select_Reactor.
//
// ACE_Select_Reactor is used because ACE_Dev_Poll_Reactor busy-polls with a
// zero timeout during the last millisecond before each timer. Each library
// registers a single nested epoll descriptor, so FD_SETSIZE does not limit
// the number of connections.
class EventLoop {
 public:
  using Callback = std::function<void()>;
  using TimerId = std::int64_t;

  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  // Calls back in the loop's thread whenever the descriptor is readable. The
  // caller keeps ownership and must call Unwatch before closing it.
  void Watch(int descriptor, Callback on_readable);

  void Unwatch(int descriptor);

  // Starts a one-shot timer. Returns its id for CancelTimer.
  TimerId StartTimer(Duration delay, Callback on_timeout);

  // Cancels a timer. Expired and unknown ids are ignored.
  void CancelTimer(TimerId id);

  // Runs until a callback calls Stop. May be called again afterwards.
  void Run();

  // Makes Run return. May be called only in the loop's thread.
  void Stop() { m_running = false; }

  // Makes the calling thread the owner, which may run the loop.
  void TakeOwnership();

 private:
  class Handler;

  std::unique_ptr<ACE_Timer_Queue> m_timers;
  std::unique_ptr<ACE_Reactor> m_reactor;
  std::map<int, std::unique_ptr<Handler>> m_watches;
  std::map<TimerId, std::unique_ptr<Handler>> m_pending;
  std::vector<std::unique_ptr<Handler>> m_retired;
  TimerId m_next_timer = 1;
  bool m_running = true;
};

// Calls back periodically until destroyed. Missed periods are skipped, not
// made up for.
class PeriodicTimer {
 public:
  PeriodicTimer(EventLoop& loop, Duration period, EventLoop::Callback tick);
  ~PeriodicTimer();
  PeriodicTimer(const PeriodicTimer&) = delete;
  PeriodicTimer& operator=(const PeriodicTimer&) = delete;

 private:
  void Arm();

  EventLoop& m_loop;
  Duration m_period;
  EventLoop::Callback m_tick;
  EventLoop::TimerId m_timer = 0;
};

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_LOOP_H_
