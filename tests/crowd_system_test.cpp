// Requests without end from callers that the operators do not control, beside
// the bodies of bodies_system_test. Runs real processes.
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

// Guards against bodies that are read although their length is refused.
TEST_CASE("bodies that are announced far over the limit") {
  CheckCrowd({.m_name = "announced over",
              .m_prefix = PostHead("Content-Length: 400000000\r\n"),
              .m_repeated = "x",
              .m_repeated_bytes = kWithoutEnd});
}

// Guards against memory that is taken for the announced length.
TEST_CASE("bodies that arrive one byte at a time") {
  CheckCrowd({.m_name = "one byte at a time",
              .m_prefix = PostHead(
                  "Content-Length: " + std::to_string(kBodyLimit) + "\r\n"),
              .m_repeated = "x",
              .m_repeated_bytes = kBodyLimit,
              .m_bytes_at_once = 1});
}

// Guards against heads that are kept beyond their limit.
TEST_CASE("heads without end") {
  CheckCrowd({.m_name = "heads",
              .m_prefix = "GET /safe/crowd HTTP/1.1\r\n",
              .m_repeated = "A: b\r\n",
              .m_repeated_bytes = kWithoutEnd});
}

// Guards against pipelined input that is read without bound while a request is
// open.
TEST_CASE("pipelined requests to an endpoint that has stopped") {
  CheckCrowd({.m_name = "pipelined",
              .m_repeated = get_request,
              .m_repeated_bytes = kWithoutEnd,
              .m_stopped_endpoint = true});
}

}  // namespace
}  // namespace comfreypaddle
