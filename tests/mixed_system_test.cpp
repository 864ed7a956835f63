// Concurrent completions and service calls under faults; the complete history
// is checked.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <algorithm>
#include <random>

#include "support_answer.h"
#include "support_history.h"

namespace comfreypaddle::testing {
namespace {

constexpr int kRequests = 200;
constexpr int kTokens = 20;
constexpr unsigned kSeed = 20261204;

// Fault settings for engines and services; one of each is set at every tenth
// request.
const std::vector<std::string>& EngineFaultBodies() {
  static const std::vector<std::string> bodies = {
      R"({"drop_after_tokens":5,"drop_streams":3})",
      R"({"lose_answers":2})",
      R"({"duplicate_every":3})",
      R"({"refuse":true})",
      R"({"refuse":false})",
      R"({"silence_open_connections":true})"};
  return bodies;
}

const std::vector<std::string>& ServiceFaultBodies() {
  static const std::vector<std::string> bodies = {R"({"refuse_calls":2})",
                                                  R"({"lose_answers":1})",
                                                  R"({"answer_delay_ms":50})"};
  return bodies;
}

// Request that was sent, and its reply.
struct SentRequest {
  std::string m_name;  // Prompt or path.
  bool m_completion = false;
  std::shared_ptr<Reply> m_reply;
};

CallerEvent ToCallerEvent(const SentRequest& sent) {
  CallerEvent event;
  event.m_request = sent.m_name;
  event.m_repeatable = sent.m_completion;
  const Reply& reply = *sent.m_reply;
  if (reply.m_error || !reply.m_ended) {
    event.m_end = CallerEnd::kInterrupted;
  } else if (reply.m_status != 200) {
    event.m_end = CallerEnd::kRefused;
    event.m_outcome =
        FromName<Outcome>(OutcomeIn(reply)).value_or(Outcome::kUnknown);
  } else if (sent.m_completion) {
    const StreamedAnswer answer = ReadStream(reply.m_body);
    event.m_positions = answer.m_positions;
    event.m_tokens = kTokens;
    event.m_text_matches =
        answer.m_done && answer.m_text == ExpectedText(sent.m_name, kTokens);
  }
  return event;
}

struct MixedRun {
  MixedRun() : m_cluster("mixed"), m_random(kSeed) {
    m_cluster.StartPlatform();
    for (int i = 0; i < 3; ++i) m_engines.push_back(m_cluster.StartEngine());
    for (int i = 0; i < 2; ++i) m_services.push_back(m_cluster.StartService());
    m_cluster.StartEntries(3);
    m_cluster.ApplyDefaultResources(m_engines, m_services);
    for (int entry = 1; entry <= 3; ++entry) {
      m_cluster.Until([&] {
        return m_cluster.Call(m_cluster.Completion(entry, "ready", 1, false))
                   .m_status == 200;
      });
    }
  }

  int PickIndex(std::size_t count) {
    return static_cast<int>(m_random() % count);
  }

  // Sends a completion, or the same call through two instances at once.
  void Send(int number) {
    const int entry = 1 + PickIndex(3);
    const std::string text = std::to_string(number);
    const auto start = [this](const std::string& name, bool completion,
                              HttpCall call) {
      call.m_timeout = std::chrono::seconds(20);
      m_sent.push_back(
          {name, completion, m_cluster.StartCall(std::move(call))});
    };
    if (number % 2 == 0) {
      start("prompt " + text, true,
            m_cluster.Completion(entry, "prompt " + text, kTokens, true));
      return;
    }
    const std::string path = "/desk/" + text;
    start(path, false, m_cluster.Desk(entry, path, text));
    start(path, false, m_cluster.Desk(1 + entry % 3, path, text));
  }

  void SetFault() {
    const auto& engine = EngineFaultBodies();
    SetFaults(m_cluster, m_engines[PickIndex(m_engines.size())],
              engine[PickIndex(engine.size())]);
    const auto& service = ServiceFaultBodies();
    SetFaults(m_cluster, m_services[PickIndex(m_services.size())],
              service[PickIndex(service.size())]);
  }

  std::vector<ExecutionCount> Executed() {
    std::vector<ExecutionCount> events;
    for (const auto port : m_services) {
      const auto stats = ServiceStatsOf(m_cluster, port);
      for (const auto& call : stats.calls()) events.push_back({call.path(), 1});
    }
    return events;
  }

  Cluster m_cluster;
  std::mt19937 m_random;
  std::vector<std::uint16_t> m_engines;
  std::vector<std::uint16_t> m_services;
  std::vector<SentRequest> m_sent;
};

// Guards against bugs that need several failures at once. Engines see internal
// request ids, so completions are checked by their answers.
TEST_CASE("a mixed run under faults keeps the guarantees of each request") {
  MixedRun run;
  for (int i = 0; i < kRequests; ++i) {
    if (i % 10 == 9) run.SetFault();
    run.Send(i);
  }
  REQUIRE(run.m_cluster.Until(
      [&run] {
        return std::all_of(
            run.m_sent.begin(), run.m_sent.end(),
            [](const SentRequest& sent) { return sent.m_reply->m_ended; });
      },
      std::chrono::seconds(40)));
  std::vector<CallerEvent> callers;
  std::vector<ExecutionCount> executed = run.Executed();
  int complete_answers = 0;
  for (const SentRequest& sent : run.m_sent) {
    callers.push_back(ToCallerEvent(sent));
    const bool answered = callers.back().m_end == CallerEnd::kComplete;
    complete_answers += answered ? 1 : 0;
    if (sent.m_completion && answered) executed.push_back({sent.m_name, 1});
  }
  MESSAGE("complete answers: " << complete_answers << " of " << callers.size());
  CHECK(complete_answers >= kRequests / 2);
  const std::vector<std::string> faults =
      CheckRequestHistory(callers, executed);
  for (const std::string& fault : faults) FAIL_CHECK(fault);
}

}  // namespace
}  // namespace comfreypaddle::testing
