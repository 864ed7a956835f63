#ifndef COMFREYPADDLE_CONTROLSTATE_H_
#define COMFREYPADDLE_CONTROLSTATE_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "crashtable.h"
#include "directory.h"
#include "fleetplan.h"
#include "holder.h"
#include "http.h"
#include "instancewatch.h"
#include "loadshare.h"
#include "searchplan.h"
#include "streamversions.h"
#include "task.h"
#include "upstream.h"
#include "usageaggregate.h"

namespace comfreypaddle {

// Read position in one stream of the store.
struct StreamCursor {
  bool m_initialized = false;  // The local copy has a first state.
  bool m_busy = false;         // A read is in flight.
  std::uint64_t m_next = 0;    // Offset of the next record to read.
  Instant m_due{};             // Earliest time of the next read.
  // Latest time at which the local copy is known to have matched the store, by
  // a read of this instance or of another one that it learned from.
  Instant m_confirmed{};
  // The records after m_next are no longer retained, so that the next read must
  // be a snapshot.
  bool m_needs_snapshot = false;
  std::uint64_t m_era = 0;  // Of the store that m_next belongs to.
};

// Window and workspace of a usage count.
using UsageSlot = std::pair<std::uint64_t, std::string>;

// Usage counts of this process, and their way into the store.
struct OwnUsage {
  // Requests so far, kept while their window may still be reported.
  std::map<UsageSlot, std::uint64_t> m_totals;
  // Slots whose total is not in a record that was sent.
  std::set<UsageSlot> m_unsent;
  // Record that is sent again until it is known to be stored.
  std::optional<schema::UsageRecord> m_pending;
  std::uint64_t m_sequence = 1;  // Of the pending record, or the next one.
  bool m_appending = false;      // It is in the batch of this instance.
  bool m_handing_over = false;   // A call with it is in flight.
  Instant m_due{};
  bool m_failed = false;  // It was not stored on the last way tried.
  bool m_split = false;   // It did not have room for all unsent totals.
};

using HandoverCallback = std::function<void(const schema::HandoverResult&)>;

// Usage record of this or another instance that waits to be appended.
struct PendingHandover {
  schema::UsageRecord m_record;
  HandoverCallback m_respond;
};

// Usage records that are appended together.
struct UsageBatchQueue {
  std::deque<PendingHandover> m_waiting;
  bool m_busy = false;  // An append is in flight.
  Instant m_due{};
};

// Progress of the usage reports to the platform.
struct ReportState {
  bool m_busy = false;
  Instant m_due{};
  std::uint64_t m_accepted = 0;  // Newest window that the platform accepted.
};

using StateQueryCallback = std::function<void(const schema::InstanceState&)>;

// Long-poll query of another instance, held until there is news for it.
struct PendingStateQuery {
  schema::InstanceQuery m_query;
  StateQueryCallback m_respond;
  Instant m_received_at{};
  Instant m_expires_at{};
};

// Effect of another instance's answer on the local state.
enum class AnswerEffect {
  kApplied,    // It contained newer data, which was applied.
  kConfirmed,  // No newer data, but a more recent confirmation.
  kStale,      // Neither of them.
};

template <>
struct EnumNames<AnswerEffect> {
  static constexpr std::array<EnumName<AnswerEffect>, 3> kTable{
      {{AnswerEffect::kApplied, "taken"},
       {AnswerEffect::kConfirmed, "confirmed"},
       {AnswerEffect::kStale, "stale"}}};
};

// Long-poll query to the upstream instance, and the version of the endpoint
// list that was last applied from another instance.
struct UpstreamLink {
  bool m_busy = false;
  Instant m_due{};
  // Whether the store answers the upstream instance, by its last answer.
  bool m_store_answers = true;
  std::string m_list_owner;  // Instance that sent the list.
  std::uint64_t m_list_incarnation = 0;
  std::uint64_t m_list_version = 0;
};

// Load exchange with the upstream instance, or with the other availability
// zones.
struct LoadExchange {
  bool m_busy = false;
  Instant m_due{};
};

// Load exchange with the instance that reads the store for another availability
// zone.
struct ZoneLoadExchange {
  UpstreamState m_reader;
  // Instance that last sent the load of the zone. Only the zone's reader sends
  // it, so while it is recent no reader needs to be searched for.
  std::string m_last_sender;
  Instant m_last_sender_at{};
  bool m_busy = false;
};

// Exchange of the table of suspects with the other instances.
struct SuspectSync {
  CrashTable m_table;
  std::vector<CrashEntry> m_unsent;  // Changed since the last push.
  Instant m_push_due{};
  Instant m_compare_due{};
  bool m_comparing = false;
  std::uint64_t m_comparisons = 0;
};

// Question for the version that began a stream (see streamsync.cpp).
struct OpenQuestion;

// Records of begun streams that this instance keeps for others.
struct StreamRecords {
  StreamTable m_table;
  VersionHistory m_versions;
  // Records to send with the next tick.
  schema::StreamBeginList m_unsent;
  // Versions that were listed before this instance watched the list of
  // endpoints: whether they are known, and when others are asked next.
  bool m_has_all_versions = false;
  Instant m_versions_due{};
  std::uint64_t m_versions_asked = 0;  // Rounds of questions.
  // Since when the list has been confirmed without a gap; nothing in a gap.
  std::optional<Instant> m_watched_from;
  Instant m_list_confirmed{};  // Its confirmation as of the last tick.
  // Questions that wait for a list of endpoints that is read after them.
  std::vector<std::shared_ptr<OpenQuestion>> m_awaiting_list;
};

// Records of a keyed stream that the readers of the zones keep (see
// keyedmirror.h).
struct KeyedMirror {
  Stream m_stream = Stream::kVersions;
  std::map<std::string, std::string> m_stored;  // As read, and written since.
  bool m_is_read = false;
  bool m_busy = false;  // A call to the store is in flight.
  Instant m_due{};
};

// Begun streams on their way into the store and back.
struct StreamStore {
  schema::StreamBeginList m_waiting;  // To be written.
  bool m_is_writing = false;
  Instant m_write_due{};
  bool m_is_reading = false;
  Instant m_read_due{};
  std::uint64_t m_next = 0;  // Offset of the next record to read.
  std::uint64_t m_era = 0;   // Of the store that m_next belongs to.
  // Questions that wait for the records up to now.
  std::vector<std::function<void()>> m_waiters;
};

// Watch over the other instances.
struct MemberWatch {
  InstanceWatch m_watch;
  Instant m_due{};
  bool m_is_dropping = false;  // A record of the list is being dropped.
};

struct ControlOptions {
  std::string m_name;
  std::string m_zone;
  std::string m_peers;  // IP:PORT on which other instances reach this one.
  std::uint64_t m_incarnation = 0;
  Duration m_poll_interval = std::chrono::milliseconds(600);
  Duration m_store_read_wait = std::chrono::milliseconds(700);
};

struct ControlCounters {
  std::uint64_t m_store_calls = 0;
  std::uint64_t m_store_faults = 0;
  std::uint64_t m_unreadable = 0;  // Records that could not be parsed.
  std::uint64_t m_reports = 0;
  std::uint64_t m_report_faults = 0;
  std::uint64_t m_peer_queries = 0;
  std::uint64_t m_peer_failures = 0;  // Queries without a valid answer.
  std::map<AnswerEffect, std::uint64_t> m_answers;
  std::uint64_t m_stream_records = 0;   // Of begun streams, to other instances.
  std::uint64_t m_stream_messages = 0;  // Calls with these records.
};

// State of the control-plane task. The ports are not owned.
struct ControlState {
  ControlOptions m_options;
  StreamPort* m_store = nullptr;
  DutyPort* m_duty_port = nullptr;
  const RecordDecoder* m_records = nullptr;
  HttpPort* m_peers = nullptr;
  Port<schema::RelayMessage>* m_relay = nullptr;
  std::function<Instant()> m_clock;
  Duration m_unix_at_zero{0};

