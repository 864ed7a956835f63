// Entries of other writers in the list of endpoints, and other values from
// outside that no sound writer sends.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <array>
#include <random>

#include "base64.h"
#include "platform/adapter.h"
#include "relay.pb.h"

namespace comfreypaddle {
namespace {

constexpr char kSoundEntry[] =
    R"({"service":"s","address":"10.0.0.9:8080","zone":"z","version":"v1",)"
    R"("slots":6,"state":"ready","coldRemainingMs":0,"phase":"decode",)"
    R"("sequence":4,"born":1790887712000,"spot":true,"leaves_ms":10})";

std::string Repeat(const std::string& text, std::size_t count) {
  std::string result;
  result.reserve(text.size() * count);
  for (std::size_t i = 0; i < count; ++i) result += text;
  return result;
}

// The sound entry with the value of one field replaced.
std::string WithValue(const std::string& field, const std::string& value) {
  std::string text = kSoundEntry;
  const std::size_t begin = text.find("\"" + field + "\":") + field.size() + 3;
  const std::size_t end = text.find_first_of(",}", begin);
  return text.replace(begin, end - begin, value);
}

std::vector<std::string> OddValues() {
  const std::size_t depth = 100'000;
  return {"null",
          "true",
          "[]",
          "{}",
          "-1",
          "1.5",
          "1e308",
          "-1e308",
          "1e999",
          "4294967296",
          "18446744073709551615",
          "18446744073709551616",
          Repeat("9", 5000),
          "\"\"",
          "\"6\"",
          "\"a\\u0000b\"",
          "\"a\\r\\nKey: x\"",
          "\"\\ud800\"",
          "\"\xff\xfe\"",
          "\"" + Repeat("x", 1U << 20U) + "\"",
          Repeat("[", depth) + Repeat("]", depth),
          Repeat("{\"a\":", depth) + "1" + Repeat("}", depth)};
}

constexpr std::array<const char*, 12> kFields = {
    "service",         "address", "zone",     "version", "slots", "state",
    "coldRemainingMs", "phase",   "sequence", "born",    "spot",  "leaves_ms"};

StreamRecord Record(const std::string& key, const std::string& value) {
  return {0, key, value, false};
}

// Whether other instances can read a list with this entry.
bool CanBeShared(const schema::EndpointEntry& entry) {
  schema::InstanceState sent;
  *sent.mutable_endpoints()->add_endpoints() = entry;
  schema::InstanceState received;
  return received.ParseFromString(sent.SerializeAsString());
}

// Guards against a process that ends, or followers that cannot read the list,
// because of the value of one field.
TEST_CASE("an entry with an odd value is rejected or can be passed on") {
  const platform::JsonRecordDecoder records;
  for (const std::string field : kFields) {
    for (const std::string& value : OddValues()) {
      CAPTURE(field);
      CAPTURE(value.substr(0, 40));
      const auto entry =
          records.DecodeEndpoint(Record("i-1", WithValue(field, value)));
      if (entry) CHECK(CanBeShared(*entry));
    }
  }
}

TEST_CASE("a value of another type or out of range names no endpoint") {
  const platform::JsonRecordDecoder records;
  const auto decoded = [&records](const std::string& field,
                                  const std::string& value) {
    return records.DecodeEndpoint(Record("i-1", WithValue(field, value)))
        .has_value();
  };
  CHECK(decoded("slots", "6"));
  CHECK_FALSE(decoded("slots", "4294967302"));
  CHECK_FALSE(decoded("slots", "-1"));
  CHECK_FALSE(decoded("sequence", "1e308"));
  CHECK_FALSE(decoded("sequence", "18446744073709551615"));
  CHECK_FALSE(decoded("born", "18446744073709551615"));
  CHECK_FALSE(decoded("born", "\"soon\""));
  CHECK_FALSE(decoded("coldRemainingMs", "1e308"));
  CHECK_FALSE(decoded("phase", "\"odd\""));
  CHECK_FALSE(decoded("spot", "1"));
  CHECK_FALSE(decoded("zone", "\"a\\r\\nKey: x\""));
  for (const char* port : {"0", "65536", "-1", "1e3", "", "99999999999999"}) {
    CAPTURE(port);
    CHECK_FALSE(decoded("address", "\"10.0.0.9:" + std::string(port) + "\""));
  }
}

// Guards against an entry of another writer that adds a version to a service,
// and against records of streams that hold a long one.
TEST_CASE("a version that is no name names no endpoint") {
  const platform::JsonRecordDecoder records;
  const auto decoded = [&records](const std::string& value) {
    return records.DecodeEndpoint(Record("i-1", WithValue("version", value)))
        .has_value();
  };
  CHECK(decoded("\"v1.1\""));
  CHECK_FALSE(decoded("null"));
  CHECK_FALSE(decoded("1"));
  CHECK_FALSE(decoded("\"" + Repeat("x", 1U << 20U) + "\""));
}

// Guards against a header field or a message between instances that a key of
// another writer breaks.
TEST_CASE("a key that cannot be sent names no endpoint") {
  const platform::JsonRecordDecoder records;
  const std::string keys[] = {
      "", "a b", "a\r\nb", "a\xff", std::string("a\0b", 3), Repeat("k", 256)};
  for (const std::string& key : keys) {
    CAPTURE(key);
    CHECK_FALSE(records.DecodeEndpoint(Record(key, kSoundEntry)).has_value());
  }
  CHECK(records.DecodeEndpoint(Record(Repeat("k", 255), kSoundEntry)));
}

// Guards against a document that the parser cannot survive.
TEST_CASE("random changes of an entry end no process") {
  const platform::JsonRecordDecoder records;
  std::mt19937_64 random(20261205);
  const std::string bytes = "{}[]\",:0123456789eE+-.\\u\xff\x80 ntf";
  int accepted = 0;
  for (int round = 0; round < 20'000; ++round) {
    std::string text = kSoundEntry;
    const std::size_t changes = 1 + random() % 4;
    for (std::size_t i = 0; i < changes; ++i) {
      const std::size_t at = random() % text.size();
      const char byte = bytes[random() % bytes.size()];
      if (random() % 2 == 0) {
        text[at] = byte;
      } else {
        text.insert(at, 1 + random() % 3, byte);
      }
    }
    const auto entry = records.DecodeEndpoint(Record("i-1", text));
    if (!entry) continue;
    ++accepted;
    CHECK(CanBeShared(*entry));
  }
  CHECK(accepted > 0);
}

// HTTP port that answers each call with the next body.
class PagedHttpPort : public HttpPort {
 public:
  CallId Start(HttpCall call, HttpEvents events) override {
    m_urls.push_back(call.m_url);
    const std::size_t page = std::min(m_urls.size(), m_pages.size()) - 1;
    if (page < m_eras.size() && events.m_on_head) {
      events.m_on_head(200, {{"Store-Era", m_eras[page]}});
    }
    events.m_on_body(m_pages.at(page));
    if (m_urls.size() < kMaxCalls) events.m_on_end({HttpError::kOk, 200, true});
    return m_urls.size();
  }
  void Cancel(CallId /*id*/) override {}

