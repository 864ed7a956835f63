#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>

#include "common_engine.h"
#include "common_engineserver.h"
#include "common_load.h"
#include "common_log.h"
#include "common_logserver.h"
#include "common_orders.h"
#include "common_platform.h"
#include "curlclient.h"
#include "json.h"
#include "listener.h"
#include "logstore.h"
#include "records.pb.h"
#include "support.h"

namespace comfreypaddle::standins {
namespace {

constexpr Instant kStart{std::chrono::seconds(1000)};

constexpr Duration kStep = std::chrono::milliseconds(20);

LogModel MakeLog(double rate, double burst) {
  LogModel log;
  log.m_appends = MakeTokenBucket(rate, burst, kStart);
  log.m_retain_records = 3;
  log.m_retain_time = std::chrono::seconds(10);
  return log;
}

// Fails if offsets have gaps or duplicates after retention removed entries.
TEST_CASE("the log keeps offsets without gaps while it drops old entries") {
  LogModel log = MakeLog(0, 0);
  for (std::uint64_t i = 1; i <= 5; ++i) {
    CHECK(Append(log, "s", std::to_string(i), kStart) == i);
  }
  LogStream& stream = FindStream(log, "s");
  CHECK(stream.m_first == 3);
  CHECK(NextOffset(stream) == 6);
  CHECK(stream.m_entries.front().m_body == "3");
  ApplyRetention(log, stream, kStart + std::chrono::seconds(11));
  CHECK(stream.m_first == 6);
  CHECK(Append(log, "s", "6", kStart + std::chrono::seconds(12)) == 6);
}

// Fails if the rate limit accepts more than rate times elapsed time plus burst.
TEST_CASE("the log accepts its rate and burst and no more") {
  LogModel log = MakeLog(100, 10);
  int accepted = 0;
  for (int ms = 0; ms < 1000; ++ms) {
    if (Append(log, "s", "", kStart + std::chrono::milliseconds(ms)) != 0) {
      ++accepted;
    }
  }
  CHECK(accepted >= 108);
  CHECK(accepted <= 110);
}

EngineModel MakeEngine() {
  EngineModel model;
  model.m_model = "m";
  model.m_settings.m_kv_pieces = 4;
  model.m_cache.m_max_blocks = 100;
  return model;
}

schema::GenerateRequest MakeRequest(const std::string& id,
                                    const std::string& prompt,
                                    std::uint32_t max_tokens) {
  schema::GenerateRequest request;
  request.set_request_id(id);
  request.set_model("m");
  request.set_prompt(prompt);
  request.set_max_tokens(max_tokens);
  return request;
}

// Runs steps until the model is idle. Returns the number of steps.
int RunSteps(EngineModel& model) {
  int steps = 0;
  Instant now = kStart;
  while (HasWork(model) && steps < 10'000) {
    Step(model, kStep, now += kStep);
    ++steps;
  }
  return steps;
}

// Fails if the text changes when another engine resumes it. Tests could then
// not distinguish a correct response from a corrupted one.
TEST_CASE("a continued answer is the same text as an uninterrupted one") {
  CHECK(rc::check([](const std::string& prompt) {
    const std::uint32_t length = *rc::gen::inRange(2U, 50U);
    const std::uint32_t cut = *rc::gen::inRange(1U, length);
    const std::uint64_t hash = PromptHash(prompt);
    const std::string whole = GeneratedText(hash, 1, length);
    EngineModel model = MakeEngine();
    auto request = MakeRequest("r", prompt, length);
    request.set_from_position(cut);
    request.set_prefix(GeneratedText(hash, 1, cut));
    RC_ASSERT(Submit(model, request, kStart) == SubmitResult::kAccepted);
    RunSteps(model);
    const EngineStream& stream = *FindStream(model, "r");
    RC_ASSERT(stream.m_phase == StreamPhase::kFinished);
    RC_ASSERT(stream.m_position == length);
    RC_ASSERT(model.m_tokens == length - cut);
    RC_ASSERT(model.m_prefix_mismatches == 0U);
    RC_ASSERT(request.prefix() + GeneratedText(hash, cut + 1, length) == whole);
  }));
}

// Fails if the engine does not detect an entry instance that resumes a stream
// with the text of another request.
TEST_CASE("a wrong prefix is counted") {
  EngineModel model = MakeEngine();
  auto request = MakeRequest("r", "prompt", 5);
  request.set_from_position(2);
  request.set_prefix("something else");
  Submit(model, request, kStart);
  CHECK(model.m_prefix_mismatches == 1);
}

// Fails if streams are admitted without free KV pieces or ahead of streams of
// higher priority.
TEST_CASE("queued streams enter by priority while KV pieces are left") {
  EngineModel model = MakeEngine();
  const std::string prompt(std::size_t{kPieceTokens} * kBytesPerToken, 'x');
  for (const char* id : {"a", "b", "c"}) {
    auto request = MakeRequest(id, prompt + id, 10);
    if (*id == 'c') request.set_priority("urgent");
    CHECK(Submit(model, request, kStart) == SubmitResult::kAccepted);
  }
  Step(model, kStep, kStart + kStep);
  CHECK(CurrentLoad(model).kv_used_pieces() == 4);
  CHECK(FindStream(model, "c")->m_phase == StreamPhase::kPrefill);
  CHECK(FindStream(model, "b")->m_phase == StreamPhase::kQueued);
  CHECK(CancelStream(model, "c", kStart));
  CHECK(FindStream(model, "c") == nullptr);
  RunSteps(model);
  CHECK(FindStream(model, "b")->m_phase == StreamPhase::kFinished);
  CHECK(CurrentLoad(model).kv_used_pieces() == 0);
}

// Fails if the prefix cache has no effect, or affects prompts that differ.
TEST_CASE("a cached prefix shortens the prefill of the same prompt only") {
  EngineModel model = MakeEngine();
  const std::string prompt(4000, 'x');
  Submit(model, MakeRequest("a", prompt, 1), kStart);
  const int cold = RunSteps(model);
  Submit(model, MakeRequest("b", prompt, 1), kStart);
  const int warm = RunSteps(model);
  CHECK(warm < cold);
  CHECK(FindStream(model, "b")->m_cached_tokens == 15 * kBlockTokens);
  Submit(model, MakeRequest("c", "y" + prompt, 1), kStart);
  RunSteps(model);
  CHECK(FindStream(model, "c")->m_cached_tokens == 0);
}

// Fails if streams cannot be resumed, or are never removed.
TEST_CASE("a stream is removed only after the retention time") {
  EngineModel model = MakeEngine();
  Submit(model, MakeRequest("a", "p", 2), kStart);
  RunSteps(model);
  const Instant ended = FindStream(model, "a")->m_detached_at;
  RemoveExpiredStreams(model, ended + std::chrono::seconds(59));
  CHECK(FindStream(model, "a") != nullptr);
  RemoveExpiredStreams(model, ended + std::chrono::seconds(60));
  CHECK(FindStream(model, "a") == nullptr);
}

schema::EngineOrder MakeOrder(const std::string& id, std::uint64_t fencing,
                              const std::string& kind) {
  schema::EngineOrder order;
  order.set_order_id(id);
  order.set_fencing_number(fencing);
  order.set_kind(kind);
  order.set_argument("decode");
  return order;
}

// Fails if the engine stand-in accepts an order while another one is in
// progress, or accepts stale orders although it checks fencing numbers.
TEST_CASE(
    "orders are rejected when stale or while another order is in progress") {
  for (const bool checks : {true, false}) {
    EngineModel model = MakeEngine();
    EngineOrders orders;
    orders.m_checks_fencing = checks;
    const auto first =
        ProcessOrder(orders, model, MakeOrder("1", 7, "set_role"));
    CHECK(first.m_http_status == 202);
    CHECK(ProcessOrder(orders, model, MakeOrder("1", 7, "set_role"))
              .m_http_status == 202);
    CHECK(ProcessOrder(orders, model, MakeOrder("2", 8, "drain"))
              .m_status.code() == "busy");
    CHECK(Submit(model, MakeRequest("r", "p", 1), kStart) ==
          SubmitResult::kBusy);
    FinishOrder(orders, model);
    CHECK(model.m_role == EndpointRole::kDecode);
    const auto stale = ProcessOrder(orders, model, MakeOrder("3", 6, "drain"));
    CHECK(stale.m_http_status == (checks ? 409 : 200));
    CHECK(model.m_draining == !checks);
  }
}

schema::PlatformEndpoint MakeEndpointOrder(const std::string& token,
                                           std::uint64_t fencing) {
  schema::PlatformEndpoint order;
  order.set_token(token);
  order.set_fleet("f");
  order.set_availability_zone("z");
  order.set_endpoint_class("cheap");
  order.set_fencing_number(fencing);
  return order;
}

// Fails if a repeated token creates a second endpoint, or an order with a
// stale fencing number is accepted.
TEST_CASE("endpoint orders are idempotent and fenced") {
  PlatformModel model;
  schema::PlatformEndpoint first;
  schema::PlatformEndpoint again;
  CHECK(OrderEndpoint(model, MakeEndpointOrder("t", 5), kStart, &first) ==
        OrderResult::kCreated);
  CHECK(OrderEndpoint(model, MakeEndpointOrder("t", 5), kStart, &again) ==
        OrderResult::kRepeated);
  CHECK(again.name() == first.name());
  CHECK(OrderEndpoint(model, MakeEndpointOrder("u", 4), kStart, &again) ==
        OrderResult::kStaleFencing);
  CHECK(ReleaseEndpoint(model, first.name(), 4, kStart, &again) ==
        OrderResult::kStaleFencing);
  CHECK(model.m_endpoints.size() == 1);
}

// Fails if endpoints become ready without a process or before the lead time.
TEST_CASE("an ordered endpoint passes through its phases") {
  PlatformModel model;
  model.m_lead_time = std::chrono::seconds(2);
  REQUIRE(AddPoolAddress(model, "f/z/127.0.0.1:2000/checks"));
  CHECK_FALSE(AddPoolAddress(model, "f/z"));
  schema::PlatformEndpoint answer;
  OrderEndpoint(model, MakeEndpointOrder("t", 1), kStart, &answer);
  OrderEndpoint(model, MakeEndpointOrder("u", 1), kStart, &answer);
  const auto phases = [&model](Duration after) {
    Advance(model, kStart + after);
    const auto list = ListEndpoints(model);
    return list.endpoints(0).phase() + " " + list.endpoints(1).phase();
  };
  CHECK(phases(std::chrono::milliseconds(900)) == "ordered ordered");
  CHECK(phases(std::chrono::seconds(1)) == "starting starting");
  // The pool has a single address.
  CHECK(phases(std::chrono::seconds(3)) == "ready starting");
  const Duration notice = std::chrono::seconds(1);
  CHECK(ReclaimZone(model, "other", notice, kStart).empty());
  CHECK(ReclaimZone(model, "z", notice, kStart + 4 * notice).size() == 2);
  CHECK(phases(std::chrono::milliseconds(4900)) == "draining draining");
  CHECK(phases(std::chrono::seconds(5)) == "gone gone");
}

// Fails if endpoints passed at startup are missing from the endpoint list.
TEST_CASE("endpoints named at the start are listed as ready") {
  PlatformModel model;
  CHECK_FALSE(AddListedEndpoint(model, "e/f/z/pricey/127.0.0.1:2000"));
  CHECK_FALSE(AddListedEndpoint(model, "e/f/z/cheap"));
  REQUIRE(AddListedEndpoint(model, "e/f/z/cheap/127.0.0.1:2000/checks"));
  const schema::PlatformEndpoint listed = ListEndpoints(model).endpoints(0);
  CHECK(listed.phase() == "ready");
  CHECK(listed.address() == "127.0.0.1:2000");
  CHECK(listed.checks_fencing());
}

// Fails if a window that is reported again with different figures is accepted
// as a repeat.
TEST_CASE("contradictory usage reports are distinguished from repeats") {
  PlatformModel model;
  schema::UsageReport report;
  report.set_window(1);
  report.add_figures()->set_workspace("a");
  report.add_figures()->set_workspace("b");
  CHECK(RecordUsageReport(model, report) == UsageResult::kAccepted);
  report.mutable_figures()->SwapElements(0, 1);
  CHECK(RecordUsageReport(model, report) == UsageResult::kRepeated);
  report.mutable_figures(0)->set_requests(1);
  CHECK(RecordUsageReport(model, report) == UsageResult::kContradicts);
  CHECK(model.m_first_reports.at(1).figures(0).workspace() == "a");
}

// Fails if the load tool counts corrupted responses as complete.
TEST_CASE("the load tool accepts only whole answers in order") {
  const std::uint64_t hash = PromptHash("p");
  const auto run = [hash](const std::vector<std::uint64_t>& ids, bool done) {
    ResponseCheck check;
    LoadStatistics tally;
    check.m_prompt_hash = hash;
    check.m_expected_tokens = 3;
    for (const std::uint64_t id : ids) {
      const std::string data = R"({"text":")" +
                               TokenText(hash, static_cast<std::uint32_t>(id)) +
                               R"("})";
      CheckEvent(check, tally, {"", data, id}, kStart);
    }
    if (done) CheckEvent(check, tally, {"", "[DONE]", 0}, kStart);
    return check.m_done && !check.m_wrong;
  };
  CHECK(run({1, 2, 3}, true));
  CHECK_FALSE(run({1, 2, 3}, false));
  CHECK_FALSE(run({1, 2}, true));
  CHECK_FALSE(run({1, 3, 2}, true));
  CHECK_FALSE(run({1, 2, 2, 3}, true));
  CHECK_FALSE(run({1, 2, 3, 4}, true));
}

