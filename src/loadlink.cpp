#include "loadlink.h"

#include <utility>

#include "eventlog.h"
#include "instancecall.h"
#include "neighbours.h"

namespace comfreypaddle {

namespace {

// Time limit of a call that shares load; later the answer is of no use.
constexpr Duration kCallTime = std::chrono::milliseconds(300);

// Pause after a failed call to the followed instance.
constexpr Duration kFailurePause = std::chrono::milliseconds(500);

// Time between two exchanges with another zone.
constexpr Duration kZonePeriod = std::chrono::milliseconds(100);

// Time for which an instance that told the load of its zone counts as its
// reader.
constexpr Duration kHeardTime = std::chrono::seconds(1);

using ListTaken = std::function<void(const schema::LoadList* list)>;

LoadTable ToTable(const schema::LoadList& list) {
  LoadTable table;
  for (const schema::SharedLoad& load : list.loads()) {
    table[load.endpoint()] = {load.running(), load.prefill_ms()};
  }
  return table;
}

schema::LoadList ToList(const LoadTable& table) {
  schema::LoadList list;
  for (const auto& [endpoint, load] : table) {
    schema::SharedLoad* entry = list.add_loads();
    entry->set_endpoint(endpoint);
    entry->set_running(load.m_running);
    entry->set_prefill_ms(static_cast<float>(load.m_prefill_ms));
  }
  return list;
}

void TellRelay(ControlState& state, schema::LoadList others) {
  schema::RelayMessage message;
  *message.mutable_others() = std::move(others);
  state.m_relay->Post(std::move(message));
}

// Sends the load; done gets the answer, or null if there is none.
void Send(ControlState& state, const UpstreamCandidate& to,
          const schema::LoadShare& share, ListTaken done) {
  InstanceCall call;
  call.m_address = to.m_address;
  call.m_target = kLoadTarget;
  call.m_body = share.SerializeAsString();
  call.m_connect_time = kCallTime;
  call.m_time = kCallTime;
  CallInstance(*state.m_peers, call, "load_share_failed",
               [address = to.m_address,
                done = std::move(done)](const std::string* body) {
                 schema::LoadList list;
                 const bool answered =
                     body != nullptr && list.ParseFromString(*body);
                 if (body != nullptr && !answered) {
                   LogLine("load_share_unreadable").Add("address", address);
                 }
                 done(answered ? &list : nullptr);
               });
}

schema::LoadShare MakeShare(const ControlState& state, const LoadTable& load,
                            bool of_zone) {
  schema::LoadShare share;
  share.set_name(state.m_options.m_name);
  share.set_availability_zone(state.m_options.m_zone);
  share.set_of_zone(of_zone);
  *share.mutable_load() = ToList(load);
  return share;
}

// Tells the followed instance the own load and gets that of all others.
void TellUpstream(ControlState& state, const LoadTable& own) {
  LoadLink& link = state.m_load_link;
  const Instant now = state.m_clock();
  if (link.m_busy || now < link.m_due) return;
  link.m_busy = true;
  Send(state, state.m_upstream.m_chosen, MakeShare(state, own, false),
       [&state](const schema::LoadList* others) {
         state.m_load_link.m_busy = false;
         if (others != nullptr) {
           TellRelay(state, *others);
         } else {
           state.m_load_link.m_due = state.m_clock() + kFailurePause;
         }
       });
}

// Returns the reader of the zone as far as it is known; without a name if
// there is none.
UpstreamCandidate ReaderOf(const ControlState& state, ZoneLink& link,
                           const std::vector<UpstreamCandidate>& live) {
  const Instant now = state.m_clock();
  ChooseUpstream(link.m_reader, live, now);
  if (now - link.m_heard_at >= kHeardTime) return link.m_reader.m_chosen;
  for (const UpstreamCandidate& candidate : live) {
    if (candidate.m_name == link.m_heard) return candidate;
  }
  return link.m_reader.m_chosen;
}

void TellZone(ControlState& state, const std::string& zone, ZoneLink& link,
              const UpstreamCandidate& reader, const schema::LoadShare& share) {
  link.m_busy = true;
  const std::string name = reader.m_name;
  Send(state, reader, share, [&state, zone, name](const schema::LoadList* sum) {
    ZoneLink& done = state.m_zone_links[zone];
    done.m_busy = false;
    const Instant now = state.m_clock();
    if (sum != nullptr) {
      OnUpstreamAnswered(done.m_reader, name);
      HearZone(state.m_load, zone, ToTable(*sum), now);
    } else {
      OnUpstreamFailed(done.m_reader, name, now);
      if (done.m_heard == name) done.m_heard.clear();
    }
  });
}

// Exchanges the load of this zone with the readers of the others.
void TellZones(ControlState& state) {
  const Instant now = state.m_clock();
  if (now < state.m_load_link.m_due) return;
  state.m_load_link.m_due = now + kZonePeriod;
  const std::vector<UpstreamCandidate> live = LiveInstances(state);
  for (const UpstreamCandidate& instance : live) {
    if (instance.m_zone == state.m_options.m_zone) continue;
    state.m_zone_links[instance.m_zone].m_reader.m_zone = instance.m_zone;
  }
  const schema::LoadShare share =
      MakeShare(state, SumOfZone(state.m_load, now), true);
  for (auto& [zone, link] : state.m_zone_links) {
    const UpstreamCandidate reader = ReaderOf(state, link, live);
    if (link.m_busy || reader.m_name.empty()) continue;
    TellZone(state, zone, link, reader, share);
  }
}

}  // namespace

void ShareLoad(ControlState& state, const schema::LoadList& own) {
  LoadTable table = ToTable(own);
  if (HasUpstream(state.m_upstream)) {
    TellUpstream(state, table);
    return;
  }
  const Instant now = state.m_clock();
  HearMember(state.m_load, state.m_options.m_name, std::move(table), now);
  TellZones(state);
  TellRelay(state,
            ToList(SumOfOthers(state.m_load, state.m_options.m_name, now)));
}

schema::LoadList AnswerLoad(ControlState& state,
                            const schema::LoadShare& share) {
  const Instant now = state.m_clock();
  if (share.of_zone()) {
    HearZone(state.m_load, share.availability_zone(), ToTable(share.load()),
             now);
    ZoneLink& link = state.m_zone_links[share.availability_zone()];
    link.m_heard = share.name();
    link.m_heard_at = now;
    return ToList(SumOfZone(state.m_load, now));
  }
  HearMember(state.m_load, share.name(), ToTable(share.load()), now);
  return ToList(SumOfOthers(state.m_load, share.name(), now));
}

}  // namespace comfreypaddle
