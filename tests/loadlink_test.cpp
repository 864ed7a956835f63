#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "loadlink.h"

#include <doctest/doctest.h>

#include "support_control.h"

namespace comfreypaddle {
namespace {

using std::chrono::milliseconds;
using testing::Instance;

constexpr std::uint32_t kEndpoint = 7;

schema::LoadList LoadOf(std::uint32_t running) {
  schema::LoadList list;
  schema::SharedLoad* load = list.add_loads();
  load->set_endpoint(kEndpoint);
  load->set_running(running);
  load->set_prefill_ms(static_cast<float>(running) * 10);
  return list;
}

std::uint32_t RunningIn(const schema::LoadList& list) {
  return list.loads_size() == 0 ? 0 : list.loads(0).running();
}

// Load of others that the instance told its task that serves callers last.
std::uint32_t ToldRelay(const Instance& instance) {
  REQUIRE_FALSE(instance.m_inbox.m_messages.empty());
  return RunningIn(instance.m_inbox.m_messages.back().others());
}

schema::LoadShare LastShare(const Instance& instance) {
  schema::LoadShare share;
  REQUIRE_FALSE(instance.m_peers.m_calls.empty());
  REQUIRE(share.ParseFromString(instance.m_peers.m_calls.back().m_body));
  return share;
}

void PlaceIn(Instance& instance, const std::string& name,
             const std::string& zone) {
  instance.m_state.m_instances[name].set_name(name);
  instance.m_state.m_instances[name].set_availability_zone(zone);
}

// Guards against instances that crowd an endpoint because each sees only its
// own requests there.
TEST_CASE("an instance learns the load of all others but itself") {
  Instance reader("a");
  reader.m_state.m_upstream.m_self = "a";
  schema::LoadShare share;
  share.set_name("b");
  *share.mutable_load() = LoadOf(2);
  ShareLoad(reader.m_state, LoadOf(3));
  CHECK(ToldRelay(reader) == 0);
  CHECK(RunningIn(AnswerLoad(reader.m_state, share)) == 3);
  ShareLoad(reader.m_state, LoadOf(3));
  CHECK(ToldRelay(reader) == 2);
  // What was told long ago does not count.
  reader.m_now += milliseconds(600);
  ShareLoad(reader.m_state, LoadOf(1));
  CHECK(ToldRelay(reader) == 0);
}

TEST_CASE("readers of two zones exchange the sums of their zones") {
  Instance here("a");
  Instance there("b");
  for (Instance* instance : {&here, &there}) {
    PlaceIn(*instance, "a", "z1");
    PlaceIn(*instance, "b", "z2");
  }
  here.m_state.m_options.m_zone = "z1";
  there.m_state.m_options.m_zone = "z2";
  ShareLoad(there.m_state, LoadOf(4));
  ShareLoad(here.m_state, LoadOf(1));
  const schema::LoadShare share = LastShare(here);
  CHECK(share.of_zone());
  const schema::LoadList sum = AnswerLoad(there.m_state, share);
  CHECK(RunningIn(sum) == 4);
  here.m_peers.m_events.back().m_on_body(sum.SerializeAsString());
  here.m_peers.m_events.back().m_on_end({HttpError::kOk, 200, true});
  ShareLoad(here.m_state, LoadOf(1));
  CHECK(ToldRelay(here) == 4);
  ShareLoad(there.m_state, LoadOf(4));
  CHECK(ToldRelay(there) == 1);
}

// Guards against a dead reader of another zone that is asked for good, and
// against its last word being used for good.
TEST_CASE("a reader that does not answer is left for the next of its zone") {
  Instance here("a");
  PlaceIn(here, "a", "z1");
  PlaceIn(here, "b", "z2");
  PlaceIn(here, "c", "z2");
  here.m_state.m_options.m_zone = "z1";
  ShareLoad(here.m_state, LoadOf(1));
  REQUIRE(here.m_peers.m_calls.size() == 1);
  here.m_peers.m_events.back().m_on_end({HttpError::kTimeout, 0, true});
  here.m_now += milliseconds(150);
  ShareLoad(here.m_state, LoadOf(1));
  REQUIRE(here.m_peers.m_calls.size() == 2);
  CHECK(here.m_state.m_zone_links["z2"].m_reader.m_chosen.m_name == "c");
}

// Guards against load that stays unknown while dead instances of another zone
// are tried one after the other: its reader tells its load all the time.
TEST_CASE("the load of another zone is exchanged with the one that tells it") {
  Instance reader("a");
  reader.m_state.m_options.m_zone = "za";
  reader.m_state.m_upstream.m_self = "a";
  reader.m_state.m_upstream.m_zone = "za";
  for (const char* name : {"a", "b"}) PlaceIn(reader, name, "za");
  for (const char* name : {"b-1", "b-2", "b-3"}) {
    PlaceIn(reader, name, "zb");
    reader.m_state.m_instances[name].set_peers(std::string(name) + ":1");
  }
  schema::LoadShare share;
  share.set_name("b-3");
  share.set_availability_zone("zb");
  share.set_of_zone(true);
  AnswerLoad(reader.m_state, share);
  ShareLoad(reader.m_state, LoadOf(3));
  REQUIRE(reader.m_peers.m_calls.size() == 1);
  CHECK(reader.m_peers.m_calls.back().m_url == "http://b-3:1/v1/load");
  // It has died: the first of its zone is tried.
  reader.m_peers.m_events.back().m_on_end({HttpError::kTimeout, 0, true});
  reader.m_now += milliseconds(100);
  ShareLoad(reader.m_state, LoadOf(3));
  REQUIRE(reader.m_peers.m_calls.size() == 2);
  CHECK(reader.m_peers.m_calls.back().m_url == "http://b-1:1/v1/load");
}

}  // namespace
}  // namespace comfreypaddle
