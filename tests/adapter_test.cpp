#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "platform/adapter.h"

#include <doctest/doctest.h>

#include <cmath>
#include <optional>

#include "httpparse.h"

namespace comfreypaddle {
namespace {

StreamRecord Record(const std::string& key, const std::string& value) {
  return {0, key, value, false};
}

const std::string entry_json =
    R"({"service":"s","address":"10.0.0.9:8080","zone":"z","version":"v1",)"
    R"("slots":6,"state":"ready","coldRemainingMs":0,"phase":"decode",)"
    R"("sequence":4,"born":1790887712000,"spot":true})";

TEST_CASE("an endpoint entry is decoded") {
  const platform::JsonRecordDecoder records;
  const auto entry = records.DecodeEndpoint(Record("i-1", entry_json));
  REQUIRE(entry);
  CHECK(entry->id() == "i-1");
  CHECK(entry->address() == "10.0.0.9:8080");
  CHECK(entry->phase() == schema::PHASE_DECODE);
  CHECK(entry->cheap());
  CHECK(entry->born_ms() == 1790887712000);
  CHECK(entry->leaves_ms() == -1);
}

// Guards against routing to an endpoint whose entry is malformed.
TEST_CASE("an entry with a missing or invalid field is rejected") {
  const platform::JsonRecordDecoder records;
  const auto with = [&](const std::string& from, const std::string& to) {
    std::string text = entry_json;
    text.replace(text.find(from), from.size(), to);
    return records.DecodeEndpoint(Record("i-1", text)).has_value();
  };
  CHECK(with("\"ready\"", "\"draining\""));
  CHECK_FALSE(with("\"ready\"", "\"odd\""));
  CHECK_FALSE(with("\"slots\":6", "\"slots\":\"6\""));
  CHECK_FALSE(with("\"address\":\"10.0.0.9:8080\"", "\"address\":[1]"));
  CHECK_FALSE(with("\"sequence\":4,", ""));
  CHECK_FALSE(with("{", "["));
  CHECK_FALSE(records.DecodeEndpoint(Record("i-1", "\x01\xff")).has_value());
}

TEST_CASE("the configuration is decoded and other records are rejected") {
  const platform::JsonRecordDecoder records;
  const auto catalog = records.DecodeCatalog(Record(
      "config",
      R"({"version":7,"routeTable":[{"name":"r","hostname":"h","pathPrefix":)"
      R"("/a/","routeType":"idempotent","timeoutMs":1500.0,"maxAttempts":2,)"
      R"("trafficSplit":[{"service":"s","weight":90},{"service":"t",)"
      R"("weight":10}]}],"serviceTable":[{"name":"s","engine":{"slots":8,)"
      R"("kvTokenBytes":18432},"scaling":{"minReplicas":1,"maxReplicas":8,)"
      R"("spotPrice":0.22,"zonePrices":{"z":1.5}}}],"limits":)"
      R"({"maxHeaderBytes":1000},"tenants":[{"name":"w","apiKeys":["k"]}]})"));
  REQUIRE(catalog);
  CHECK(catalog->version() == 7);
  CHECK(catalog->routes(0).kind() == schema::REPEAT_ALLOWED);
  CHECK(catalog->routes(0).services_size() == 2);
  CHECK(catalog->services(0).scaling().zone_prices().at("z") == 1.5);
  CHECK(catalog->workspaces(0).keys(0) == "k");
  CHECK_FALSE(records.DecodeCatalog(Record("other", "{}")).has_value());
  CHECK_FALSE(records.DecodeCatalog(Record("config", "{}")).has_value());
}

// The configuration with one workspace that has these further fields.
std::string CatalogWithLimit(const std::string& fields) {
  return R"({"version":1,"routeTable":[],"tenants":[{"name":"w","apiKeys":)"
         R"(["k"])" +
         fields + "}]}";
}

TEST_CASE("the allotment of a workspace is decoded") {
  const platform::JsonRecordDecoder records;
  const auto decode = [&](const std::string& fields) {
    const auto catalog =
        records.DecodeCatalog(Record("config", CatalogWithLimit(fields)));
    REQUIRE(catalog);
    return catalog->workspaces(0);
  };
  const schema::CatalogWorkspace workspace =
      decode(R"(,"unit":"token_accounting","uncachedTokens":200,)"
             R"("ratePerS":3101267,"burst":3101268)");
  REQUIRE(workspace.has_allotment());
  CHECK(workspace.allotment().unit() == schema::ALLOTMENT_TOKENS);
  CHECK(workspace.allotment().rate_per_s() == 3101267);
  CHECK(workspace.allotment().burst() == 3101268);
  CHECK(workspace.allotment().default_cost() == 200);
  const auto requests = decode(R"(,"ratePerS":3)");
  CHECK(requests.allotment().unit() == schema::ALLOTMENT_REQUESTS);
  CHECK(requests.allotment().burst() == 0);
}

// Failure: an odd limit refuses all requests of a workspace, ends the process,
// or costs the whole configuration.
TEST_CASE("an allotment that cannot be read is no limit") {
  const platform::JsonRecordDecoder records;
  for (const char* fields :
       {"", R"(,"ratePerS":0)", R"(,"ratePerS":-1)", R"(,"ratePerS":1e308)",
        R"(,"ratePerS":"5")", R"(,"ratePerS":5,"burst":-1)",
        R"(,"ratePerS":5,"burst":[])", R"(,"burst":5)",
        R"(,"ratePerS":5,"unit":"bytes")", R"(,"ratePerS":5,"unit":7)",
        R"(,"ratePerS":5,"uncachedTokens":-2)"}) {
    CAPTURE(fields);
    const auto catalog =
        records.DecodeCatalog(Record("config", CatalogWithLimit(fields)));
    REQUIRE(catalog);
    CHECK_FALSE(catalog->workspaces(0).has_allotment());
    CHECK(catalog->workspaces(0).keys(0) == "k");
  }
}

HttpRequest MakeRequest() {
  HttpRequest request;
  request.m_headers = {{"Host", "h"},
                       {"Attempt-Id", "a1"},
                       {"Key", "secret"},
                       {"Tenant", "forged"},
                       {"Kv-Source", "forged"},
                       {"Deadline-Ms", "5000"},
                       {"X-Own", "kept"},
                       {"X-Hop", "dropped"},
                       {"Connection", "keep-alive, x-hop"},
                       {"Token-Count", "1460,80"},
                       {"Prompt-Prefix", "5c:800, 91:410,e4:250"}};
  return request;
}

// Guards against forwarding the caller's key to an endpoint, and against
// forwarding reserved fields that the caller set itself.
TEST_CASE("an endpoint gets the caller's end-to-end fields and the system's") {
  const WireFormat& format = platform::RequestFormat();
  UpstreamMetadata terms;
  terms.m_endpoint = "i-1";
  terms.m_workspace = "w";
  terms.m_time_left = std::chrono::milliseconds(1234);
  const HttpFields fields = format.EndpointFields(MakeRequest(), terms);
  const auto text = [&fields](const char* name) {
    const std::string* value = FindFieldIgnoreCase(fields, name);
    return value == nullptr ? std::string("none") : *value;
  };
  CHECK(text("Key") == "none");
  CHECK(text("Kv-Source") == "none");
  CHECK(text("X-Hop") == "none");
  CHECK(text("Connection") == "none");
  CHECK(text("X-Own") == "kept");
  CHECK(text("Attempt-Id") == "a1");
  CHECK(text("Tenant") == "w");
  CHECK(text("Deadline-Ms") == "1234");
  CHECK(text("Expect-Instance") == "i-1");
}

TEST_CASE("the header fields of a caller are decoded") {
  const RequestMetadata terms =
      platform::RequestFormat().ParseRequestMetadata(MakeRequest());
  CHECK(terms.m_key == "secret");
  CHECK(terms.m_prompt_tokens == 1460);
  CHECK(terms.m_max_output_tokens == 80);
  REQUIRE(terms.m_parts.size() == 3);
  CHECK(terms.m_parts[1].m_id == "91");
  CHECK(terms.m_parts[1].m_tokens == 410);
  CHECK(terms.m_time_left == std::chrono::milliseconds(5000));
}

// Failure (LIMIT): a limit that cannot be read counts as none, which would end
// one that holds.
TEST_CASE("a response names the limit of its endpoint") {
  const auto limit = [](const HttpFields& fields) {
    return platform::RequestFormat()
        .ParseResponseMetadata(200, fields)
        .m_limit_rate;
  };
  CHECK_FALSE(limit({}));
  CHECK(limit({{"Server-Limit", "2.5"}}) == 2.5);
  CHECK(limit({{"server-limit", " 7 "}}) == 7.0);
  for (const char* value : {"", "many", "1e999", "3 a second"}) {
    CAPTURE(value);
    const std::optional<double> unreadable = limit({{"Server-Limit", value}});
    REQUIRE(unreadable);
    CHECK(std::isnan(*unreadable));
  }
}

TEST_CASE("a response says whether its endpoint leaves or wants a pause") {
  const WireFormat& format = platform::RequestFormat();
  CHECK(format.ParseResponseMetadata(200, {{"Server-Leaving", "1"}}).m_leaving);
  CHECK_FALSE(format.ParseResponseMetadata(200, {}).m_leaving);
  const auto pause = [&format](int status, const std::string& value) {
    return format.ParseResponseMetadata(status, {{"Retry-After", value}})
        .m_retry_after_s;
  };
  CHECK(pause(503, "2") == 2.0);
  CHECK(pause(503, " 0.25 ") == 0.25);
  CHECK_FALSE(pause(503, "soon"));
  CHECK_FALSE(pause(503, "1e999"));
  CHECK_FALSE(pause(200, "2"));
}

TEST_CASE("a response names its own call, another one or none") {
  const WireFormat& format = platform::RequestFormat();
  CHECK(format.MatchAttempt({{"attempt-id", "a"}}, "a") == ResponseMatch::kOwn);
  CHECK(format.MatchAttempt({{"Attempt-Id", "b"}}, "a") ==
        ResponseMatch::kOther);
  CHECK(format.MatchAttempt({}, "a") == ResponseMatch::kUnidentified);
  CHECK(format.MatchAttempt({}, "") == ResponseMatch::kOwn);
}

// HTTP port that ends each call at once with the result set by the test.
class ScriptedHttpPort : public HttpPort {
 public:
  CallId Start(HttpCall call, HttpEvents events) override {
    m_calls.push_back(call);
    if (m_status != 0 && events.m_on_head) {
      events.m_on_head(m_status, m_fields);
    }
    if (m_status != 0 && !m_body.empty()) events.m_on_body(m_body);
    events.m_on_end({m_error, m_status, m_sent});
    return m_calls.size();
  }
  void Cancel(CallId /*id*/) override {}

