// Load generator: sends requests from a seeded arrival process and verifies
// every response.

#include <gflags/gflags.h>
#include <glog/logging.h>

#include <iostream>
#include <map>
#include <memory>
#include <utility>

#include "common.h"
#include "common_engine.h"
#include "common_load.h"
#include "curlclient.h"
#include "json.h"

DEFINE_string(targets, "",
              "comma-separated IP:PORT of entry instances, or of engines in "
              "the mode engine, used in turn; required");
DEFINE_string(mode, "completion",
              "what is sent: completion (model request to an entry instance), "
              "call (plain service call to an entry instance) or engine "
              "(generation directly at an engine)");
DEFINE_string(key, "", "bearer key; none is sent if empty");
DEFINE_string(model, "",
              "model name; required in the modes completion and "
              "engine");
DEFINE_string(adapter, "", "adapter name");
DEFINE_string(priority, "", "priority: batch, normal or urgent");
DEFINE_bool(stream, true, "ask for a streamed answer in the mode completion");
DEFINE_string(method, "POST", "method in the mode call");
DEFINE_string(path, "/", "path in the mode call");
DEFINE_bool(idempotency_keys, false,
            "send a different Idempotency-Key with each request");
DEFINE_uint64(requests, 100, "requests to send; 0 for no limit");
DEFINE_double(seconds, 0,
              "duration in which requests are sent, seconds; 0 for no limit");
DEFINE_double(rate, 0,
              "Poisson arrival rate, requests per second; 0 sends the next "
              "request when one has ended (closed loop)");
DEFINE_uint32(concurrency, 16,
              "maximum number of open requests; with a rate, further "
              "arrivals are queued");
DEFINE_uint64(seed, 1, "seed of arrivals, sizes and prompts");
DEFINE_uint32(prompt_tokens, 100, "mean size of the prompt, tokens");
DEFINE_uint32(output_tokens, 50, "mean size of the output, tokens");
DEFINE_double(spread, 0, "share by which sizes vary uniformly, 0 to 1");
DEFINE_uint32(prefix_tokens, 0,
              "tokens at the start of the prompt that requests share");
DEFINE_uint32(prefixes, 1, "number of different shared prefixes");
DEFINE_uint32(deadline_ms, 0,
              "value of X-Deadline-Ms, milliseconds; not sent if 0");
