#ifndef COMFREYPADDLE_STANDINS_COMMON_ENGINESERVER_H_
#define COMFREYPADDLE_STANDINS_COMMON_ENGINESERVER_H_

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <unordered_map>

#include "common.h"
#include "common_engine.h"
#include "common_orders.h"
#include "http.h"
#include "loop.h"
#include "standins.pb.h"

namespace comfreypaddle::standins {

// Exit status of a simulated crash: 128 plus SIGABRT.
inline constexpr int kAbortStatus = 134;

struct EngineServerOptions {
  std::string m_forbidden_secret;
  Duration m_load_lag{0};
  Duration m_cache_event_lag{0};
  Duration m_kv_block_time{0};  // Import time per block.
  std::size_t m_max_requests_recorded = 100'000;
};

// HTTP server of the engine protocol on top of an EngineModel, with fault
// injection.
class EngineServer {
 public:
  using OnExit = std::function<void(int status)>;

  // on_exit terminates the process; a nonzero status simulates a crash.
  EngineServer(EventLoop& loop, ResponsePort& port, EngineModel model,
               EngineOrders orders, EngineServerOptions options,
               OnExit on_exit);

  void Handle(const HttpRequest& request);

  // Handles a caller disconnect. The stream keeps running for a resume.
  void HandleDisconnect(std::uint64_t id);

 private:
  // Connection that receives a stream.
  struct Attachment {
    std::uint64_t m_caller = 0;
    std::uint64_t m_connection = 0;
    std::uint32_t m_sent = 0;     // Last position sent.
    std::uint32_t m_written = 0;  // Tokens sent on this connection.
    std::uint32_t m_delayed_position =
        0;  // Position delayed by the reorder fault.
    Instant m_last_write;
  };

  void Route(const HttpRequest& request);
  void RouteStream(const HttpRequest& request);
  void HandleGenerate(const HttpRequest& request);
  void HandleResume(const HttpRequest& request, const std::string& stream);
  void HandleCancel(const HttpRequest& request, const std::string& stream);
  void HandleOrder(const HttpRequest& request);
  void HandleOrderStatus(const HttpRequest& request);
  void HandleLoad(std::uint64_t id);
  void HandleCacheEvents(const HttpRequest& request);
  void HandleKvTransfer(const HttpRequest& request);
  void HandleFaults(const HttpRequest& request);
  void HandleStats(std::uint64_t id);
  void ApplyStreamFaults(const schema::EngineFaults& faults);
  void ApplyProcessFaults(const schema::EngineFaults& faults);
  void Attach(EngineStream& stream, const HttpRequest& request,
              std::uint32_t from);
  void Detach(const std::string& stream);
  bool IsSilent(const Attachment& attachment) const;
  void ScheduleStep();
  void RunStep();
  void Send(EngineStream& stream);
  void AppendToken(const EngineStream& stream, Attachment& attachment,
                   std::uint32_t position);
  bool ShouldDrop(const Attachment& attachment);
  void SendHeartbeats();
  void RecordLoad();
  schema::EngineRequestSeen* Record(const std::string& request_id);
  void RecordEnd(const EngineStream& stream);
  void Refuse(std::uint64_t id, int status, std::string_view code,
              Outcome outcome);

  EventLoop& m_loop;
  ResponsePort& m_port;
  EngineModel m_model;
  EngineOrders m_orders;
  EngineServerOptions m_options;
  OnExit m_on_exit;
  schema::EngineFaults m_faults;
  schema::EngineStats m_stats;
  std::unordered_map<std::string, schema::EngineRequestSeen> m_requests;
  std::unordered_map<std::string, Attachment> m_attachments;
  std::unordered_map<std::uint64_t, std::string> m_stream_of_caller;
  std::deque<std::pair<Instant, schema::EndpointLoad>> m_loads;
  std::string m_incarnation;
  std::string m_buffer;
  std::uint64_t m_highest_connection = 0;
  // Connections up to this id are silent.
  std::uint64_t m_silent_connection = 0;
  std::uint32_t m_dropped = 0;
  Instant m_started;
  Instant m_step_due;
  Instant m_last_step;
  bool m_step_scheduled = false;
  bool m_idle = true;
  PeriodicTimer m_heartbeat;
  PeriodicTimer m_load_timer;
};

}  // namespace comfreypaddle::standins

#endif  // COMFREYPADDLE_STANDINS_COMMON_ENGINESERVER_H_