// Records the responses of the engine stand-in.
class RecordingPort : public ResponsePort {
 public:
  void Respond(std::uint64_t id, int status, HttpFields /*headers*/,
               std::string body) override {
    m_status[id] = status;
    m_bodies[id] += body;
  }
  void StartStream(std::uint64_t id, int status,
                   HttpFields /*headers*/) override {
    m_status[id] = status;
  }
  void Write(std::uint64_t id, std::string_view bytes) override {
    m_bodies[id] += bytes;
  }
  void FinishStream(std::uint64_t id) override { m_finished.push_back(id); }
  void Abort(std::uint64_t id) override { m_aborted.push_back(id); }

  bool Finished(std::uint64_t id) const {
    return std::count(m_finished.begin(), m_finished.end(), id) > 0;
  }
  bool Aborted(std::uint64_t id) const {
    return std::count(m_aborted.begin(), m_aborted.end(), id) > 0;
  }

  std::map<std::uint64_t, int> m_status;
  std::map<std::uint64_t, std::string> m_bodies;
  std::vector<std::uint64_t> m_finished;
  std::vector<std::uint64_t> m_aborted;
};

HttpRequest LogRequest(std::uint64_t id, const std::string& verb,
                       HttpFields query) {
  HttpRequest request;
  request.m_id = id;
  request.m_method = verb == "append" ? "POST" : "GET";
  request.m_path = "/log/v1/streams/s/" + verb;
  request.m_query = std::move(query);
  request.m_body = verb;
  return request;
}

