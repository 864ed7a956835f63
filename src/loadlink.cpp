#include "loadlink.h"

#include <utility>

#include "allotmentcodec.h"
#include "eventlog.h"
#include "instancecall.h"
#include "memberwatch.h"
#include "peersync.h"

namespace comfreypaddle {

namespace {

// Timeout of a load exchange. A later answer would be outdated.
constexpr Duration kCallTimeout = std::chrono::milliseconds(300);

// Delay after a failed call to the upstream.
constexpr Duration kRetryDelay = std::chrono::milliseconds(500);

// Interval between exchanges with another zone.
constexpr Duration kZoneExchangeInterval = std::chrono::milliseconds(100);

// Time for which the sender of a zone's load counts as the reader of the zone.
constexpr Duration kSenderRetention = std::chrono::seconds(1);

using LoadCallback = std::function<void(const schema::LoadList* list)>;

LoadTable ToTable(const schema::LoadList& list, Instant now) {
  LoadTable table;
  for (const schema::SharedLoad& load : list.loads()) {
    EndpointLoad& entry = table[load.endpoint()];
    entry.m_running = load.running();
    entry.m_prefill_ms = load.prefill_ms();
    entry.m_held_tokens = load.held_tokens();
    if (!load.has_limit_rate()) continue;
    entry.m_limit = {load.limit_rate(), now - FromMs(load.limit_age_ms())};
  }
  return table;
}

schema::LoadList ToList(const LoadTable& table, Instant now) {
  schema::LoadList list;
  for (const auto& [endpoint, load] : table) {
    schema::SharedLoad* entry = list.add_loads();
    entry->set_endpoint(endpoint);
    entry->set_running(load.m_running);
    entry->set_prefill_ms(static_cast<float>(load.m_prefill_ms));
    entry->set_held_tokens(static_cast<float>(load.m_held_tokens));
    if (!load.m_limit) continue;
    entry->set_limit_rate(load.m_limit->m_rate);
    entry->set_limit_age_ms(
        static_cast<float>(ToMs(now - load.m_limit->m_said_at)));
  }
  return list;
}

// Convert the uses of prefixes from and to messages.
std::vector<PrefixUse> ToUses(const schema::LoadList& list) {
  std::vector<PrefixUse> uses;
  uses.reserve(list.prefix_uses_size());
  for (const schema::PrefixUse& use : list.prefix_uses()) {
    uses.push_back({use.prefix_hash(), use.endpoint()});
  }
  return uses;
}

void AddToList(const std::vector<PrefixUse>& uses, schema::LoadList* list) {
  for (const PrefixUse& use : uses) {
    schema::PrefixUse* entry = list->add_prefix_uses();
    entry->set_prefix_hash(use.m_prefix_hash);
    entry->set_endpoint(use.m_endpoint);
  }
}

// The load of all instances except this one of this zone, and the uses that it
// was not told yet.
schema::LoadList ListForMember(ControlState& state, const std::string& name) {
  const Instant now = state.m_clock();
  schema::LoadList list = ToList(SumOtherLoad(state.m_load, name, now), now);
  AddToList(TakeUsesForMember(state.m_load.m_uses, name), &list);
  *list.mutable_workspace_uses() =
      ToMessage(SumOtherAllotments(state.m_load, name, now));
  return list;
}

// The load of this zone, and the uses that the other zone was not told yet.
schema::LoadList ListForZone(ControlState& state, const std::string& zone) {
  const Instant now = state.m_clock();
  schema::LoadList list = ToList(SumZoneLoad(state.m_load, now), now);
  AddToList(TakeUsesForZone(state.m_load.m_uses, zone), &list);
  *list.mutable_workspace_uses() =
      ToMessage(SumZoneAllotments(state.m_load, now));
  return list;
}

void SendToRelay(ControlState& state, schema::LoadList others) {
  schema::RelayMessage message;
  *message.mutable_others() = std::move(others);
  state.m_relay->Post(std::move(message));
}

// Sends the load. done gets the answer, or null if the call failed.
void SendLoad(ControlState& state, const UpstreamCandidate& to,
              const schema::LoadShare& share, LoadCallback done) {
  InstanceCall call;
  call.m_address = to.m_address;
  call.m_target = kLoadTarget;
  call.m_body = share.SerializeAsString();
  call.m_connection_timeout = kCallTimeout;
  call.m_call_timeout = kCallTimeout;
  CallInstance(state, call, "load_share_failed",
               [address = to.m_address,
                done = std::move(done)](const std::string* body) {
                 schema::LoadList list;
                 const bool answered =
                     body != nullptr && list.ParseFromString(*body);
                 if (body != nullptr && !answered) {
                   LogLine("load_share_decode_failed").Add("address", address);
                 }
                 done(answered ? &list : nullptr);
               });
}

schema::LoadShare MakeShare(const ControlState& state, schema::LoadList load,
                            bool of_zone) {
  schema::LoadShare share;
  share.set_name(state.m_options.m_name);
  share.set_availability_zone(state.m_options.m_zone);
  share.set_of_zone(of_zone);
  *share.mutable_load() = std::move(load);
  return share;
}

// Keeps the uses of this instance until they can be sent.
void AddOwnUses(ControlState& state, const schema::LoadList& own) {
  AddUses(state.m_load.m_uses, UseOrigin::kMember, state.m_options.m_name,
          ToUses(own));
}

// Sends the load of this instance to the upstream and gets that of all others.
void ExchangeWithUpstream(ControlState& state, const schema::LoadList& own) {
  LoadExchange& exchange = state.m_load_exchange;
  const Instant now = state.m_clock();
  AddOwnUses(state, own);
  if (exchange.m_busy || now < exchange.m_due) return;
  exchange.m_busy = true;
  schema::LoadList sent = own;
  sent.clear_prefix_uses();
  AddToList(TakeUsesForZone(state.m_load.m_uses, ""), &sent);
  SendLoad(state, state.m_upstream.m_selected,
           MakeShare(state, std::move(sent), false),
           [&state](const schema::LoadList* others) {
             state.m_load_exchange.m_busy = false;
             if (others != nullptr) {
               SendToRelay(state, *others);
             } else {
               state.m_load_exchange.m_due = state.m_clock() + kRetryDelay;
             }
           });
}

// Returns the presumed reader of the zone. Its name is empty if there is none.
UpstreamCandidate FindReader(const ControlState& state,
                             ZoneLoadExchange& exchange,
                             const std::vector<UpstreamCandidate>& live) {
  const Instant now = state.m_clock();
  SelectUpstream(exchange.m_reader, live, now);
  if (now - exchange.m_last_sender_at >= kSenderRetention)
    return exchange.m_reader.m_selected;
  for (const UpstreamCandidate& candidate : live) {
    if (candidate.m_name == exchange.m_last_sender) return candidate;
  }
  return exchange.m_reader.m_selected;
}

void ExchangeWithZone(ControlState& state, const std::string& zone,
                      ZoneLoadExchange& exchange,
                      const UpstreamCandidate& reader) {
  exchange.m_busy = true;
  const std::string name = reader.m_name;
  SendLoad(state, reader, MakeShare(state, ListForZone(state, zone), true),
           [&state, zone, name](const schema::LoadList* sum) {
             ZoneLoadExchange& done = state.m_zone_exchanges[zone];
             done.m_busy = false;
             const Instant now = state.m_clock();
             if (sum != nullptr) {
               OnUpstreamSuccess(done.m_reader, name);
               SetZoneLoad(state.m_load, zone, ToTable(*sum, now), now);
               SetZoneAllotments(state.m_load, zone,
                                 FromMessage(sum->workspace_uses()), now);
               AddUses(state.m_load.m_uses, UseOrigin::kZone, zone,
                       ToUses(*sum));
             } else {
               OnUpstreamFailure(done.m_reader, name, now);
               if (done.m_last_sender == name) done.m_last_sender.clear();
             }
           });
}

// Exchanges the load of this zone with the readers of the other zones.
void ExchangeWithZones(ControlState& state) {
  const Instant now = state.m_clock();
  if (now < state.m_load_exchange.m_due) return;
  state.m_load_exchange.m_due = now + kZoneExchangeInterval;
  const std::vector<UpstreamCandidate> live = LiveInstances(state);
  for (const UpstreamCandidate& instance : live) {
    if (instance.m_zone == state.m_options.m_zone) continue;
    state.m_zone_exchanges[instance.m_zone].m_reader.m_zone = instance.m_zone;
  }
  for (auto& [zone, exchange] : state.m_zone_exchanges) {
    const UpstreamCandidate reader = FindReader(state, exchange, live);
    if (exchange.m_busy || reader.m_name.empty()) continue;
    ExchangeWithZone(state, zone, exchange, reader);
  }
}

}  // namespace

void ExchangeLoad(ControlState& state, const schema::LoadList& own) {
  if (HasUpstream(state.m_upstream)) {
    ExchangeWithUpstream(state, own);
    return;
  }
  const std::string& name = state.m_options.m_name;
  AddOwnUses(state, own);
  SetMemberLoad(state.m_load, name, ToTable(own, state.m_clock()),
                state.m_clock());
  SetMemberAllotments(state.m_load, name, FromMessage(own.workspace_uses()),
                      state.m_clock());
  ExchangeWithZones(state);
  SendToRelay(state, ListForMember(state, name));
}

schema::LoadList MergeLoadShare(ControlState& state,
                                const schema::LoadShare& share) {
  const Instant now = state.m_clock();
  HeardFrom(state, share.name());
  if (share.of_zone()) {
    SetZoneLoad(state.m_load, share.availability_zone(),
                ToTable(share.load(), now), now);
    SetZoneAllotments(state.m_load, share.availability_zone(),
                      FromMessage(share.load().workspace_uses()), now);
    ZoneLoadExchange& exchange =
        state.m_zone_exchanges[share.availability_zone()];
    exchange.m_last_sender = share.name();
    exchange.m_last_sender_at = now;
    AddUses(state.m_load.m_uses, UseOrigin::kZone, share.availability_zone(),
            ToUses(share.load()));
    return ListForZone(state, share.availability_zone());
  }
  SetMemberLoad(state.m_load, share.name(), ToTable(share.load(), now), now);
  SetMemberAllotments(state.m_load, share.name(),
                      FromMessage(share.load().workspace_uses()), now);
  AddUses(state.m_load.m_uses, UseOrigin::kMember, share.name(),
          ToUses(share.load()));
  return ListForMember(state, share.name());
}

}  // namespace comfreypaddle
