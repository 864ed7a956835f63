#include "loop.h"

#include <ace/Event_Handler_Handle_Timeout_Upcall.h>
#include <ace/Monotonic_Time_Policy.h>
#include <ace/Select_Reactor.h>
#include <ace/Timer_Heap_T.h>
#include <glog/logging.h>
#include <time.h>

#include <utility>

namespace comfreypaddle {

namespace {

// Timer queue on the monotonic clock, so that adjustments of the wall clock do
// not affect timeouts.
using MonotonicTimerHeap =
    ACE_Timer_Heap_T<ACE_Event_Handler*,
                     ACE_Event_Handler_Handle_Timeout_Upcall,
                     ACE_SYNCH_RECURSIVE_MUTEX, ACE_Monotonic_Time_Policy>;

ACE_Time_Value ToAceTime(Duration delay) {
  const auto us = std::max<std::int64_t>(delay.count(), 0);
  return ACE_Time_Value(us / 1'000'000, us % 1'000'000);
}

}  // namespace

Instant Now() {
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return Instant(std::chrono::seconds(time.tv_sec) +
                 std::chrono::duration_cast<Duration>(
                     std::chrono::nanoseconds(time.tv_nsec)));
}

// Adapts a callback to the reactor's handler interface.
class EventLoop::Handler : public ACE_Event_Handler {
 public:
  explicit Handler(Callback callback) : m_callback(std::move(callback)) {}

  int handle_input(ACE_HANDLE /*descriptor*/) override {
    m_callback();
    return 0;
  }

  int handle_timeout(const ACE_Time_Value& /*now*/,
                     const void* /*argument*/) override {
    m_callback();
    return 0;
  }

 private:
  Callback m_callback;
};

EventLoop::EventLoop()
    : m_timers(std::make_unique<MonotonicTimerHeap>()),
      m_reactor(std::make_unique<ACE_Reactor>(
          new ACE_Select_Reactor(nullptr, m_timers.get()), true)) {}

EventLoop::~EventLoop() {
  while (!m_watches.empty()) Unwatch(m_watches.begin()->first);
  while (!m_pending.empty()) CancelTimer(m_pending.begin()->first);
}

void EventLoop::Watch(int descriptor, Callback on_readable) {
  auto handler = std::make_unique<Handler>(std::move(on_readable));
  const int result = m_reactor->register_handler(descriptor, handler.get(),
                                                 ACE_Event_Handler::READ_MASK);
  CHECK_EQ(result, 0) << "cannot watch descriptor " << descriptor;
  m_watches[descriptor] = std::move(handler);
}

// The handler may be running, so it is destroyed only after the current
// iteration of the loop.
void EventLoop::Unwatch(int descriptor) {
  const auto found = m_watches.find(descriptor);
  if (found == m_watches.end()) return;
  m_reactor->remove_handler(
      descriptor, ACE_Event_Handler::READ_MASK | ACE_Event_Handler::DONT_CALL);
  m_retired.push_back(std::move(found->second));
  m_watches.erase(found);
}

EventLoop::TimerId EventLoop::StartTimer(Duration delay, Callback on_timeout) {
  const TimerId id = m_next_timer++;
  auto handler =
      std::make_unique<Handler>([this, id, callback = std::move(on_timeout)] {
        const auto found = m_pending.find(id);
        if (found == m_pending.end()) return;
        m_retired.push_back(std::move(found->second));
        m_pending.erase(found);
        callback();
      });
  const auto result =
      m_reactor->schedule_timer(handler.get(), nullptr, ToAceTime(delay));
  CHECK_NE(result, -1) << "cannot schedule a timer";
  m_pending[id] = std::move(handler);
  return id;
}

void EventLoop::CancelTimer(TimerId id) {
  const auto found = m_pending.find(id);
  if (found == m_pending.end()) return;
  m_reactor->cancel_timer(found->second.get());
  m_retired.push_back(std::move(found->second));
  m_pending.erase(found);
}

void EventLoop::TakeOwnership() { m_reactor->owner(ACE_Thread::self()); }

void EventLoop::Run() {
  m_running = true;
  while (m_running) {
    if (m_reactor->handle_events() < 0 && errno != EINTR) {
      PLOG(FATAL) << "event loop failed";
    }
    m_retired.clear();
  }
}

PeriodicTimer::PeriodicTimer(EventLoop& loop, Duration period,
                             EventLoop::Callback tick)
    : m_loop(loop), m_period(period), m_tick(std::move(tick)) {
  Arm();
}

PeriodicTimer::~PeriodicTimer() { m_loop.CancelTimer(m_timer); }

void PeriodicTimer::Arm() {
  m_timer = m_loop.StartTimer(m_period, [this] {
    Arm();
    m_tick();
  });
}

}  // namespace comfreypaddle
