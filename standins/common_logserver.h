#ifndef COMFREYPADDLE_STANDINS_COMMON_LOGSERVER_H_
#define COMFREYPADDLE_STANDINS_COMMON_LOGSERVER_H_

#include <map>
#include <string>

#include "common_log.h"
#include "standins.pb.h"

namespace comfreypaddle::standins {

// Serves the log protocol from a LogModel, with faults.
class LogServer {
 public:
  LogServer(EventLoop& loop, ResponsePort& port, LogModel log);

  // Answers a request for a path below /log/v1/streams/, now or later.
  void Handle(HttpRequest request);

  // Forgets a read that waits for a caller who left.
  void HandleGone(std::uint64_t id);

  // Returns false if the outage mode has an unknown name.
  bool Apply(const schema::PlatformFaults& faults);

  void AddStats(schema::PlatformStats* stats) const;

 private:
  // Read that waits for an entry to be appended.
  struct Waiter {
    std::string m_stream;
    std::uint64_t m_from = 0;
    std::uint64_t m_max = 0;
    EventLoop::TimerId m_timer = 0;
  };

  void HandleAppend(std::uint64_t id, const std::string& stream,
                    std::string body);
  void TakeAppend(std::uint64_t id, const std::string& stream,
                  std::string body);
  void HandleRead(const HttpRequest& request, const std::string& stream);
  void AnswerRead(std::uint64_t id, const std::string& stream,
                  std::uint64_t from, std::uint64_t max);
  void WakeReaders(const std::string& stream);
  void EndWaits();
  void Later(Duration delay, EventLoop::Callback action);

  EventLoop& m_loop;
  ResponsePort& m_port;
  LogModel m_log;
  std::map<std::uint64_t, Waiter> m_waiters;
  OutageMode m_outage = OutageMode::kNone;
  std::uint32_t m_lose_answers = 0;
  Duration m_answer_delay{0};
  Duration m_effect_delay{0};
  schema::PlatformStats m_stats;
};

}  // namespace comfreypaddle::standins

#endif  // COMFREYPADDLE_STANDINS_COMMON_LOGSERVER_H_