  int m_status = 200;
  HttpFields m_fields;
  std::string m_body;
  std::error_code m_error;
  bool m_sent = true;
  std::vector<HttpCall> m_calls;
};

TEST_CASE("a conditional append is sent and its errors are distinguished") {
  ScriptedHttpPort http;
  platform::StoreClient store(http, "10.0.0.1:1");
  StreamAppend append;
  append.m_stream = Stream::kDuties;
  append.m_value = "ab";
  append.m_expected_end = 5;
  AppendResult last;
  const auto run = [&](int status, const std::string& body) {
    http.m_status = status;
    http.m_body = body;
    store.Append(append, [&last](const AppendResult& r) { last = r; });
    return last.m_fault;
  };
  CHECK(run(200, R"({"offset":5,"endOffset":6})") == StoreFault::kNone);
  CHECK(last.m_offset == 5);
  CHECK(http.m_calls[0].m_url.find("&at=5") != std::string::npos);
  CHECK(http.m_calls[0].m_body == std::string("\0\0\0\2ab", 6));
  CHECK(run(412, R"({"endOffset":9})") == StoreFault::kCondition);
  CHECK(last.m_end == 9);
  CHECK(run(503, "") == StoreFault::kRefused);
  CHECK(run(409, "{}") == StoreFault::kRepeated);
  CHECK(run(200, "garbage") == StoreFault::kMalformed);
  http.m_error = HttpError::kTimeout;
  CHECK(run(0, "") == StoreFault::kUnanswered);
  http.m_sent = false;
  CHECK(run(0, "") == StoreFault::kRefused);
}

TEST_CASE("records are read with offsets and removed keys are marked") {
  ScriptedHttpPort http;
  platform::StoreClient store(http, "10.0.0.1:1");
  http.m_body = std::string(16, '\0') + std::string("\0\0\0\4\2k1v", 8) +
                std::string("\0\0\0\3\2k2", 7) + std::string("\0\0\0", 3);
  ReadResult result;
  store.Read(Stream::kEndpoints, 10, Duration(0),
             [&result](const ReadResult& r) { result = r; });
  REQUIRE(result.m_records.size() == 2);
  CHECK(result.m_records[0].m_key == "k1");
  CHECK(result.m_records[0].m_value == "v");
  CHECK(result.m_records[1].m_offset == 11);
  CHECK(result.m_records[1].m_removed);
  CHECK(result.m_next == 12);
}

// Failure: an answer of a store that was replaced by a copy is taken for one of
// the store before, or an unreadable era for a change.
TEST_CASE("each answer of the store carries its era") {
  ScriptedHttpPort http;
  platform::StoreClient store(http, "10.0.0.1:1");
  ReadResult read;
  const auto era_of_read = [&](const HttpFields& fields, int status) {
    http.m_fields = fields;
    http.m_status = status;
    http.m_body = std::string(16, '\0');
    store.Read(Stream::kEndpoints, 10, Duration(0),
               [&read](const ReadResult& r) { read = r; });
    return read.m_era;
  };
  CHECK(era_of_read({{"Store-Era", "7"}}, 200) == 7);
  CHECK(era_of_read({{"store-era", "8"}}, 410) == 8);
  CHECK(read.m_fault == StoreFault::kTrimmed);
  CHECK(era_of_read({{"Store-Era", "9"}}, 503) == 9);
  for (const char* odd :
       {"", "x", "-1", "1.5", "1e3", " 2", "99999999999999999999999999"}) {
    CAPTURE(odd);
    CHECK_FALSE(era_of_read({{"Store-Era", odd}}, 200).has_value());
  }
  CHECK_FALSE(era_of_read({}, 200).has_value());
  http.m_fields = {{"Store-Era", "7"}};
  http.m_status = 412;
  http.m_body = R"({"endOffset":9})";
  AppendResult append;
  store.Append({}, [&append](const AppendResult& r) { append = r; });
  CHECK(append.m_fault == StoreFault::kCondition);
  CHECK(append.m_era == 7);
}

// First page of a snapshot is answered, the second call is lost.
class LostPageHttpPort : public HttpPort {
 public:
  CallId Start(HttpCall /*call*/, HttpEvents events) override {
    if (++m_calls == 1) {
      events.m_on_head(200, {{"Store-Era", "7"}});
      events.m_on_body(
          R"({"items":[{"key":"a","value":"","offset":1}],"hasMore":true,"endOffset":9})");
      events.m_on_end({{}, 200, true});
    } else {
      events.m_on_end({HttpError::kTimeout, 0, true});
    }
    return m_calls;
  }
  void Cancel(CallId /*id*/) override {}