// Fails if a lost response also loses the append, if an append does not wake a
// pending read, or if a pending read survives an outage.
TEST_CASE("a waiting read gets an append whose answer is lost") {
  EventLoop loop;
  RecordingPort port;
  LogServer server(loop, port, MakeLog(0, 0));
  schema::PlatformFaults faults;
  faults.set_lose_append_answers(1);
  REQUIRE(server.Apply(faults));
  server.Handle(
      LogRequest(1, "records", {{"from", "1"}, {"wait_ms", "60000"}}));
  CHECK(port.m_status.empty());
  server.Handle(LogRequest(2, "append", {}));
  CHECK(port.Aborted(2));
  schema::LogBatch batch;
  REQUIRE(batch.ParseFromString(port.m_bodies[1]));
  CHECK(batch.entries(0).body() == "append");
  CHECK(batch.next_offset() == 2);
  server.Handle(
      LogRequest(3, "records", {{"from", "2"}, {"wait_ms", "60000"}}));
  faults.Clear();
  faults.set_log_outage("refuse");
  REQUIRE(server.Apply(faults));
  CHECK(port.m_status[3] == 503);
  faults.set_log_outage("unheard of");
  CHECK_FALSE(server.Apply(faults));
}

// Fails if the log client does not learn the first retained offset after the
// first records were removed, and would request them forever.
TEST_CASE("the log client learns the first offset that the log keeps") {
  EventLoop loop;
  ListenerOptions options;
  options.m_port = testing::FreePort();
  std::optional<LogServer> server;
  Listener listener(
      loop, options,
      [&server](const HttpRequest& request) { server->Handle(request); },
      [](std::uint64_t /*id*/) {});
  server.emplace(loop, listener, MakeLog(0, 0));
  REQUIRE_FALSE(listener.Open());
  CurlClient client(loop);
  HttpLogStoreOptions store_options;
  store_options.m_url = "http://127.0.0.1:" + std::to_string(options.m_port);
  store_options.m_stream = "s";
  HttpLogStore store(client, store_options);
  std::vector<std::uint64_t> offsets;
  for (int i = 0; i < 5; ++i) {
    store.Append("body",
                 [&offsets](std::error_code error, std::uint64_t offset) {
                   CHECK_FALSE(error);
                   offsets.push_back(offset);
                 });
  }
  const Duration limit = std::chrono::seconds(5);
  REQUIRE(testing::RunUntil(loop, limit, [&] { return offsets.size() == 5; }));
  std::optional<schema::LogBatch> batch;
  std::error_code result;
  store.Read(1, 10, Duration(0), [&](std::error_code error, auto answer) {
    result = error;
    batch = answer;
  });
  REQUIRE(testing::RunUntil(loop, limit, [&] { return batch.has_value(); }));
  CHECK(result == LogError::kTrimmed);
  CHECK(batch->first_retained() == 3);
}

