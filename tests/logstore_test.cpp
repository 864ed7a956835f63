#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "logstore.h"

#include <doctest/doctest.h>

#include <charconv>
#include <map>
#include <optional>
#include <trompeloeil.hpp>

#include "journal.h"
#include "listener.h"
#include "support.h"

namespace comfreypaddle {
namespace {

using std::chrono::milliseconds;
using testing::RunUntil;
using trompeloeil::_;

constexpr Duration kWaitLimit = std::chrono::seconds(5);

class MockHttp : public HttpPort {
 public:
  MAKE_MOCK2(Start, CallId(HttpCall, HttpEvents), override);
  MAKE_MOCK1(Cancel, void(CallId), override);
};

struct Case {
  HttpResult m_result;
  std::string m_body;
  LogError m_error;
};

// Guards against a wrong error code, which makes the journal treat a stored
// append as lost or the reverse, and against the use of a connection after an
// error.
TEST_CASE("each result of an append is mapped to its error") {
  const std::vector<Case> cases{
      {{{}, 200, true}, R"({"offset": "7"})", LogError::kOk},
      {{{}, 200, true}, "", LogError::kBadAnswer},
      {{{}, 429, true}, "", LogError::kRateLimited},
      {{{}, 503, true}, "", LogError::kOutage},
      {{{}, 500, true}, "", LogError::kBadAnswer},
      {{HttpError::kTimeout, 0, true}, "", LogError::kNoAnswer},
      {{HttpError::kConnectFailed, 0, false}, "", LogError::kNotSent}};
  MockHttp http;
  HttpCall call;
  HttpEvents events;
  ALLOW_CALL(http, Start(_, _))
      .LR_SIDE_EFFECT(call = _1)
      .LR_SIDE_EFFECT(events = _2)
      .RETURN(1U);
  HttpLogStore log(http, {"http://127.0.0.1:1", "a/b"});
  bool use_new_connection = false;
  for (const Case& row : cases) {
    std::optional<std::error_code> error;
    log.Append("body", [&error](std::error_code end, std::uint64_t offset) {
      error = end;
      CHECK(offset == (end ? 0 : 7));
    });
    CHECK(call.m_url == "http://127.0.0.1:1/log/v1/streams/a%2Fb/append");
    CHECK(call.m_body == "body");
    CHECK(call.m_force_new_connection == use_new_connection);
    events.m_on_body(row.m_body);
    events.m_on_end(row.m_result);
    CHECK(error == row.m_error);
    use_new_connection = static_cast<bool>(row.m_result.m_error);
  }
}

// Log service in the event loop of the test. It answers pending long polls when
// an entry is appended.
struct LogService {
  LogService() {
    ListenerOptions options;
    options.m_port = testing::FreePort();
    m_url = "http://127.0.0.1:" + std::to_string(options.m_port);
    m_listener.emplace(
        m_loop, options, [this](const HttpRequest& r) { Handle(r); },
        [](std::uint64_t) {});
    REQUIRE_FALSE(m_listener->Open());
  }

  static std::uint64_t ParseNumber(std::string_view text) {
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
  }

  void Handle(const HttpRequest& request) {
    if (request.m_method == "POST") {
      m_bodies.push_back(request.m_body);
      m_listener->Respond(
          request.m_id, 200, {},
          "{\"offset\":\"" + std::to_string(m_bodies.size()) + "\"}");
      for (const auto& [id, from] : std::exchange(m_waiting, {})) {
        Answer(id, from);
      }
      return;
    }
    const std::uint64_t from = ParseNumber(FindField(request.m_query, "from"));
    const bool wait = ParseNumber(FindField(request.m_query, "wait_ms")) > 0;
    if (from <= m_bodies.size() || !wait) return Answer(request.m_id, from);
    m_waiting[request.m_id] = from;
    m_loop.StartTimer(milliseconds(50), [this, id = request.m_id, from] {
      if (m_waiting.erase(id) != 0) Answer(id, from);
    });
  }

  void Answer(std::uint64_t id, std::uint64_t from) {
    schema::LogBatch batch;
    batch.set_first_retained(1);
    batch.set_next_offset(m_bodies.size() + 1);
    for (std::uint64_t at = from; at <= m_bodies.size(); ++at) {
      batch.add_entries()->set_offset(at);
      batch.mutable_entries()->rbegin()->set_body(m_bodies[at - 1]);
    }
    m_listener->Respond(id, 200, {}, batch.SerializeAsString());
  }

  EventLoop m_loop;
  std::string m_url;
  std::vector<std::string> m_bodies;
  std::map<std::uint64_t, std::uint64_t> m_waiting;
  std::optional<Listener> m_listener;
};

// Guards against integration errors that the mocks hide: runs task, client, log
// store and core over real connections.
TEST_CASE("the journal task stores and reads back a record over HTTP") {
  LogService service;
  schema::Settings settings;
  settings.mutable_instance()->set_name("a");
  settings.mutable_instance()->set_deployment("d");
  settings.mutable_log()->set_url(service.m_url);
  settings.mutable_log()->set_batch_ms(5);
  settings.mutable_log()->set_append_timeout_ms(1000);
  settings.mutable_log()->set_read_wait_ms(500);
  settings.mutable_log()->set_snapshot_records(100);
  Mailbox<schema::AdminMessage> admin;
  Journal journal(settings, 1, {nullptr, &admin, nullptr, nullptr});
  journal.Launch();
  schema::JournalMessage message;
  schema::SubmitRecord& submit = *message.mutable_submit();
  submit.set_sender(schema::TASK_ADMIN);
  submit.set_ticket(9);
  submit.mutable_record()->mutable_config_write()->set_token("t");
  submit.mutable_record()->mutable_config_write()->set_kind("workspace");
  submit.mutable_record()->mutable_config_write()->set_name("w");
  submit.mutable_record()
      ->mutable_config_write()
      ->mutable_resource()
      ->mutable_workspace()
      ->set_name("w");
  journal.Inbox().Post(message);
  std::string verdict;
  bool changed = false;
  CHECK(RunUntil(service.m_loop, kWaitLimit, [&] {
    for (const schema::AdminMessage& answer : admin.TakeAll()) {
      if (answer.has_verdict()) verdict = answer.verdict().verdict();
      changed = changed || answer.has_table_change();
    }
    return changed && !verdict.empty();
  }));
  CHECK(verdict == "accepted");
  schema::JournalMessage stop;
  stop.mutable_stop();
  journal.Inbox().Post(stop);
  journal.Join();
}

}  // namespace
}  // namespace comfreypaddle
