#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "loadlink.h"

#include <doctest/doctest.h>

#include <set>

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

// Load with the use of a workspace's allotment by one instance.
schema::LoadList MakeAllotmentUse(float recent) {
  schema::LoadList list;
  list.mutable_workspace_uses()->set_instances(1);
  schema::WorkspaceUse* use = list.mutable_workspace_uses()->add_uses();
  use->set_workspace(5);
  use->set_recent(recent);
  use->set_demand(2);
  return list;
}

// Failure: an instance does not learn what others use of an allotment, counts
// its own use twice, or takes a silent instance for one that uses nothing.
TEST_CASE("an instance gets the use of allotments by all others") {
  Instance reader("a");
  reader.m_state.m_upstream.m_self = "a";
  schema::LoadShare share;
  share.set_name("b");
  *share.mutable_load() = MakeAllotmentUse(30);
  schema::LoadShare zone;
  zone.set_availability_zone("z2");
  zone.set_of_zone(true);
  *zone.mutable_load() = MakeAllotmentUse(100);
  zone.mutable_load()->mutable_workspace_uses()->set_instances(4);
  ExchangeLoad(reader.m_state, MakeAllotmentUse(7));
  MergeLoadShare(reader.m_state, zone);
  const auto to_member = MergeLoadShare(reader.m_state, share).workspace_uses();
  CHECK(to_member.instances() == 5);
  CHECK(to_member.uses(0).recent() == 107);
  const auto to_zone = MergeLoadShare(reader.m_state, zone).workspace_uses();
  CHECK(to_zone.instances() == 2);
  CHECK(to_zone.uses(0).recent() == 37);
  ExchangeLoad(reader.m_state, MakeAllotmentUse(7));
  const auto others = [&] {
    return reader.m_inbox.m_messages.back().others().workspace_uses();
  };
  CHECK(others().instances() == 5);
  CHECK(others().uses(0).recent() == 130);
  CHECK(others().uses(0).demand() == 4);
  reader.m_now += milliseconds(1300);
  ExchangeLoad(reader.m_state, MakeAllotmentUse(7));
  CHECK(others().instances() == 0);
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

schema::LoadList MakeUse(std::uint64_t prefix) {
  schema::LoadList list;
  schema::PrefixUse* use = list.add_prefix_uses();
  use->set_prefix_hash(prefix);
  use->set_endpoint(kEndpoint);
  return list;
}

std::set<std::uint64_t> PrefixesOf(const schema::LoadList& list) {
  std::set<std::uint64_t> prefixes;
  for (const schema::PrefixUse& use : list.prefix_uses()) {
    prefixes.insert(use.prefix_hash());
  }
  return prefixes;
}

using Prefixes = std::set<std::uint64_t>;

// Failure: a shared prompt prefix is computed again because only the instance
// that sent it to an endpoint knows that it is cached there.
TEST_CASE("uses of prefixes reach each other instance once") {
  Instance reader("a");
  reader.m_state.m_options.m_zone = "z1";
  reader.m_state.m_upstream.m_self = "a";
  const auto exchange = [&reader](const std::string& name,
                                  const schema::LoadList& load) {
    schema::LoadShare share;
    share.set_name(name);
    *share.mutable_load() = load;
    return PrefixesOf(MergeLoadShare(reader.m_state, share));
  };
  CHECK(exchange("b", MakeUse(1)).empty());
  CHECK(exchange("c", MakeUse(2)) == Prefixes{1});
  CHECK(exchange("b", {}) == Prefixes{2});
  CHECK(exchange("b", {}).empty());
  ExchangeLoad(reader.m_state, MakeUse(3));
  CHECK(PrefixesOf(reader.m_inbox.m_messages.back().others()) ==
        Prefixes{1, 2});
  CHECK(exchange("c", {}) == Prefixes{3});
  // Another zone gets the uses of this zone, and this zone those of the other.
  schema::LoadShare zone;
  zone.set_name("d");
  zone.set_availability_zone("z2");
  zone.set_of_zone(true);
  *zone.mutable_load() = MakeUse(4);
  CHECK(PrefixesOf(MergeLoadShare(reader.m_state, zone)) == Prefixes{1, 2, 3});
  CHECK(exchange("b", {}) == Prefixes{3, 4});
  zone.clear_load();
  CHECK(PrefixesOf(MergeLoadShare(reader.m_state, zone)).empty());
}

TEST_CASE("a follower sends its uses to its reader until the call succeeds") {
  Instance follower("b");
  follower.m_state.m_upstream.m_self = "b";
  follower.m_state.m_upstream.m_selected = {"a", "a:1", ""};
  ExchangeLoad(follower.m_state, MakeUse(1));
  CHECK(PrefixesOf(LastLoadShare(follower).load()) == Prefixes{1});
  // The call is under way; what is learnt meanwhile goes with the next one.
  ExchangeLoad(follower.m_state, MakeUse(2));
  follower.m_peers.m_events.back().m_on_end({HttpError::kOk, 200, true});
  ExchangeLoad(follower.m_state, {});
  CHECK(PrefixesOf(LastLoadShare(follower).load()) == Prefixes{2});
}

// Guards against messages and memory that grow with the number of prefixes.
TEST_CASE("the uses in one message are limited to the newest") {
  UseLog log;
  for (std::uint64_t prefix = 1; prefix <= 5000; ++prefix) {
    AddUses(log, UseOrigin::kMember, "b", {{prefix, kEndpoint}});
  }
  CHECK(log.m_uses.size() <= 1024);
  const std::vector<PrefixUse> uses = TakeUsesForMember(log, "c");
  REQUIRE_FALSE(uses.empty());
  CHECK(uses.size() <= 100);
  CHECK(uses.front().m_prefix_hash == 5000);
  CHECK(TakeUsesForMember(log, "c").empty());
}

}  // namespace
}  // namespace comfreypaddle
