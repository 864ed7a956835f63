// Simulated replica of a plain service. Accepts and counts every call.

#include <gflags/gflags.h>
#include <glog/logging.h>

#include <optional>
#include <utility>

#include "common.h"
#include "json.h"
#include "listener.h"
#include "standins.pb.h"

DEFINE_uint32(port, 0, "TCP port to listen on at 127.0.0.1; required");
DEFINE_uint32(answer_ms, 5, "duration of a call, milliseconds");
DEFINE_uint32(stats_calls, 1'000'000,
              "maximum number of calls listed by /stats");
DEFINE_string(forbidden_secret, "",
              "text that must not arrive in any request; /stats counts the "
              "requests that contain it");

namespace comfreypaddle::standins {
namespace {

class FakeService {
 public:
  FakeService(EventLoop& loop, ResponsePort& port)
      : m_loop(loop), m_port(port) {
    m_faults.set_answer_delay_ms(FLAGS_answer_ms);
  }

  void Handle(const HttpRequest& request) {
    if (request.m_path == "/faults" && request.m_method == "POST") {
      HandleFaults(request);
    } else if (request.m_path == "/stats") {
      RespondJson(m_port, request.m_id, 200, m_stats);
    } else {
      HandleCall(request);
    }
  }

 private:
  void HandleFaults(const HttpRequest& request) {
    schema::ServiceFaults faults;
    if (const auto mistake =
            FromJson(request.m_body, UnknownFields::kReject, &faults)) {
      RespondProblem(m_port, request.m_id, 400, "invalid_faults",
                     Outcome::kNotRun, *mistake);
      return;
    }
    LOG(INFO) << "fault injection settings updated: " << request.m_body;
    m_faults.MergeFrom(faults);
    RespondJson(m_port, request.m_id, 200, faults);
  }

  void HandleCall(const HttpRequest& request) {
    if (Contains(request, FLAGS_forbidden_secret)) {
      m_stats.set_secret_seen(m_stats.secret_seen() + 1);
      LOG(ERROR) << "request contains the forbidden secret: " << request.m_path;
    }
    if (m_faults.refuse_calls() > 0) {
      m_faults.set_refuse_calls(m_faults.refuse_calls() - 1);
      m_stats.set_refused(m_stats.refused() + 1);
      RespondProblem(m_port, request.m_id, 503, "refused", Outcome::kNotRun,
                     "The call was rejected before execution.");
      return;
    }
    const schema::ServiceCall call = Run(request);
    if (m_faults.hang_calls() > 0) {
      m_faults.set_hang_calls(m_faults.hang_calls() - 1);
      return;
    }
    const bool lost = m_faults.lose_answers() > 0;
    if (lost) m_faults.set_lose_answers(m_faults.lose_answers() - 1);
    m_loop.StartTimer(std::chrono::milliseconds(m_faults.answer_delay_ms()),
                      [this, id = request.m_id, lost, body = ToJson(call)] {
                        if (lost) {
                          m_port.Abort(id);
                        } else {
                          m_port.Respond(id, 200,
                                         {{"Content-Type", "application/json"}},
                                         body);
                        }
                      });
  }

  // Counts the call as executed, whether or not its response is delivered.
  schema::ServiceCall Run(const HttpRequest& request) {
    schema::ServiceCall call;
    call.set_number(++m_last_number);
    call.set_method(request.m_method);
    call.set_path(request.m_path);
    call.set_request_id(
        std::string(FindField(request.m_headers, "x-request-id")));
    call.set_idempotency_key(
        std::string(FindField(request.m_headers, "idempotency-key")));
    if (m_stats.calls_size() < static_cast<int>(FLAGS_stats_calls)) {
      *m_stats.add_calls() = call;
    }
    return call;
  }

  EventLoop& m_loop;
  ResponsePort& m_port;
  schema::ServiceFaults m_faults;
  schema::ServiceStats m_stats;
  std::uint32_t m_last_number = 0;
};

int Run() {
  EventLoop loop;
  ListenerOptions options;
  options.m_port = static_cast<std::uint16_t>(FLAGS_port);
  std::optional<FakeService> service;
  Listener listener(
      loop, options,
      [&service](const HttpRequest& request) { service->Handle(request); },
      [](std::uint64_t /*id*/) {});
  service.emplace(loop, listener);
  const TerminationWatch termination(loop, [&loop] { loop.Stop(); });
  if (const std::error_code error = listener.Open()) {
    LOG(ERROR) << "cannot listen on port " << FLAGS_port << ": "
               << error.message();
    return 1;
  }
  LOG(INFO) << "service stand-in listening on 127.0.0.1:" << FLAGS_port;
  loop.Run();
  return 0;
}

}  // namespace
}  // namespace comfreypaddle::standins

int main(int argc, char** argv) {
  namespace standins = comfreypaddle::standins;
  standins::InitProgram(&argc, &argv,
                        "stand-in for a replica of a plain service");
  if (FLAGS_port == 0 || FLAGS_port > 65535) {
    LOG(ERROR) << "--port must be between 1 and 65535";
    return 2;
  }
  return standins::Run();
}
