#include "memberwatch.h"

#include "eventlog.h"
#include "instancecall.h"
#include "storereader.h"

namespace comfreypaddle {

namespace {

constexpr Duration kWatchInterval = std::chrono::milliseconds(500);
constexpr Duration kCallTimeout = std::chrono::milliseconds(600);

std::vector<ListedInstance> ListInstances(const ControlState& state) {
  std::vector<ListedInstance> listed;
  listed.reserve(state.m_instances.size());
  for (const auto& [name, record] : state.m_instances) {
    listed.push_back({name, record.availability_zone(), record.peers(),
                      record.incarnation(), record.left()});
  }
  return listed;
}

ListedInstance Self(const ControlState& state) {
  return {state.m_options.m_name, state.m_options.m_zone,
          state.m_options.m_peers, state.m_options.m_incarnation, false};
}

void Probe(ControlState& state, const std::string& address) {
  InstanceCall call;
  call.m_address = address;
  call.m_target = kProbeTarget;
  call.m_connection_timeout = kCallTimeout;
  call.m_call_timeout = kCallTimeout;
  CallInstance(state, call, "instance_probe_failed",
               [](const std::string* /*body*/) {});
}

// Drops the record of an instance that is gone. The list must be as it was
// read: the instance may have registered again since.
void DropRecord(ControlState& state, const std::string& name) {
  const schema::InstanceRecord& record = state.m_instances.at(name);
  LogLine("instance_gone")
      .Add("instance", name)
      .Add("address", record.peers())
      .Add("left", record.left() ? 1 : 0)
      .Add("incarnation", static_cast<std::int64_t>(record.incarnation()));
  StreamAppend append;
  append.m_stream = Stream::kInstances;
  append.m_key = name;
  append.m_expected_end = state.m_instances_cursor.m_next;
  state.m_member_watch.m_is_dropping = true;
  state.m_store->Append(append, [&state](const AppendResult& result) {
    state.m_member_watch.m_is_dropping = false;
    RecordStoreCall(state, result);
    // The list has changed, by this call or another one.
    state.m_instances_cursor.m_due = {};
  });
}

}  // namespace

void HeardFrom(ControlState& state, const std::string& name) {
  const auto found = state.m_instances.find(name);
  if (found == state.m_instances.end()) return;
  NoteSign(state.m_member_watch.m_watch, found->second.peers(),
           PeerSign::kAnswered, state.m_clock());
}

void WatchInstances(ControlState& state) {
  MemberWatch& member = state.m_member_watch;
  const Instant now = state.m_clock();
  if (now < member.m_due) return;
  member.m_due = now + kWatchInterval;
  const std::vector<ListedInstance> listed = ListInstances(state);
  UpdateListed(member.m_watch, listed, now);
  if (HasUpstream(state.m_upstream) || !state.m_instances_cursor.m_initialized)
    return;
  const ListedInstance self = Self(state);
  for (const std::string& address :
       TakeProbeTargets(member.m_watch, listed, self, now)) {
    Probe(state, address);
  }
  if (member.m_is_dropping || !IsServedByStore(state)) return;
  const std::vector<std::string> gone =
      FindGone(member.m_watch, listed, self, now);
  if (!gone.empty()) DropRecord(state, gone.front());
}

}  // namespace comfreypaddle
