#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "catalog.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "directory.h"
#include "ssesplit.h"

namespace comfreypaddle {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

schema::CatalogRoute* AddRoute(schema::Catalog* catalog,
                               const std::string& name,
                               const std::string& prefix) {
  schema::CatalogRoute* route = catalog->add_routes();
  route->set_name(name);
  route->set_host("h.example");
  route->set_path_prefix(prefix);
  schema::ServiceWeight* only = route->add_services();
  only->set_service(name + "-service");
  only->set_weight(1);
  return route;
}

TEST_CASE("a route is chosen by host and longest path prefix") {
  schema::Catalog message;
  AddRoute(&message, "outer", "/a/");
  AddRoute(&message, "inner", "/a/b/");
  const CatalogIndex catalog(message);
  const auto name = [&](std::string_view host, std::string_view target) {
    const schema::CatalogRoute* route = catalog.FindRoute(host, target);
    return route == nullptr ? std::string("none") : route->name();
  };
  CHECK(name("h.example", "/a/x") == "outer");
  CHECK(name("h.example", "/a/b/x?q=/z/") == "inner");
  CHECK(name("h.example", "/a/b") == "outer");
  CHECK(name("h.example", "/ab/x") == "none");
  CHECK(name("other.example", "/a/x") == "none");
  CHECK(name("h.example", "*") == "none");
}

TEST_CASE("requests of a route are split by weight") {
  schema::Catalog message;
  schema::CatalogRoute* route = AddRoute(&message, "r", "/");
  route->mutable_services(0)->set_weight(90);
  schema::ServiceWeight* second = route->add_services();
  second->set_service("second");
  second->set_weight(10);
  int seconds_chosen = 0;
  std::uint64_t number = 1;
  for (int i = 0; i < 10'000; ++i) {
    number = number * 6364136223846793005ULL + 1442695040888963407ULL;
    if (ChooseService(*route, number) == "second") ++seconds_chosen;
  }
  CHECK(seconds_chosen > 800);
  CHECK(seconds_chosen < 1200);
}

TEST_CASE("a key identifies exactly its workspace") {
  schema::Catalog message;
  message.add_workspaces()->set_name("w1");
  message.mutable_workspaces(0)->add_keys("k1");
  const CatalogIndex catalog(message);
  REQUIRE(catalog.FindWorkspace("k1") != nullptr);
  CHECK(catalog.FindWorkspace("k1")->name() == "w1");
  CHECK(catalog.FindWorkspace("k") == nullptr);
  CHECK(catalog.FindWorkspace("") == nullptr);
}

// Failure: a byte is changed, or a partial event is forwarded.
TEST_CASE("events are cut whole and unchanged wherever the bytes break") {
  rc::check("any split gives the same events", [] {
    const std::string stream =
        "id: 1\ndata: a\n\nweight-versions: 3\nid: 2\ndata: b\ndata: c\n\n"
        "id: 3\r\ndata: d\r\n\r\n: comment\n\nid: 4\ndata: cut";
    SseSplitter cutter;
    std::string bytes;
    std::vector<std::uint64_t> ids;
    std::size_t at = 0;
    while (at < stream.size()) {
      const auto size = *rc::gen::inRange<std::size_t>(1, 9);
      for (const RawSseEvent& event :
           cutter.Feed(std::string_view(stream).substr(at, size))) {
        bytes += event.m_bytes;
        if (event.m_id) ids.push_back(*event.m_id);
      }
      at += size;
    }
    RC_ASSERT(bytes == stream.substr(0, stream.rfind("id: 4")));
    RC_ASSERT(ids == (std::vector<std::uint64_t>{1, 2, 3}));
    RC_ASSERT(cutter.HasPartial());
  });
}

schema::EndpointEntry Entry(const std::string& id) {
  schema::EndpointEntry entry;
  entry.set_id(id);
  entry.set_service("s");
  return entry;
}

// Failure: endpoints are dropped because the store was unreachable.
TEST_CASE("entries that lapse in an outage stay until the grace period ends") {
  EndpointDirectory directory;
  Instant now(seconds(100));
  OnStoreAnswer(directory, now);
  CHECK(UpsertEntry(directory, Entry("a")));
  CHECK(UpsertEntry(directory, Entry("b")));
  now += seconds(10);
  OnStoreFault(directory, now - seconds(3));
  CHECK(OnStoreAnswer(directory, now));
  CHECK_FALSE(RemoveEntry(directory, "a", now));
  CHECK_FALSE(RemoveEntry(directory, "b", now));
  CHECK(ListEntries(directory).endpoints_size() == 2);
  CHECK(UpsertEntry(directory, Entry("a")));
  CHECK(ExpireEntries(directory, now + seconds(2)).empty());
  CHECK(ExpireEntries(directory, now + milliseconds(2300)) ==
        std::vector<std::string>{"b"});
  REQUIRE(ListEntries(directory).endpoints_size() == 1);
  CHECK(ListEntries(directory).endpoints(0).id() == "a");
}

// Failure (DRAIN): an instance that was frozen, or followed a frozen one, took
// the pause for an outage and kept what had been removed meanwhile.
TEST_CASE("a pause without a failed call is no outage") {
  EndpointDirectory directory;
  Instant now(seconds(100));
  OnStoreAnswer(directory, now);
  UpsertEntry(directory, Entry("a"));
  now += seconds(4);
  // A call that was in flight during a freeze fails at the thaw.
  OnStoreFault(directory, now);
  CHECK_FALSE(OnStoreAnswer(directory, now + milliseconds(300)));
  CHECK(RemoveEntry(directory, "a", now + milliseconds(300)));
  CHECK(ListEntries(directory).endpoints_size() == 0);
}

TEST_CASE("an entry that is removed without an outage is erased at once") {
  EndpointDirectory directory;
  Instant now(seconds(100));
  OnStoreAnswer(directory, now);
  UpsertEntry(directory, Entry("a"));
  OnStoreAnswer(directory, now + milliseconds(600));
  CHECK(RemoveEntry(directory, "a", now + milliseconds(600)));
  CHECK(ListEntries(directory).endpoints_size() == 0);
}

}  // namespace
}  // namespace comfreypaddle