  std::optional<schema::Catalog> m_catalog;
  EndpointDirectory m_directory;
  StreamCursor m_catalog_cursor;
  StreamCursor m_endpoints_cursor;
  StreamCursor m_instances_cursor;
  StreamCursor m_duties_cursor;
  StreamCursor m_usage_cursor;
  HolderState m_holder;
  UsageAggregate m_usage_aggregate;
  OwnUsage m_flush;
  UsageBatchQueue m_usage_batch;
  // Other instances that the store answered, with the time of the answer.
  std::map<std::string, Instant, std::less<>> m_served;
  ReportState m_report;
  FleetPlan m_fleet;
  bool m_order_in_flight = false;
  std::map<std::string, schema::InstanceRecord, std::less<>> m_instances;
  MemberWatch m_member_watch;
  bool m_registered = false;
  bool m_registering = false;
  Instant m_register_due{};
  std::uint32_t m_live_instances = 1;  // Including this one.
  std::uint32_t m_instance_reads = 0;  // Reads of the instance list.
  // Instance that has named a newer configuration than this one's in a query;
  // empty if it has been asked for it.
  std::string m_newer_instance;
  // Whether this process has asked other instances since its start.
  bool m_asked_at_start = false;
  UpstreamState m_upstream;
  UpstreamLink m_upstream_link;
  std::vector<PendingStateQuery> m_pending_queries;
  LoadShareState m_load;
  LoadExchange m_load_exchange;
  std::map<std::string, ZoneLoadExchange> m_zone_exchanges;
  SearchState m_search;
  SuspectSync m_suspects;
  StreamRecords m_streams;
  KeyedMirror m_version_records{Stream::kVersions};
  KeyedMirror m_suspect_records{Stream::kSuspects};
  StreamStore m_stream_store;
  // Era of the store as last named by it or by another instance.
  std::optional<std::uint64_t> m_store_era;
  Instant m_store_answered{};  // Last answer of the store to any call.
  bool m_store_lost = false;
  std::uint32_t m_failed_probes = 0;  // Consecutive failures.
  bool m_was_reading = false;
  bool m_was_stale = false;
  Instant m_stale_since{};
  Instant m_status_due{};
  ControlCounters m_counters;
  bool m_stopping = false;
  bool m_was_holder = false;
};

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_CONTROLSTATE_H_
