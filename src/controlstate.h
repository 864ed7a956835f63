#ifndef COMFREYPADDLE_CONTROLSTATE_H_
#define COMFREYPADDLE_CONTROLSTATE_H_

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "directory.h"
#include "fleetplan.h"
#include "holder.h"
#include "http.h"
#include "loadshare.h"
#include "searchplan.h"
#include "task.h"
#include "upstream.h"
#include "usageaggregate.h"

namespace comfreypaddle {

// Where one stream of the store is read from.
struct Follower {
  bool m_known = false;  // The newest records have been read.
  bool m_busy = false;   // A read is under way.
  std::uint64_t m_next = 0;
  Instant m_due{};  // Next read.
  // What is known was the store's at this instant, as far as this instance or
  // the one that it follows has read.
  Instant m_confirmed{};
};

// Counts that are on their way to the store.
struct UsageFlush {
  std::map<std::pair<std::uint64_t, std::string>, std::uint64_t> m_counts;
  std::string m_sent;  // Record that is repeated until its fate is known.
  std::uint64_t m_sequence = 1;
  bool m_busy = false;
  Instant m_due{};
  bool m_failed = false;  // The store did not take the last one.
};

// A report that was made or tried.
struct ReportState {
  bool m_busy = false;
  Instant m_due{};
  std::uint64_t m_accepted = 0;  // Newest window that the platform accepted.
};

using InquiryAnswer = std::function<void(const schema::InstanceState&)>;

// Question of another instance that waits for something new.
struct WaitingInquiry {
  schema::InstanceQuery m_query;
  InquiryAnswer m_respond;
  Instant m_asked{};
  Instant m_until{};
};

// What became of an answer of another instance.
enum class AnswerUse {
  kTaken,      // Something was new.
  kConfirmed,  // What is known was the store's at a later instant.
  kStale,      // It told nothing that this instance did not know.
};

template <>
struct EnumNames<AnswerUse> {
  static constexpr std::array<EnumName<AnswerUse>, 3> kTable{
      {{AnswerUse::kTaken, "taken"},
       {AnswerUse::kConfirmed, "confirmed"},
       {AnswerUse::kStale, "stale"}}};
};

// Question of this instance to the one that it follows, and the list of
// endpoints that it has taken over.
struct UpstreamLink {
  bool m_busy = false;
  Instant m_due{};
  // Whether the store answers the followed instance, as it told last.
  bool m_store_answers = true;
  std::string m_list_owner;
  std::uint64_t m_list_incarnation = 0;
  std::uint64_t m_list_version = 0;
};

// Calls that share load with the followed instance, or with other zones.
struct LoadLink {
  bool m_busy = false;
  Instant m_due{};
};

// Reader of another zone.
struct ZoneLink {
  UpstreamState m_reader;
  // Instance that told the load of the zone last: its reader knows best who
  // that is, and need not be looked for.
  std::string m_heard;
  Instant m_heard_at{};
  bool m_busy = false;
};

struct ControlOptions {
  std::string m_name;
  std::string m_zone;
  std::string m_peers;  // IP:PORT of this instance for others.
  std::uint64_t m_incarnation = 0;
  Duration m_poll = std::chrono::milliseconds(600);
  Duration m_watch = std::chrono::milliseconds(700);
};

struct ControlCounters {
  std::uint64_t m_store_calls = 0;
  std::uint64_t m_store_faults = 0;
  std::uint64_t m_unreadable = 0;  // Records of others.
  std::uint64_t m_reports = 0;
  std::uint64_t m_report_faults = 0;
  std::uint64_t m_peer_queries = 0;
  std::uint64_t m_peer_failures = 0;  // Questions without an answer.
  std::map<AnswerUse, std::uint64_t> m_answers;
};

// State of the task that follows the platform and holds duties. Ports are not
// owned.
struct ControlState {
  ControlOptions m_options;
  StreamPort* m_store = nullptr;
  DutyPort* m_duty_calls = nullptr;
  const RecordFormat* m_records = nullptr;
  HttpPort* m_peers = nullptr;
  Port<schema::RelayMessage>* m_relay = nullptr;
  std::function<Instant()> m_clock;
  Duration m_unix_at_zero{0};

  std::optional<schema::Catalog> m_catalog;
  Directory m_directory;
  Follower m_follow_catalog;
  Follower m_follow_endpoints;
  Follower m_follow_instances;
  Follower m_follow_duties;
  Follower m_follow_usage;
  HolderState m_holder;
  UsageAggregate m_tally;
  UsageFlush m_flush;
  bool m_handing_over = false;  // Usage, to another instance.
  // Other instances that the store answered, and when.
  std::map<std::string, Instant, std::less<>> m_served;
  ReportState m_report;
  FleetPlan m_fleet;
  bool m_ordering = false;
  std::map<std::string, schema::InstanceRecord, std::less<>> m_instances;
  bool m_registered = false;
  bool m_registering = false;
  Instant m_register_due{};
  std::uint32_t m_live_instances = 1;  // This one included.
  std::uint32_t m_instance_reads = 0;  // Of the list in the store.
  UpstreamState m_upstream;
  UpstreamLink m_link;
  std::vector<WaitingInquiry> m_inquiries;
  LoadShareState m_load;
  LoadLink m_load_link;
  std::map<std::string, ZoneLink> m_zone_links;
  SearchState m_search;
  Instant m_store_answered{};  // Any call of this instance.
  bool m_store_lost = false;
  std::uint32_t m_failed_probes = 0;  // In a row.
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