DEFINE_uint32(timeout_ms, 120'000, "time limit of a request, milliseconds");
DEFINE_bool(verbose, false, "log each request that was not complete");
DEFINE_bool(strict, false, "exit with status 1 unless all were complete");

namespace comfreypaddle::standins {
namespace {

// Maximum size of a response body that is not streamed.
constexpr std::size_t kMaxBodyBytes = 64U << 20U;

constexpr int kOk = 200;

struct OpenRequest {
  std::string m_id;
  ResponseCheck m_check;
  std::string m_body;
  int m_status = 0;
  std::unique_ptr<SseParser> m_sse_parser;  // For streamed responses.
};

LoadSettings SettingsFromFlags() {
  LoadSettings settings;
  settings.m_mode =
      FromName<LoadMode>(FLAGS_mode).value_or(LoadMode::kCompletion);
  settings.m_model = FLAGS_model;
  settings.m_adapter = FLAGS_adapter;
  settings.m_priority = FLAGS_priority;
  settings.m_stream = FLAGS_stream || settings.m_mode == LoadMode::kEngine;
  settings.m_prompt_tokens = FLAGS_prompt_tokens;
  settings.m_output_tokens = FLAGS_output_tokens;
  settings.m_spread = FLAGS_spread;
  settings.m_prefix_tokens = FLAGS_prefix_tokens;
  settings.m_prefixes = FLAGS_prefixes;
  settings.m_rate = FLAGS_rate;
  return settings;
}

// Sends the requests and collects the responses on one event loop.
class LoadRun {
 public:
  LoadRun()
      : m_source(MakeSource(SettingsFromFlags(), FLAGS_seed)),
        m_targets(Split(FLAGS_targets, ',')),
        m_client(m_loop),
        m_termination(m_loop, [this] { m_loop.Stop(); }) {}

  // Returns the exit status of the process.
  int Run() {
    m_started = Now();
    if (m_source.m_settings.m_rate > 0.0) {
      ScheduleArrival();
    } else {
      for (std::uint32_t i = 0; i < FLAGS_concurrency; ++i) HandleArrival();
    }
    if (!Finished()) m_loop.Run();
    const std::size_t open = m_open.size();
    std::cout << Summary(m_tally, Now() - m_started) << " open=" << open
              << std::endl;
    const std::uint64_t complete = m_tally.m_outcomes.at(0);
    return FLAGS_strict && complete != m_sent ? 1 : 0;
  }

 private:
  bool HasMoreArrivals() const {
    const bool in_count =
        FLAGS_requests == 0 || m_source.m_count + m_waiting < FLAGS_requests;
    const std::chrono::duration<double> passed = Now() - m_started;
    const bool in_time = FLAGS_seconds <= 0.0 || passed.count() < FLAGS_seconds;
    return in_count && in_time;
  }

  bool Finished() const {
    return m_open.empty() && m_waiting == 0 && !HasMoreArrivals();
  }

  void ScheduleArrival() {
    if (!HasMoreArrivals()) return;
    m_due = std::max(m_due, m_started) + NextInterarrivalTime(m_source);
    m_loop.StartTimer(m_due - Now(), [this] {
      if (HasMoreArrivals()) HandleArrival();
      ScheduleArrival();
      if (Finished()) m_loop.Stop();
    });
  }

  void HandleArrival() {
    if (!HasMoreArrivals()) return;
    if (m_open.size() >= FLAGS_concurrency) {
      ++m_waiting;
    } else {
      Send();
    }
  }

  void Send() {
    const LoadRequest request = NextRequest(m_source);
    ++m_sent;
    const std::uint64_t number = m_source.m_count;
    OpenRequest& open = m_open[number];
    open.m_id = request.m_id;
    open.m_check.m_prompt_hash = PromptHash(request.m_prompt);
    open.m_check.m_expected_tokens = request.m_output_tokens;
    open.m_check.m_started = Now();
    if (m_source.m_settings.m_stream &&
        m_source.m_settings.m_mode != LoadMode::kCall) {
      open.m_sse_parser =
          std::make_unique<SseParser>([this, &open](const SseEvent& event) {
            CheckEvent(open.m_check, m_tally, event, Now());
          });
    }
    m_client.Start(MakeCall(request, number), MakeHttpEvents(open, number));
  }

  HttpCall MakeCall(const LoadRequest& request, std::uint64_t number) const {
    HttpCall call;
    const LoadMode mode = m_source.m_settings.m_mode;
    const std::string& target = m_targets[number % m_targets.size()];
    std::string path = "/v1/completions";
    if (mode == LoadMode::kEngine) path = "/v1/generate";
    if (mode == LoadMode::kCall) path = FLAGS_path;
    call.m_method = mode == LoadMode::kCall ? FLAGS_method : "POST";
    call.m_url = "http://" + target + path;
    call.m_headers = {{"Content-Type", "application/json"},
                      {"X-Request-Id", request.m_id}};
    if (!FLAGS_key.empty()) {
      call.m_headers.push_back({"Authorization", "Bearer " + FLAGS_key});
    }
    if (FLAGS_idempotency_keys) {
      call.m_headers.push_back({"Idempotency-Key", request.m_id});
    }
    if (FLAGS_deadline_ms > 0) {
      call.m_headers.push_back(
          {"X-Deadline-Ms", std::to_string(FLAGS_deadline_ms)});
    }
    if (call.m_method != "GET") {
      call.m_body = RequestBody(m_source.m_settings, request);
    }
    call.m_timeout = std::chrono::milliseconds(FLAGS_timeout_ms);
    return call;
  }

  HttpEvents MakeHttpEvents(OpenRequest& open, std::uint64_t number) {
    HttpEvents events;
    events.m_on_head = [&open](int status, const HttpFields& /*headers*/) {
      open.m_status = status;
    };
    events.m_on_body = [&open](std::string_view bytes) {
      if (open.m_sse_parser && open.m_status == kOk) {
        open.m_sse_parser->Feed(bytes);
      } else if (open.m_body.size() < kMaxBodyBytes) {
        open.m_body.append(bytes);
      }
    };
    events.m_on_end = [this, number](const HttpResult& result) {
      FinishRequest(number, result);
    };
    return events;
  }

  void FinishRequest(std::uint64_t number, const HttpResult& result) {
    const auto ended = m_open.extract(number);
    OpenRequest& open = ended.mapped();
    const LoadOutcome outcome = ClassifyResult(open, result);
    CountOutcome(m_tally, open.m_check, outcome, Now());
    if (FLAGS_verbose && outcome != LoadOutcome::kComplete) {
      LOG(WARNING) << open.m_id << " " << ToName(outcome)
                   << " status=" << result.m_status
                   << " position=" << open.m_check.m_position
                   << " error=" << result.m_error.message() << " "
                   << open.m_body;
    }
    if (m_waiting > 0) {
      --m_waiting;
      Send();
    } else if (m_source.m_settings.m_rate <= 0.0) {
      HandleArrival();
    }
    if (Finished()) m_loop.Stop();
  }

  LoadOutcome ClassifyResult(OpenRequest& open, const HttpResult& result) {
    if (result.m_error == HttpError::kConnectFailed) {
      return LoadOutcome::kConnectFailed;
    }
    if (result.m_error == HttpError::kTimeout) return LoadOutcome::kTimeout;
    if (result.m_error) return LoadOutcome::kIncomplete;
    if (result.m_status >= 400) return ClassifyRejection(open);
    if (m_source.m_settings.m_mode == LoadMode::kCall) {
      const bool expected = open.m_body.find("\"path\":\"" + FLAGS_path +
                                             "\"") != std::string::npos;
      return expected ? LoadOutcome::kComplete : LoadOutcome::kWrong;
    }
    if (!open.m_sse_parser) CheckBody(open.m_check, m_tally, open.m_body);
    if (!open.m_check.m_done) return LoadOutcome::kIncomplete;
    return open.m_check.m_wrong ? LoadOutcome::kWrong : LoadOutcome::kComplete;
  }

  static LoadOutcome ClassifyRejection(const OpenRequest& open) {
    schema::Problem problem;
    (void)FromJson(open.m_body, UnknownFields::kIgnore, &problem);
    const auto outcome = FromName<Outcome>(problem.outcome());
    if (outcome == Outcome::kNotRun) return LoadOutcome::kNotRun;
    return outcome == Outcome::kRan ? LoadOutcome::kRan : LoadOutcome::kUnknown;
  }

  EventLoop m_loop;
  LoadSource m_source;
  std::vector<std::string> m_targets;
  CurlClient m_client;
  TerminationWatch m_termination;
  LoadStatistics m_tally;
  std::map<std::uint64_t, OpenRequest> m_open;
  std::uint64_t m_waiting = 0;  // Arrivals above the concurrency limit.
  std::uint64_t m_sent = 0;
  Instant m_started;
  Instant m_due;
};

// Returns a description of the first invalid flag, or an empty string.
std::string CheckFlags() {
  if (FLAGS_targets.empty()) return "--targets is required";
  const auto mode = FromName<LoadMode>(FLAGS_mode);
  if (!mode) return "--mode must be completion, call or engine";
  if (*mode != LoadMode::kCall && FLAGS_model.empty()) {
    return "--model is required in this mode";
  }
  if (FLAGS_requests == 0 && FLAGS_seconds <= 0.0) {
    return "--requests and --seconds must not both be 0";
  }
  if (FLAGS_spread < 0.0 || FLAGS_spread > 1.0) {
    return "--spread must be between 0 and 1";
  }
  if (FLAGS_concurrency == 0) return "--concurrency must not be 0";
  if (FLAGS_prefixes == 0) return "--prefixes must not be 0";
  return {};
}

}  // namespace
}  // namespace comfreypaddle::standins

int main(int argc, char** argv) {
  namespace standins = comfreypaddle::standins;
  standins::InitProgram(&argc, &argv,
                        "load generator that verifies each response");
  const std::string mistake = standins::CheckFlags();
  if (!mistake.empty()) {
    LOG(ERROR) << mistake;
    return 2;
  }
  return standins::LoadRun().Run();
}
