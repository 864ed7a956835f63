// Simulated model engine.

#include <gflags/gflags.h>
#include <glog/logging.h>
#include <unistd.h>

#include <utility>

#include "common.h"
#include "common_engineserver.h"
#include "listener.h"

DEFINE_uint32(port, 0, "TCP port to listen on at 127.0.0.1; required");
DEFINE_string(model, "", "name of the loaded model; required");
DEFINE_string(adapters, "", "comma-separated names of loaded adapters");
DEFINE_string(zone, "", "availability zone, for log lines only");
DEFINE_string(class, "on_demand",
              "endpoint class, on_demand or cheap, for log lines only");
DEFINE_string(role, "mixed", "role at the start: mixed, prefill or decode");
DEFINE_bool(checks_fencing, false,
            "refuse orders with a fencing number below the highest seen");
DEFINE_uint32(step_us, 20'000, "time between two decode steps, microseconds");
DEFINE_uint32(step_tokens, 1, "tokens of each stream in one decode step");
DEFINE_uint32(prefill_token_us, 50,
              "prefill time of a prompt token, microseconds");
DEFINE_double(cached_share, 0.1,
              "prefill time of a cached token relative to another, 0 to 1");
DEFINE_uint32(kv_pieces, 1000,
              "size of the KV cache in pieces of 2,000 tokens");
DEFINE_uint32(cache_pieces, 200,
              "size of the prefix cache in pieces of 2,000 tokens");
DEFINE_uint32(max_running, 256, "maximum number of running streams");
DEFINE_uint32(max_queued, 10'000, "maximum number of queued streams");
DEFINE_uint32(retention_ms, 60'000,
              "time for which a stream is retained after it ended or its "
              "caller disconnected, milliseconds");
DEFINE_uint32(load_lag_ms, 0, "age of load reports, milliseconds");
DEFINE_uint32(load_ms, 1000,
              "time to load a model or an adapter, milliseconds");
DEFINE_uint32(role_ms, 1000, "time of a role change, milliseconds");
DEFINE_uint32(cache_event_lag_ms, 500,
              "time after which cache events are published, milliseconds");
DEFINE_uint32(cache_event_gap_every, 0,
              "withhold every n-th cache event; 0 publishes all");
DEFINE_uint32(kv_block_us, 100,
              "time to import one block of 64 tokens, microseconds");
DEFINE_string(crash_marker, "CRASH_ENDPOINT",
              "text in a prompt that makes the process crash; empty for none");
DEFINE_string(forbidden_secret, "",
              "text that must not arrive in any request; /stats counts the "
              "requests that contain it");

namespace comfreypaddle::standins {
namespace {

// Allows for many entry instances with one connection per stream.
constexpr std::uint32_t kMaxConnections = 16'384;

ListenerOptions OptionsFromFlags() {
  ListenerOptions options;
  options.m_port = static_cast<std::uint16_t>(FLAGS_port);
  options.m_max_connections = kMaxConnections;
  options.m_max_body_bytes = 64U << 20U;
  return options;
}

EngineModel ModelFromFlags() {
  EngineModel model;
  EngineSettings& settings = model.m_settings;
  settings.m_step = std::chrono::microseconds(FLAGS_step_us);
  settings.m_step_tokens = FLAGS_step_tokens;
  settings.m_prefill_token = std::chrono::microseconds(FLAGS_prefill_token_us);
  settings.m_cached_share = FLAGS_cached_share;
  settings.m_kv_pieces = FLAGS_kv_pieces;
  settings.m_max_running = FLAGS_max_running;
  settings.m_max_queued = FLAGS_max_queued;
  settings.m_retention = std::chrono::milliseconds(FLAGS_retention_ms);
  model.m_model = FLAGS_model;
  for (std::string& adapter : Split(FLAGS_adapters, ',')) {
    model.m_adapters.insert(std::move(adapter));
  }
  model.m_role =
      FromName<EndpointRole>(FLAGS_role).value_or(EndpointRole::kMixed);
  model.m_crash_marker = FLAGS_crash_marker;
  model.m_cache.m_max_blocks =
      std::size_t{FLAGS_cache_pieces} * kPieceTokens / kBlockTokens;
  model.m_cache.m_gap_every = FLAGS_cache_event_gap_every;
  return model;
}

EngineOrders OrdersFromFlags() {
  EngineOrders orders;
  orders.m_checks_fencing = FLAGS_checks_fencing;
  orders.m_load_time = std::chrono::milliseconds(FLAGS_load_ms);
  orders.m_role_time = std::chrono::milliseconds(FLAGS_role_ms);
  return orders;
}

EngineServerOptions ServerOptionsFromFlags() {
  EngineServerOptions options;
  options.m_forbidden_secret = FLAGS_forbidden_secret;
  options.m_load_lag = std::chrono::milliseconds(FLAGS_load_lag_ms);
  options.m_cache_event_lag =
      std::chrono::milliseconds(FLAGS_cache_event_lag_ms);
  options.m_kv_block_time = std::chrono::microseconds(FLAGS_kv_block_us);
  return options;
}

// Terminates the process without cleanup, as a crash does.
void TerminateProcess(int status) {
  LOG(INFO) << "engine stand-in exiting with status " << status;
  google::FlushLogFiles(google::INFO);
  _exit(status);
}

// Returns a description of the first invalid flag, or an empty string.
std::string CheckFlags() {
  if (FLAGS_port == 0 || FLAGS_port > 65535) {
    return "--port must be between 1 and 65535";
  }
  if (FLAGS_model.empty()) return "--model is required";
  if (!FromName<EndpointRole>(FLAGS_role)) return "--role is invalid";
  if (!FromName<EndpointClass>(FLAGS_class)) return "--class is invalid";
  if (FLAGS_step_us == 0 || FLAGS_step_tokens == 0) {
    return "--step_us and --step_tokens must not be 0";
  }
  return {};
}

int Run() {
  EventLoop loop;
  std::optional<EngineServer> server;
  Listener listener(
      loop, OptionsFromFlags(),
      [&server](const HttpRequest& request) { server->Handle(request); },
      [&server](std::uint64_t id) { server->HandleDisconnect(id); });
  server.emplace(loop, listener, ModelFromFlags(), OrdersFromFlags(),
                 ServerOptionsFromFlags(), &TerminateProcess);
  const TerminationWatch termination(loop, [&loop] { loop.Stop(); });
  if (const std::error_code error = listener.Open()) {
    LOG(ERROR) << "cannot listen on port " << FLAGS_port << ": "
               << error.message();
    return 1;
  }
  LOG(INFO) << "engine stand-in listening on 127.0.0.1:" << FLAGS_port
            << " model=" << FLAGS_model << " zone=" << FLAGS_zone
            << " class=" << FLAGS_class;
  loop.Run();
  return 0;
}

}  // namespace
}  // namespace comfreypaddle::standins

int main(int argc, char** argv) {
  namespace standins = comfreypaddle::standins;
  standins::InitProgram(&argc, &argv, "stand-in for a model engine");
  const std::string mistake = standins::CheckFlags();
  if (!mistake.empty()) {
    LOG(ERROR) << mistake;
    return 2;
  }
  return standins::Run();
}