  CallId m_calls = 0;
};

// Failure: a page of a snapshot that got no answer counts as an answer of a
// restored store, so that a store that is lost counts as one that answers.
TEST_CASE("a lost page of a snapshot is unanswered, not of another era") {
  LostPageHttpPort http;
  platform::StoreClient store(http, "10.0.0.1:1");
  ReadResult result;
  store.ReadNewest(Stream::kEndpoints,
                   [&result](const ReadResult& r) { result = r; });
  CHECK(result.m_fault == StoreFault::kUnanswered);
}

TEST_CASE("a duty call carries the holder and the fencing token") {
  ScriptedHttpPort http;
  platform::DutyClient duties(http, "10.0.0.1:1");
  schema::FixedWindow window;
  window.set_window(9);
  schema::UsageCount* count = window.add_counts();
  count->set_workspace("w");
  count->set_requests(4);
  DutyResult last = DutyResult::kRefused;
  const auto done = [&last](DutyResult r) { last = r; };
  duties.ReportUsage({"i1", 12, std::chrono::milliseconds(700)}, window, done);
  CHECK(http.m_calls.at(0).m_timeout == std::chrono::milliseconds(700));
  CHECK(last == DutyResult::kAccepted);
  const HttpCall& call = http.m_calls.at(0);
  CHECK(*FindFieldIgnoreCase(call.m_headers, "Fencing-Token") == "12");
  CHECK(call.m_body.find("\"w\" : 4") != std::string::npos);
  http.m_status = 409;
  duties.OrderEndpoints({"i1", 12, std::chrono::seconds(5)},
                        {"s", "z", 3, true}, done);
  CHECK(http.m_calls.at(1).m_timeout == std::chrono::seconds(1));
  CHECK(last == DutyResult::kFenced);
}

}  // namespace
}  // namespace comfreypaddle
