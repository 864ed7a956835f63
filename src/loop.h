#ifndef COMFREYPADDLE_LOOP_H_
#define COMFREYPADDLE_LOOP_H_

#include <ace/Reactor.h>

#include <functional>
#include <map>
#include <memory>

#include "types.h"

namespace comfreypaddle {

// Reads the clock since boot. It is monotonic and, unlike the steady clock,
// counts the time for which the machine is suspended, so that a lease or a
// deadline that passed meanwhile is seen to have passed.
Instant Now();

// Event loop of one task: descriptors and timers on an ACE_Select_Reactor.
//
// ACE_Select_Reactor is used because ACE_Dev_Poll_Reactor polls with a zero
// timeout during the last millisecond before each timer. Callers register one
// nested epoll descriptor for each library, so FD_SETSIZE does not limit the
// number of connections.
class EventLoop {
 public:
  using Callback = std::function<void()>;
  using TimerId = std::int64_t;

  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  // Calls back in the loop's thread whenever the descriptor is readable. The
  // descriptor stays the caller's and must be unwatched before it is closed.
  void Watch(int descriptor, Callback on_readable);

  void Unwatch(int descriptor);

  // Calls back once after the delay. Returns an id for CancelTimer.
  TimerId StartTimer(Duration delay, Callback on_timeout);

  // Cancels a timer; ids that have expired or are unknown are ignored.
  void CancelTimer(TimerId id);

  // Runs until Stop is called from a callback. May be called again.
  void Run();

  // Ends Run after the current callback. Call it in the loop's thread only.
  void Stop() { m_running = false; }

  // Makes the calling thread the one that may run the loop.
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

// Calls back with a fixed period until destroyed. A late call does not cause
// the missed ones to be made up for.
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
