#include "versionsync.h"

#include <xxhash.h>

#include <algorithm>
#include <cstdio>
#include <utility>

#include "endpointlist.h"
#include "eventlog.h"
#include "keyedmirror.h"
#include "storereader.h"
#include "streamholders.h"

namespace comfreypaddle {

namespace {

// Time between questions to other instances for the versions that were listed
// lately. The first ones follow each other faster: until they are answered,
// streams of unknown version are refused.
constexpr Duration kFirstQuestionInterval = std::chrono::milliseconds(250);
constexpr Duration kQuestionInterval = std::chrono::seconds(1);
constexpr std::uint64_t kFirstQuestions = 8;

// Time between two confirmations of the list of endpoints in which versions may
// have come and gone: three status report intervals, after which the entry of
// an endpoint that has crashed is removed, and the start before them.
constexpr Duration kMaxWatchGap = std::chrono::seconds(5);

// Age of the list up to which this instance vouches for its versions: beyond
// it, the sources of the list do not work.
constexpr Duration kMaxVouchedAge = kFollowerStaleAfter;

Duration ListAge(const ControlState& state) {
  return state.m_clock() - state.m_endpoints_cursor.m_confirmed;
}

// The versions are not known any more. They are learnt again when the list is
// confirmed.
void ForgetVersions(StreamRecords& records, KeyedMirror& stored) {
  records.m_has_all_versions = false;
  records.m_watched_from.reset();
  records.m_versions_due = {};
  records.m_versions_asked = 0;
  stored.m_is_read = false;
}

// Notices a gap in the confirmations of the list: this instance was frozen or
// cut off, or the store was away.
void NoteConfirmations(ControlState& state) {
  StreamRecords& records = state.m_streams;
  const Instant confirmed = state.m_endpoints_cursor.m_confirmed;
  const Instant before = std::exchange(records.m_list_confirmed, confirmed);
  const Duration age = ListAge(state);
  const Duration gap = std::max(age, confirmed - before);
  if (records.m_watched_from && gap >= kMaxWatchGap) {
    LogLine("listed_versions_unknown")
        .AddMs("gap_ms", gap)
        .AddMs("list_age_ms", age);
    ForgetVersions(records, state.m_version_records);
  }
  if (!records.m_watched_from && age < kMaxWatchGap) {
    records.m_watched_from = confirmed;
  }
}

// Whether what was asked for at this time covers all versions that were listed
// before the list has been watched.
bool IsAskedWithinWatch(const ControlState& state, Instant asked) {
  const std::optional<Instant>& from = state.m_streams.m_watched_from;
  return from && asked >= *from;
}

void LearnAllVersions(ControlState& state, std::string_view source,
                      std::size_t versions) {
  if (std::exchange(state.m_streams.m_has_all_versions, true)) return;
  LogLine("listed_versions_learnt")
      .Add("source", source)
      .Add("versions", static_cast<std::int64_t>(versions))
      .Add("rounds",
           static_cast<std::int64_t>(state.m_streams.m_versions_asked))
      .AddMs("list_age_ms", ListAge(state));
}

using VersionList = google::protobuf::RepeatedPtrField<schema::VersionSeen>;

// Applies versions that another instance has seen.
void AddSeenVersions(ControlState& state, const VersionList& versions) {
  const Instant now = state.m_clock();
  for (const schema::VersionSeen& seen : versions) {
    // Also drops an age that is no number.
    if (!(seen.last_listed_ms() >= 0 &&
          seen.last_listed_ms() < ToMs(kResumeWindow))) {
      continue;
    }
    AddSeenVersion(
        state.m_streams.m_versions,
        {seen.service(), seen.version(), now - FromMs(seen.last_listed_ms())});
  }
}

schema::VersionSeen ToMessage(const SeenVersion& seen, Instant now) {
  schema::VersionSeen version;
  version.set_service(seen.m_service);
  version.set_version(seen.m_version);
  version.set_last_listed_ms(ToMs(now - seen.m_last_listed));
  return version;
}

// Applies the answer to a question that was sent at `asked`.
void TakeVersions(ControlState& state, const std::string& source,
                  const schema::StreamAnswer& answer, Instant asked) {
  AddSeenVersions(state, answer.versions());
  if (!answer.has_all_versions() || !IsAskedWithinWatch(state, asked)) return;
  LearnAllVersions(state, source,
                   static_cast<std::size_t>(answer.versions_size()));
}

// The upstream, which has most likely read the store, and others that differ in
// each round, as the first ones may be gone.
std::set<std::string> InstancesToAsk(ControlState& state) {
  const std::string& name = state.m_options.m_name;
  const std::uint64_t round =
      XXH64(name.data(), name.size(), ++state.m_streams.m_versions_asked);
  const Holders others =
      HoldersOf(state, ListHolders(state), round, kRecordHolders);
  std::set<std::string> asked(others.m_others.begin(), others.m_others.end());
  if (HasUpstream(state.m_upstream)) {
    asked.insert(state.m_upstream.m_selected.m_address);
  }
  return asked;
}

// Asks other instances for the versions that were listed before this one
// watched the list, until one answers that knows all or all of them are too
// old.
void AskForVersions(ControlState& state) {
  StreamRecords& records = state.m_streams;
  const Instant now = state.m_clock();
  if (records.m_has_all_versions || !records.m_watched_from ||
      !state.m_instances_cursor.m_initialized) {
    return;
  }
  if (records.m_list_confirmed - *records.m_watched_from >= kResumeWindow) {
    LearnAllVersions(state, "time", 0);
    return;
  }
  if (now < records.m_versions_due) return;
  records.m_versions_due =
      now + (records.m_versions_asked < kFirstQuestions ? kFirstQuestionInterval
                                                        : kQuestionInterval);
  schema::StreamExchange exchange;
  exchange.set_wants_versions(true);
  for (const std::string& address : InstancesToAsk(state)) {
    SendStreamExchange(
        state, address, exchange,
        [&state, address, now](const schema::StreamAnswer* answer) {
          if (answer != nullptr) TakeVersions(state, address, *answer, now);
        });
  }
}

// Keys of the store are short, names of services and versions need not be.
std::string KeyOf(const ServiceVersion& listed) {
  const auto& [service, version] = listed;
  const std::uint64_t hash = XXH64(version.data(), version.size(),
                                   XXH64(service.data(), service.size(), 0));
  constexpr std::size_t kDigits = 16;
  std::string key(kDigits + 1, '\0');
  std::snprintf(key.data(), key.size(), "%016llx",
                static_cast<unsigned long long>(hash));
  key.resize(kDigits);
  return key;
}

// Applies the records that the store had at `asked`. When their endpoints left
// the list is not known: that may have been a moment ago.
void TakeRecords(ControlState& state, Instant asked) {
  if (!IsAskedWithinWatch(state, asked)) {
    state.m_version_records.m_is_read = false;
    return;
  }
  const MirrorRecords& stored = state.m_version_records.m_stored;
  const Instant now = state.m_clock();
  for (const auto& [key, value] : stored) {
    schema::VersionRecord record;
    if (state.m_streams.m_has_all_versions || !record.ParseFromString(value)) {
      continue;
    }
    AddSeenVersion(state.m_streams.m_versions,
                   {record.service(), record.version(), now});
  }
  LearnAllVersions(state, kStoreSource, stored.size());
}

// Records of the versions that were listed lately.
MirrorRecords RecordsOf(const ControlState& state) {
  MirrorRecords records;
  for (const SeenVersion& seen :
       RecentVersions(state.m_streams.m_versions, state.m_clock())) {
    schema::VersionRecord record;
    record.set_service(seen.m_service);
    record.set_version(seen.m_version);
    records[KeyOf({seen.m_service, seen.m_version})] =
        record.SerializeAsString();
  }
  return records;
}

}  // namespace

void NoteVersion(ControlState& state, const schema::EndpointEntry& entry) {
  AddSeenVersion(state.m_streams.m_versions,
                 {entry.service(), entry.version(), state.m_clock()});
}

void UpdateListedVersions(ControlState& state) {
  std::set<ServiceVersion> listed;
  for (const auto& [id, known] : state.m_directory.m_endpoints) {
    listed.emplace(known.m_entry.service(), known.m_entry.version());
  }
  UpdateVersions(state.m_streams.m_versions, listed, state.m_clock());
}

void AddPassedVersions(const ControlState& state,
                       schema::InstanceState& answer) {
  const Instant now = state.m_clock();
  for (const SeenVersion& seen :
       PassedVersions(state.m_streams.m_versions, now)) {
    *answer.add_passed_versions() = ToMessage(seen, now);
  }
}

void TakePassedVersions(ControlState& state,
                        const schema::InstanceState& other) {
  AddSeenVersions(state, other.passed_versions());
}

void SyncVersions(ControlState& state) {
  NoteConfirmations(state);
  if (!state.m_streams.m_watched_from) return;
  SyncMirror(
      state, state.m_version_records,
      [&state, asked = state.m_clock()] { TakeRecords(state, asked); },
      [&state] { return RecordsOf(state); });
  AskForVersions(state);
}

bool HasAllVersions(const ControlState& state) {
  return state.m_streams.m_has_all_versions && ListAge(state) < kMaxVouchedAge;
}

void AddVersions(const ControlState& state, schema::StreamAnswer& answer) {
  const StreamRecords& records = state.m_streams;
  const Instant now = state.m_clock();
  for (const SeenVersion& seen : RecentVersions(records.m_versions, now)) {
    *answer.add_versions() = ToMessage(seen, now);
  }
  answer.set_has_all_versions(HasAllVersions(state));
}

}  // namespace comfreypaddle
