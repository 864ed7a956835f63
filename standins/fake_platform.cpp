// Simulated platform: log service, endpoint orders, instance list, usage
// reports and weight store.

#include <gflags/gflags.h>
#include <glog/logging.h>

#include <algorithm>
#include <cstdlib>

#include "common.h"
#include "common_logserver.h"
#include "common_platformserver.h"
#include "curlclient.h"
#include "json.h"
#include "listener.h"

DEFINE_uint32(port, 0, "TCP port to listen on at 127.0.0.1; required");
DEFINE_double(append_rate, 400,
              "append rate limit of the log, per second; 0 for no limit");
DEFINE_double(append_burst, 100, "burst size of the append rate limit");
DEFINE_uint64(retain_records, 100'000, "records that each stream keeps");
DEFINE_uint32(retain_s, 3600, "time for which records are kept, seconds");
DEFINE_uint32(lead_time_ms, 2000,
              "time from an endpoint order to the ready phase, milliseconds");
DEFINE_uint32(release_ms, 1000,
              "time from a release to the gone phase, milliseconds");
DEFINE_string(instances, "", "comma-separated NAME/ZONE of live instances");
DEFINE_uint32(instances_lag_ms, 1000,
              "time after which the instance list shows that an instance is "
              "leaving, milliseconds");
DEFINE_string(endpoints, "",
              "comma-separated NAME/FLEET/ZONE/CLASS/IP:PORT of endpoints that "
              "are ready from the start, with /checks at the end if the "
              "endpoint checks fencing numbers");
DEFINE_string(addresses, "",
              "comma-separated FLEET/ZONE/IP:PORT of processes that endpoint "
              "orders may use, with /checks at the end if the process checks "
              "fencing numbers; an order without an address stays in the "
              "starting phase");
DEFINE_double(
    weights_rate, 2,
    "read rate limit of the weight store, per second; 0 for no limit");
DEFINE_uint32(weights_read_ms, 200, "time of a weight read, milliseconds");
DEFINE_uint32(weights_bytes, 4096, "size of the weights, bytes");

namespace comfreypaddle::standins {
namespace {

LogModel LogFromFlags() {
  LogModel log;
  log.m_appends = MakeTokenBucket(FLAGS_append_rate, FLAGS_append_burst, Now());
  log.m_retain_records = FLAGS_retain_records;
  log.m_retain_time = std::chrono::seconds(FLAGS_retain_s);
  return log;
}

// Exits with status 2 if an entry does not have the form in the flag's help.
PlatformModel PlatformFromFlags() {
  PlatformModel model;
  model.m_lead_time = std::chrono::milliseconds(FLAGS_lead_time_ms);
  model.m_release_time = std::chrono::milliseconds(FLAGS_release_ms);
  model.m_instances_lag = std::chrono::milliseconds(FLAGS_instances_lag_ms);
  for (const std::string& instance : Split(FLAGS_instances, ',')) {
    AddInstance(model, instance);
  }
  for (const std::string& endpoint : Split(FLAGS_endpoints, ',')) {
    if (!AddListedEndpoint(model, endpoint)) {
      LOG(ERROR) << "--endpoints: invalid entry " << endpoint;
      std::exit(2);
    }
  }
  for (const std::string& address : Split(FLAGS_addresses, ',')) {
    if (!AddPoolAddress(model, address)) {
      LOG(ERROR) << "--addresses: invalid entry " << address;
      std::exit(2);
    }
  }
  return model;
}

WeightStore WeightsFromFlags() {
  return {MakeTokenBucket(FLAGS_weights_rate, std::max(1.0, FLAGS_weights_rate),
                          Now()),
          std::chrono::milliseconds(FLAGS_weights_read_ms),
          FLAGS_weights_bytes};
}

ListenerOptions OptionsFromFlags() {
  ListenerOptions options;
  options.m_port = static_cast<std::uint16_t>(FLAGS_port);
  options.m_max_body_bytes = 64U << 20U;
  return options;
}

// Runs one event loop and one listener, and dispatches requests to the log and
// platform servers.
class FakePlatform {
 public:
  FakePlatform()
      : m_listener(
            m_loop, OptionsFromFlags(),
            [this](HttpRequest request) { Handle(std::move(request)); },
            [this](std::uint64_t id) { m_log.HandleDisconnect(id); }),
        m_client(m_loop),
        m_log(m_loop, m_listener, LogFromFlags()),
        m_platform(m_loop, m_listener, m_client, PlatformFromFlags(),
                   WeightsFromFlags()),
        m_termination(m_loop, [this] { m_loop.Stop(); }) {}

  int Run() {
    const std::error_code error = m_listener.Open();
    if (error) {
      LOG(ERROR) << "cannot listen on port " << FLAGS_port << ": "
                 << error.message();
      return 1;
    }
    LOG(INFO) << "platform stand-in listening on 127.0.0.1:" << FLAGS_port;
    m_loop.Run();
    return 0;
  }

 private:
  void Handle(HttpRequest request) {
    if (request.m_path.rfind("/log/v1/streams/", 0) == 0) {
      m_log.Handle(std::move(request));
    } else if (request.m_path == "/faults" && request.m_method == "POST") {
      HandleFaults(request);
    } else if (request.m_path == "/stats") {
      schema::PlatformStats stats;
      m_log.AddStats(&stats);
      m_platform.AddStats(&stats);
      RespondJson(m_listener, request.m_id, 200, stats);
    } else {
      m_platform.Handle(request);
    }
  }

  void HandleFaults(const HttpRequest& request) {
    schema::PlatformFaults faults;
    auto mistake = FromJson(request.m_body, UnknownFields::kReject, &faults);
    if (!mistake && !m_log.Apply(faults)) mistake = "unknown log outage mode";
    if (!mistake) {
      const std::string platform_mistake = m_platform.Apply(faults);
      if (!platform_mistake.empty()) mistake = platform_mistake;
    }
    if (mistake) {
      RespondProblem(m_listener, request.m_id, 400, "invalid_faults",
                     Outcome::kNotRun, *mistake);
      return;
    }
    LOG(INFO) << "fault injection settings updated: " << request.m_body;
    RespondJson(m_listener, request.m_id, 200, faults);
  }

  EventLoop m_loop;
  Listener m_listener;
  CurlClient m_client;
  LogServer m_log;
  PlatformServer m_platform;
  TerminationWatch m_termination;
};

}  // namespace
}  // namespace comfreypaddle::standins

int main(int argc, char** argv) {
  comfreypaddle::standins::InitProgram(
      &argc, &argv, "stand-in for the platform's log, orders and usage");
  if (FLAGS_port == 0 || FLAGS_port > 65535) {
    LOG(ERROR) << "--port must be between 1 and 65535";
    return 2;
  }
  return comfreypaddle::standins::FakePlatform().Run();
}