  static constexpr std::size_t kMaxCalls = 10;
  std::vector<std::string> m_pages;
  std::vector<std::string> m_eras;  // Of the first pages.
  std::vector<std::string> m_urls;
};

std::string Page(const std::string& key_json, bool has_more) {
  return R"({"endOffset":9,"hasMore":)" +
         std::string(has_more ? "true" : "false") + R"(,"items":[{"key":)" +
         key_json + R"(,"value":")" + EncodeBase64(kSoundEntry) +
         R"(","offset":3}]})";
}

// Guards against a key of another writer that breaks the call for the next
// page.
TEST_CASE("the list is read on behind a key of any bytes") {
  PagedHttpPort http;
  http.m_pages = {Page(R"("a b&x=\r\n")", true), Page(R"("i-2")", false)};
  platform::StoreClient store(http, "10.0.0.1:1");
  std::optional<ReadResult> result;
  store.ReadNewest(Stream::kEndpoints,
                   [&result](const ReadResult& read) { result = read; });
  REQUIRE(result);
  CHECK(result->m_fault == StoreFault::kNone);
  CHECK(result->m_records.size() == 2);
  CHECK(http.m_urls.at(1).find("&after=a%20b%26x%3D%0D%0A") !=
        std::string::npos);
}

// Guards against reading the same page again until memory is exhausted.
TEST_CASE("a page without a usable key ends the read") {
  PagedHttpPort http;
  http.m_pages = {Page("7", true)};
  platform::StoreClient store(http, "10.0.0.1:1");
  std::optional<ReadResult> result;
  store.ReadNewest(Stream::kEndpoints,
                   [&result](const ReadResult& read) { result = read; });
  REQUIRE(result);
  CHECK(result->m_fault == StoreFault::kMalformed);
  CHECK(http.m_urls.size() == 1);
}

// Guards against a snapshot of which one page is from before the store was
// replaced by a copy and the next one from after it.
TEST_CASE("pages of two eras of the store are no snapshot") {
  PagedHttpPort http;
  http.m_pages = {Page(R"("i-1")", true), Page(R"("i-2")", false)};
  http.m_eras = {"4", "5"};
  platform::StoreClient store(http, "10.0.0.1:1");
  std::optional<ReadResult> result;
  store.ReadNewest(Stream::kEndpoints,
                   [&result](const ReadResult& read) { result = read; });
  REQUIRE(result);
  CHECK(result->m_fault == StoreFault::kEraChanged);
  CHECK(result->m_era == 5);
}

// Guards against odd numbers of callers and endpoints.
TEST_CASE("numbers in header fields stay within their types") {
  const WireFormat& format = platform::RequestFormat();
  HttpRequest request;
  request.m_headers = {{"Deadline-Ms", "18446744073709551615"},
                       {"Token-Count", "4294967297,18446744073709551615"},
                       {"Prompt-Prefix", "a:4294967296,b:-1,c:1e9,d"}};
  const RequestMetadata metadata = format.ParseRequestMetadata(request);
  REQUIRE(metadata.m_time_left);
  CHECK(*metadata.m_time_left > Duration(0));
  CHECK(metadata.m_prompt_tokens == 4294967295U);
  CHECK(metadata.m_max_output_tokens == 4294967295U);
  REQUIRE(metadata.m_parts.size() == 1);
  CHECK(metadata.m_parts[0].m_tokens == 4294967295U);
  CHECK_FALSE(format.ParsePrefillResult(R"({"kvHandle":"a\r\nKey: x"})"));
  CHECK_FALSE(format.ParsePrefillResult(R"({"kvHandle":7})"));
  CHECK(format.ParsePrefillResult(R"({"kvHandle":"3fa0","tokenCount":-1})"));
}

}  // namespace
}  // namespace comfreypaddle