// Engine server with a mock port. Each request uses a separate connection.
struct ServerFixture {
  ServerFixture() {
    EngineModel model = MakeEngine();
    model.m_settings.m_step = std::chrono::milliseconds(1);
    EngineServerOptions options;
    options.m_forbidden_secret = "secret";
    m_server.emplace(m_loop, m_port, std::move(model), EngineOrders{}, options,
                     [this](int status) { m_exit = status; });
  }

  std::uint64_t Send(const std::string& method, const std::string& path,
                     const std::string& body) {
    HttpRequest request;
    request.m_id = ++m_last_id;
    request.m_connection = m_last_id;
    request.m_method = method;
    request.m_path = path.substr(0, path.find('?'));
    if (path.find("from=") != std::string::npos) {
      request.m_query = {{"from", path.substr(path.find("from=") + 5)}};
    }
    request.m_body = body;
    m_server->Handle(request);
    return m_last_id;
  }

  std::uint64_t Generate(const std::string& id) {
    return Send("POST", "/v1/generate", ToJson(MakeRequest(id, "p", 30)));
  }

  bool Until(const std::function<bool()>& condition) {
    return testing::RunUntil(m_loop, std::chrono::seconds(5), condition);
  }

  EventLoop m_loop;
  RecordingPort m_port;
  std::optional<EngineServer> m_server;
  std::uint64_t m_last_id = 0;
  std::optional<int> m_exit;
};

