// Stand-in for the platform: log service, endpoint orders, instance list,
// usage reports and weight store.

#include <gflags/gflags.h>
#include <glog/logging.h>

#include "common.h"
#include "common_logserver.h"
#include "json.h"
#include "listener.h"

DEFINE_uint32(port, 0, "TCP port to listen on at 127.0.0.1; required");
DEFINE_double(append_rate, 400,
              "appends a second that the log accepts; 0 for no limit");
DEFINE_double(append_burst, 100, "appends that the log accepts at once");
DEFINE_uint64(retain_records, 100'000, "records that each stream keeps");
DEFINE_uint32(retain_s, 3600, "time for which records are kept, seconds");

namespace comfreypaddle::standins {
namespace {

LogModel LogFromFlags() {
  LogModel log;
  log.m_appends = MakeBucket(FLAGS_append_rate, FLAGS_append_burst, Now());
  log.m_retain_records = FLAGS_retain_records;
  log.m_retain_time = std::chrono::seconds(FLAGS_retain_s);
  return log;
}

ListenerOptions OptionsFromFlags() {
  ListenerOptions options;
  options.m_port = static_cast<std::uint16_t>(FLAGS_port);
  options.m_max_body_bytes = 64U << 20U;
  return options;
}

// The whole stand-in: one loop, one listener and the parts behind it.
class FakePlatform {
 public:
  FakePlatform()
      : m_listener(
            m_loop, OptionsFromFlags(),
            [this](HttpRequest request) { Handle(std::move(request)); },
            [this](std::uint64_t id) { m_log.HandleGone(id); }),
        m_log(m_loop, m_listener, LogFromFlags()),
        m_termination(m_loop, [this] { m_loop.Stop(); }) {}

  int Run() {
    const std::error_code error = m_listener.Open();
    if (error) {
      LOG(ERROR) << "cannot listen on port " << FLAGS_port << ": "
                 << error.message();
      return 1;
    }
    LOG(INFO) << "platform stand-in listens on 127.0.0.1:" << FLAGS_port;
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
      RespondJson(m_listener, request.m_id, 200, stats);
    } else {
      RespondProblem(m_listener, request.m_id, 404, "not_found",
                     Outcome::kNotRun, "The platform has no such path.");
    }
  }

  void HandleFaults(const HttpRequest& request) {
    schema::PlatformFaults faults;
    auto mistake = FromJson(request.m_body, UnknownFields::kReject, &faults);
    if (!mistake && !m_log.Apply(faults)) mistake = "unknown outage mode";
    if (mistake) {
      RespondProblem(m_listener, request.m_id, 400, "invalid_faults",
                     Outcome::kNotRun, *mistake);
      return;
    }
    LOG(INFO) << "faults set: " << request.m_body;
    RespondJson(m_listener, request.m_id, 200, faults);
  }

  EventLoop m_loop;
  Listener m_listener;
  LogServer m_log;
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
