#ifndef COMFREYPADDLE_STANDINS_COMMON_LOGSERVER_H_
#define COMFREYPADDLE_STANDINS_COMMON_LOGSERVER_H_

#include <map>
#include <string>

#include "common_log.h"
#include "standins.pb.h"

namespace comfreypaddle::standins {

// HTTP server of the log protocol on top of a LogModel, with fault injection.
class LogServer {
 public:
  LogServer(EventLoop& loop, ResponsePort& port, LogModel log);

  // Handles a request below /log/v1/streams/. The response may be deferred.
  void Handle(HttpRequest request);

  // Cancels the pending read of a disconnected caller.
  void HandleDisconnect(std::uint64_t id);

  // Returns false if the outage mode is unknown.
  bool Apply(const schema::PlatformFaults& faults);

  void AddStats(schema::PlatformStats* stats) const;

 private:
  // Long-poll read that waits for an append.
  struct PendingRead {
    std::string m_stream;
    std::uint64_t m_from = 0;
    std::uint64_t m_max = 0;
    EventLoop::TimerId m_timer = 0;
  };

  void HandleAppend(std::uint64_t id, const std::string& stream,
                    std::string body);
  void ApplyAppend(std::uint64_t id, const std::string& stream,
                   std::string body);
  void HandleRead(const HttpRequest& request, const std::string& stream);
  void SendReadResponse(std::uint64_t id, const std::string& stream,
                        std::uint64_t from, std::uint64_t max);
  void WakeReaders(const std::string& stream);
  void EndPendingReads();
  void RunAfter(Duration delay, EventLoop::Callback action);

  EventLoop& m_loop;
  ResponsePort& m_port;
  LogModel m_log;
  std::map<std::uint64_t, PendingRead> m_pending_reads;
  OutageMode m_outage = OutageMode::kNone;
  std::uint32_t m_lose_answers = 0;
  Duration m_answer_delay{0};
  Duration m_effect_delay{0};
  schema::PlatformStats m_stats;
};

}  // namespace comfreypaddle::standins

#endif  // COMFREYPADDLE_STANDINS_COMMON_LOGSERVER_H_