// Returns the event ids in the order sent.
std::vector<std::uint64_t> IdsIn(const std::string& text) {
  std::vector<std::uint64_t> ids;
  SseParser parser([&ids](const SseEvent& event) {
    if (event.m_id != 0) ids.push_back(event.m_id);
  });
  parser.Feed(text);
  return ids;
}

// Fails if the silence fault also affects new connections.
TEST_CASE("a silent connection gets nothing while a resume gets the rest") {
  ServerFixture f;
  const std::uint64_t old = f.Generate("r");
  f.Send("POST", "/faults", R"({"silence_open_connections":true})");
  const std::uint64_t resumed =
      f.Send("POST", "/v1/streams/r/resume?from=10", "");
  REQUIRE(f.Until([&] { return f.m_port.Finished(resumed); }));
  CHECK(f.m_port.m_bodies[old].empty());
  CHECK_FALSE(f.m_port.Aborted(old));
  const auto ids = IdsIn(f.m_port.m_bodies[resumed]);
  CHECK(ids.front() == 11);
  CHECK(ids.back() == 30);
}

// Fails if stream faults lose tokens that they should only repeat, reorder or
// leave to a resume.
TEST_CASE("faults drop, repeat and reorder tokens of a stream") {
  ServerFixture f;
  f.Send("POST", "/faults", R"({"drop_after_tokens":5,"drop_streams":1})");
  const std::uint64_t dropped = f.Generate("a");
  REQUIRE(f.Until([&] { return f.m_port.Aborted(dropped); }));
  CHECK(IdsIn(f.m_port.m_bodies[dropped]).size() == 5);
  f.Send("POST", "/faults", R"({"duplicate_every":10,"reorder_every":7})");
  const std::uint64_t mixed = f.Generate("b");
  REQUIRE(f.Until([&] { return f.m_port.Finished(mixed); }));
  std::vector<std::uint64_t> ids = IdsIn(f.m_port.m_bodies[mixed]);
  CHECK(ids.size() == 33);
  CHECK(std::vector(ids.begin() + 6, ids.begin() + 8) ==
        std::vector<std::uint64_t>{8, 7});
  std::sort(ids.begin(), ids.end());
  ids.erase(std::unique(ids.begin(), ids.end()), ids.end());
  CHECK(ids.size() == 30);
}

// Fails if a request with the forbidden secret is not reported, or if the crash
// fault does not end the process.
TEST_CASE("a crash fault ends the process and a secret is reported") {
  ServerFixture f;
  const std::uint64_t seen = f.Send("GET", "/v1/load", "a secret");
  CHECK(f.m_port.m_status[seen] == 200);
  const std::uint64_t stats = f.Send("GET", "/stats", "");
  CHECK(f.m_port.m_bodies[stats].find("\"secret_seen\":1") !=
        std::string::npos);
  f.Send("POST", "/faults", R"({"crash":true})");
  CHECK(f.Until([&f] { return f.m_exit == kAbortStatus; }));
}

}  // namespace
}  // namespace comfreypaddle::standins
