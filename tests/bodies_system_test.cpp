// Bodies from callers that the operators do not control. The instance must stay
// within the memory of the smallest machines and within its descriptors, and go
// on serving others. Runs real processes.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "support_crowd.h"

namespace comfreypaddle {
namespace {

using testing::CheckCrowd;
using testing::kBodyLimit;
using testing::PostHead;

constexpr std::size_t kWithoutEnd = 1U << 30U;

const std::string get_request =
    "GET /safe/crowd HTTP/1.1\r\nHost: h.example\r\nKey: k1\r\n\r\n";

const std::string length_at_limit =
    "Content-Length: " + std::to_string(kBodyLimit) + "\r\n";

// Guards against bodies that arrive in chunks and are kept after the limit has
// been passed.
TEST_CASE("bodies that are not announced and far over the limit") {
  CheckCrowd({.m_name = "not announced over",
              .m_prefix = PostHead("Transfer-Encoding: chunked\r\n"),
              .m_repeated = "8000\r\n" + std::string(0x8000, 'x') + "\r\n",
              .m_repeated_bytes = kWithoutEnd});
}

// Guards against requests that are turned away and keep their memory until
// their connections are closed, while new ones are let in (review/10).
TEST_CASE("bodies that are turned away again and again") {
  CheckCrowd({.m_name = "turned away",
              .m_connections = 180,
              .m_prefix = PostHead("Transfer-Encoding: chunked\r\n"),
              .m_repeated = "8000\r\n" + std::string(0x8000, 'x') + "\r\n",
              .m_repeated_bytes = kWithoutEnd,
              .m_bytes_at_once = 1U << 20U});
}

// Guards against a sum of bodies that has no bound, as each is within the limit
// and waits for its last byte.
TEST_CASE("bodies within the limit that never end") {
  CheckCrowd({.m_name = "within, never ended",
              .m_prefix = PostHead(length_at_limit),
              .m_repeated = "x",
              .m_repeated_bytes = kBodyLimit - 1});
}

// Guards against callers that wait for the interim response before they send a
// body that never ends.
TEST_CASE("bodies after an interim response that never end") {
  CheckCrowd(
      {.m_name = "expect",
       .m_prefix = PostHead(length_at_limit + "Expect: 100-continue\r\n"),
       .m_repeated = "x",
       .m_repeated_bytes = kBodyLimit - 1});
}

// Guards against copies of the body that are kept for the endpoint's
// connection, and against a sum of running requests without bound.
TEST_CASE("complete bodies for an endpoint that has stopped") {
  CheckCrowd({.m_name = "complete, stopped endpoint",
              .m_prefix = PostHead(length_at_limit),
              .m_repeated = "x",
              .m_repeated_bytes = kBodyLimit,
              .m_stopped_endpoint = true});
}

// Guards against callers' connections that take the descriptors which
// endpoints, other instances and the store need, and against a failing accept
// that is tried without pause.
TEST_CASE("many connections") {
  CheckCrowd({.m_name = "many connections", .m_connections = 400});
}

// Guards against responses that are kept without bound for callers that do not
// read.
TEST_CASE("callers that do not read") {
  CheckCrowd({.m_name = "no reading",
              .m_repeated = get_request,
              .m_repeated_bytes = kWithoutEnd,
              .m_reads = false});
}

}  // namespace
}  // namespace comfreypaddle
