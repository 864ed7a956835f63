#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "loadlink.h"

#include <doctest/doctest.h>

#include "support_control.h"

namespace comfreypaddle {
namespace {

using std::chrono::milliseconds;
using testing::Instance;

constexpr std::uint32_t kEndpoint = 7;

schema::LoadList MakeLoad(std::uint32_t running) {
  schema::LoadList list;
  schema::SharedLoad* load = list.add_loads();
  load->set_endpoint(kEndpoint);
  load->set_running(running);
  load->set_prefill_ms(static_cast<float>(running) * 10);
  return list;
}

std::uint32_t RunningRequests(const schema::LoadList& list) {
  return list.loads_size() == 0 ? 0 : list.loads(0).running();
}

// Load of the others that the instance last sent to its relay task.
std::uint32_t LoadSentToRelay(const Instance& instance) {
  REQUIRE_FALSE(instance.m_inbox.m_messages.empty());
  return RunningRequests(instance.m_inbox.m_messages.back().others());
}

schema::LoadShare LastLoadShare(const Instance& instance) {
  schema::LoadShare share;
  REQUIRE_FALSE(instance.m_peers.m_calls.empty());
  REQUIRE(share.ParseFromString(instance.m_peers.m_calls.back().m_body));
  return share;
}

void SetZone(Instance& instance, const std::string& name,
             const std::string& zone) {
  instance.m_state.m_instances[name].set_name(name);
  instance.m_state.m_instances[name].set_availability_zone(zone);
}

// Failure: instances overload an endpoint because each sees only its own
// requests there.
TEST_CASE("an instance gets the load of all instances except itself") {
  Instance reader("a");
  reader.m_state.m_upstream.m_self = "a";
  schema::LoadShare share;
  share.set_name("b");
  *share.mutable_load() = MakeLoad(2);
  ExchangeLoad(reader.m_state, MakeLoad(3));
  CHECK(LoadSentToRelay(reader) == 0);
  CHECK(RunningRequests(MergeLoadShare(reader.m_state, share)) == 3);
  ExchangeLoad(reader.m_state, MakeLoad(3));
  CHECK(LoadSentToRelay(reader) == 2);
  // Outdated load is left out.
  reader.m_now += milliseconds(600);
  ExchangeLoad(reader.m_state, MakeLoad(1));
  CHECK(LoadSentToRelay(reader) == 0);
}

TEST_CASE("readers of two zones exchange the sums of their zones") {
  Instance here("a");
  Instance there("b");
  for (Instance* instance : {&here, &there}) {
    SetZone(*instance, "a", "z1");
    SetZone(*instance, "b", "z2");
  }
  here.m_state.m_options.m_zone = "z1";
  there.m_state.m_options.m_zone = "z2";
  ExchangeLoad(there.m_state, MakeLoad(4));
  ExchangeLoad(here.m_state, MakeLoad(1));
  const schema::LoadShare share = LastLoadShare(here);
  CHECK(share.of_zone());
  const schema::LoadList sum = MergeLoadShare(there.m_state, share);
  CHECK(RunningRequests(sum) == 4);
  here.m_peers.m_events.back().m_on_body(sum.SerializeAsString());
  here.m_peers.m_events.back().m_on_end({HttpError::kOk, 200, true});
  ExchangeLoad(here.m_state, MakeLoad(1));
  CHECK(LoadSentToRelay(here) == 4);
  ExchangeLoad(there.m_state, MakeLoad(4));
  CHECK(LoadSentToRelay(there) == 1);
}

// Failure: a dead reader of another zone is queried forever, and its last load
// is used forever.
TEST_CASE("a reader that does not answer is replaced by the next of its zone") {
  Instance here("a");
  SetZone(here, "a", "z1");
  SetZone(here, "b", "z2");
  SetZone(here, "c", "z2");
  here.m_state.m_options.m_zone = "z1";
  ExchangeLoad(here.m_state, MakeLoad(1));
  REQUIRE(here.m_peers.m_calls.size() == 1);
  here.m_peers.m_events.back().m_on_end({HttpError::kTimeout, 0, true});
  here.m_now += milliseconds(150);
  ExchangeLoad(here.m_state, MakeLoad(1));
  REQUIRE(here.m_peers.m_calls.size() == 2);
  CHECK(here.m_state.m_zone_exchanges["z2"].m_reader.m_selected.m_name == "c");
}

// Failure: the load of another zone stays unknown while its dead instances are
// tried one after the other, although its reader keeps sending its load.
TEST_CASE(
    "the load of another zone is exchanged with the instance that sent it") {
  Instance reader("a");
  reader.m_state.m_options.m_zone = "za";
  reader.m_state.m_upstream.m_self = "a";
  reader.m_state.m_upstream.m_zone = "za";
  for (const char* name : {"a", "b"}) SetZone(reader, name, "za");
  for (const char* name : {"b-1", "b-2", "b-3"}) {
    SetZone(reader, name, "zb");
    reader.m_state.m_instances[name].set_peers(std::string(name) + ":1");
  }
  schema::LoadShare share;
  share.set_name("b-3");
  share.set_availability_zone("zb");
  share.set_of_zone(true);
  MergeLoadShare(reader.m_state, share);
  ExchangeLoad(reader.m_state, MakeLoad(3));
  REQUIRE(reader.m_peers.m_calls.size() == 1);
  CHECK(reader.m_peers.m_calls.back().m_url == "http://b-3:1/v1/load");
  // That instance has died: the first of its zone is tried.
  reader.m_peers.m_events.back().m_on_end({HttpError::kTimeout, 0, true});
  reader.m_now += milliseconds(100);
  ExchangeLoad(reader.m_state, MakeLoad(3));
  REQUIRE(reader.m_peers.m_calls.size() == 2);
  CHECK(reader.m_peers.m_calls.back().m_url == "http://b-1:1/v1/load");
}

}  // namespace
}  // namespace comfreypaddle
