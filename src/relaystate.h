#ifndef COMFREYPADDLE_RELAYSTATE_H_
#define COMFREYPADDLE_RELAYSTATE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "allotment.h"
#include "balance.h"
#include "catalog.h"
#include "crashtable.h"
#include "drain.h"
#include "entryqueue.h"
#include "hedge.h"
#include "lifetime.h"
#include "metrics.h"
#include "resend.h"
#include "runend.h"
#include "silentattempts.h"
#include "ssesplit.h"
#include "streamversions.h"
#include "wireformat.h"

namespace comfreypaddle {

enum class CallStage {
  kWaiting,    // For an endpoint with a free slot.
  kPrefill,    // An endpoint runs the prefill only.
  kRun,        // An endpoint runs the request.
  kProving,    // The last attempt broke off and is not known to have ended.
  kResolving,  // It takes up a stream; the version that began it is asked for.
};

template <>
struct EnumNames<CallStage> {
  static constexpr std::array<EnumName<CallStage>, 5> kTable{
      {{CallStage::kWaiting, "waiting"},
       {CallStage::kPrefill, "prefill"},
       {CallStage::kRun, "run"},
       {CallStage::kProving, "proving"},
       {CallStage::kResolving, "resolving"}}};
};

// What becomes of a request that takes up a stream.
enum class TakeUpOutcome {
  kGoesOn,
  kVersionUnknown,  // Which version began it.
  kVersionGone,     // No endpoint of that version is left.
};

template <>
struct EnumNames<TakeUpOutcome> {
  static constexpr std::array<EnumName<TakeUpOutcome>, 3> kTable{
      {{TakeUpOutcome::kGoesOn, "goes_on"},
       {TakeUpOutcome::kVersionUnknown, "version_unknown"},
       {TakeUpOutcome::kVersionGone, "version_gone"}}};
};

// Reason for the end of a request.
enum class EndReason {
  kAnswered,
  kNoCatalog,  // No configuration was received yet.
  kNoRoute,
  kBadKey,
  kNoEndpoint,         // None became available in time.
  kAllotment,          // Its workspace has used its allotment.
  kAllotmentTooSmall,  // It costs more than the allotment can ever cover.
  kLimited,            // The limits of all endpoints are used up.
  kNoMemory,           // The endpoints lack memory for it.
  kTooLate,            // It cannot be answered before its caller leaves.
  kRejected,           // By an endpoint, and no further attempt is allowed.
  kEndpointFailed,
  kMayStillRun,  // At an endpoint whose connection broke.
  kDeadline,
  kCallerLeft,
  kSlowCaller,  // The caller does not read its response.
  kCrashesEndpoints,
  kVersionUnknown,  // Which version began the stream that it takes up.
  kVersionGone,     // No endpoint of the version that began the stream is left.
  kStopping,
};

template <>
struct EnumNames<EndReason> {
  static constexpr std::array<EnumName<EndReason>, 20> kTable{
      {{EndReason::kAnswered, "answered"},
       {EndReason::kNoCatalog, "no_catalog"},
       {EndReason::kNoRoute, "no_route"},
       {EndReason::kBadKey, "bad_key"},
       {EndReason::kNoEndpoint, "no_endpoint"},
       {EndReason::kAllotment, "allotment"},
       {EndReason::kAllotmentTooSmall, "allotment_too_small"},
       {EndReason::kLimited, "limited"},
       {EndReason::kNoMemory, "no_memory"},
       {EndReason::kTooLate, "too_late"},
       {EndReason::kRejected, "rejected"},
       {EndReason::kEndpointFailed, "endpoint_failed"},
       {EndReason::kMayStillRun, "may_still_run"},
       {EndReason::kDeadline, "deadline"},
       {EndReason::kCallerLeft, "caller_left"},
       {EndReason::kSlowCaller, "slow_caller"},
       {EndReason::kCrashesEndpoints, "crashes_endpoints"},
       {EndReason::kVersionUnknown, "version_unknown"},
       {EndReason::kVersionGone, "version_gone"},
       {EndReason::kStopping, "stopping"}}};
};

// One attempt to run a request at an endpoint.
struct EndpointAttempt {
  HttpPort::CallId m_call = 0;  // Zero if no call is active.
  std::string m_endpoint;
  std::string m_address;
  // Start of the endpoint's lifetime, Unix time: of the one that was listed
  // when it was sent, and of the one that is taken to serve it.
  std::uint64_t m_born_ms = 0;
  std::uint64_t m_judged_born_ms = 0;
  // Of the endpoint's software, and whether the lifetime is known to be the one
  // that serves it.
  StreamVersion m_version;
  Instant m_sent{};
  // When its connection was established, or later; set with the first event of
  // a stream that may be resumed.
  Instant m_connected{};
  // The stream goes on at this endpoint, whose version is not proven yet. Its
  // events, and its end, wait for that.
  bool m_is_held = false;
  Instant m_held_until{};  // When the attempt is given up.
  std::vector<RawSseEvent> m_held_events;
  std::optional<HttpResult> m_held_end;
  bool m_is_prefill = false;
  bool m_is_hedge = false;   // Sent beside an attempt that was under way.
  bool m_is_silent = false;  // It has gone unanswered for long.
  AttemptEnd m_end = AttemptEnd::kOpen;
  Instant m_ended_at{};
  bool m_is_gone = false;  // The process of the endpoint has ended.
  AbsenceRecord m_absence;
  double m_work_ms = 0;            // Prefill work; zero after the first event.
  MemoryNeed m_need;               // Counted at the endpoint until the end.
  int m_status = 0;                // Zero until the response head arrives.
  Instant m_head_at{};             // When it arrived.
  std::uint64_t m_connection = 0;  // Number of its connection.
  std::uint32_t m_connection_calls = 0;  // Carried by it, this one included.
  std::uint32_t m_events = 0;            // Events of a stream received.
  HttpFields m_fields;
  ResponseMetadata m_metadata;
  std::string m_body;  // Of a response that is not streamed.
  SseSplitter m_splitter;
};

// Hedging of a request.
struct HedgeProgress {
  // The attempt that runs beside the current one; either may be the hedge.
  std::optional<EndpointAttempt> m_other;
  bool m_is_sent = false;           // A request is hedged once at most.
  bool m_is_denied = false;         // A denial has been counted.
  bool m_is_usage_counted = false;  // By one of the two attempts.
};

// Record of a stream that is taken up, while its version is not known.
struct TakenUpRecord {
  BegunStream m_stream;
  std::string m_source;  // Who has it.
  Instant m_ends{};      // When the request is refused.
};

// A request whose response is not complete.
struct RelayCall {
  std::uint64_t m_id = 0;  // Of the request at ResponsePort.
  HttpRequest m_request;   // Without its body.
  // Body of the request, which all its attempts send.
  std::shared_ptr<const std::string> m_body;
  RequestMetadata m_metadata;
  // Configuration in force at acceptance; it applies until the request ends.
  std::shared_ptr<const CatalogIndex> m_catalog;
  const schema::CatalogRoute* m_route = nullptr;
  std::string m_workspace;
  double m_allotment_cost = 0;  // Counted to the allotment of the workspace.
  std::string m_service;
  std::uint32_t m_urgency = 0;
  std::uint64_t m_fingerprint = 0;
  std::vector<std::uint64_t> m_shared_parts;  // Hashes of their ids.
  bool m_is_probe = false;  // Of a suspect that is otherwise refused.
  Instant m_arrived{};
  Instant m_deadline{};
  Instant m_queue_deadline{};
  BalanceQuery m_query;
  CallStage m_stage = CallStage::kWaiting;
  EndpointAttempt m_attempt;
  HedgeProgress m_hedge;
  // KV cache prefilled for the request that no endpoint has fetched yet.
  std::optional<CacheSource> m_source;
  std::string m_planned_decode;
  bool m_is_decode_counted = false;  // To the limit of the planned decode.
  Duration m_backlog{0};   // At the endpoint that was considered last.
  Duration m_expected{0};  // Estimated time to the first event when dispatched.
  std::uint32_t m_prefills = 0;
  std::uint32_t m_sends = 0;        // Without those for prefill only.
  std::uint32_t m_runs = 0;         // Sends that may have been executed.
  bool m_is_retry_due = false;      // The next send is charged as a retry.
  bool m_is_retry = false;          // The last send was.
  bool m_response_started = false;  // The stream's head was sent.
  std::optional<TakenUpRecord> m_record;      // In stage kResolving.
  std::optional<std::uint64_t> m_last_event;  // At the caller.
  std::uint32_t m_events = 0;
  Instant m_first_event{};
};

// Id and address of an endpoint. One that starts again under its id at another
// address says nothing of its former process.
using EndpointPlace = std::pair<std::string, std::string>;

// Question to an endpoint about its work.
struct EndpointInquiry {
  HttpPort::CallId m_call = 0;  // Zero if none is open.
  Instant m_asked{};
};

// Question to an endpoint for its lifetime.
struct LifetimeInquiry {
  std::string m_address;        // Of the endpoint.
  HttpPort::CallId m_call = 0;  // Zero if none is open.
  Instant m_asked{};            // Of the one that is open, or of the last one.
  std::optional<Instant> m_due;
  int m_failures = 0;  // In a row.
  // The last one failed on a kept connection, which shows nothing.
  bool m_needs_new_connection = false;
};

// Crash that this instance has seen, while it is not known whether the process
// of the endpoint ended.
struct CrashCheck {
  CrashRecord m_crash;
  std::string m_endpoint;
  std::string m_address;
  std::uint64_t m_born_ms = 0;      // Start of the lifetime that crashed.
  std::vector<SuspectKey> m_parts;  // Of prompts that it is blamed on.
  HttpPort::CallId m_call = 0;      // Zero if no question is open.
  Instant m_due{};                  // Of the next question.
  bool m_has_ended = false;         // The process.
};

struct RelayOptions {
  std::string m_instance;
  Duration m_connect_timeout = std::chrono::milliseconds(400);
  Duration m_retry_after = std::chrono::milliseconds(400);
  Duration m_usage_window = std::chrono::seconds(5);
};

struct RelayCounters {
  std::uint64_t m_requests = 0;
  std::uint64_t m_prefills = 0;
  std::uint64_t m_sends = 0;
  std::uint64_t m_resends = 0;
  std::uint64_t m_retries_denied = 0;  // By the retry budget.
  std::uint64_t m_resumed = 0;
  std::uint64_t m_not_run = 0;  // Rejections of endpoints.
  std::uint64_t m_leaving = 0;  // Endpoints that said that they leave.
  std::uint64_t m_pauses = 0;   // Rejections that asked for a pause.
  std::uint64_t m_failures = 0;
  std::uint64_t m_reports_asked = 0;
  std::uint64_t m_lifetimes_asked = 0;
  std::uint64_t m_streams_unproven = 0;           // When they began.
  std::map<EndProof, std::uint64_t> m_continued;  // Requests, by proof.
  std::map<EndReason, std::uint64_t> m_ends;
  std::uint64_t m_streams_recorded = 0;        // Told to other instances.
  std::map<HoldReason, std::uint64_t> m_held;  // Requests that had to wait.
  std::map<TakeUpOutcome, std::uint64_t> m_taken_up;
  DurationStats m_first_answer;  // Until the first byte of the response.
  DurationStats m_total;
};

// Usage window and workspace.
using UsageWindowKey = std::pair<std::uint64_t, std::string>;

// State of the relay task. The functions of accept.h, relayattempt.h and
// finish.h work on it; ports are not owned.
struct RelayState {
  RelayOptions m_options;
  ResponsePort* m_callers = nullptr;
  HttpPort* m_endpoints = nullptr;
  const WireFormat* m_format = nullptr;
  std::function<Instant()> m_clock;
  // Unix time at the epoch of m_clock. It is read once at the start, so that
  // later steps of the system clock have no effect.
  Duration m_unix_at_zero{0};
  std::function<std::size_t(std::uint64_t)> m_unsent_bytes;  // Unsent bytes.
  // Tells the other instances of suspects that changed.
  std::function<void(const schema::SuspectList&)> m_on_suspects;
  // Tells other instances of begun streams, and asks for the version of one.
  std::function<void(const schema::StreamBeginList&)> m_on_streams;
  std::function<void(const schema::StreamQuestion&)> m_ask_stream;

  std::shared_ptr<const CatalogIndex> m_catalog;  // Null until received.
  BalanceState m_balance;
  AllotmentState m_allotments;
  ResendState m_resends;
  HedgeState m_hedges;
  std::map<EndpointPlace, EndpointInquiry> m_inquiries;
  LifetimeTable m_lifetimes;
  std::map<std::string, LifetimeInquiry> m_lifetime_inquiries;  // By endpoint.
  std::unordered_map<std::uint64_t, std::unique_ptr<RelayCall>> m_calls;
  EntryQueue m_queue;  // New requests that wait, if it is in use.
  std::map<UsageWindowKey, std::uint64_t> m_usage;  // Not handed over yet.
  VersionHistory m_versions;
  StreamTable m_streams;  // Begun or taken up at this instance.
  CrashTable m_crashes;
  SilentAttempts m_silent_attempts;
  std::map<std::uint64_t, CrashCheck> m_crash_checks;  // By crash.
  ProbeShare m_probes;
  RelayCounters m_counters;
  schema::KnowledgeStatus m_knowledge;  // As of m_knowledge_at.
  Instant m_knowledge_at{};
  DrainState m_drain;
};

// Returns the call with this id, or null.
RelayCall* FindRelayCall(RelayState& state, std::uint64_t id);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_RELAYSTATE_H_
