#ifndef COMFREYPADDLE_RELAYSTATE_H_
#define COMFREYPADDLE_RELAYSTATE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "balance.h"
#include "catalog.h"
#include "eventcut.h"
#include "metrics.h"
#include "resend.h"
#include "wireformat.h"

namespace comfreypaddle {

enum class CallStage {
  kWaiting,  // For an endpoint with room.
  kPrefill,  // An endpoint reads the prompt.
  kRun,      // An endpoint runs the request.
};

template <>
struct EnumNames<CallStage> {
  static constexpr std::array<EnumName<CallStage>, 3> kTable{
      {{CallStage::kWaiting, "waiting"},
       {CallStage::kPrefill, "prefill"},
       {CallStage::kRun, "run"}}};
};

// Why a request ended the way it did.
enum class EndReason {
  kAnswered,
  kNoCatalog,  // The configuration is not known yet.
  kNoRoute,
  kBadKey,
  kNoEndpoint,  // None may take it in time.
  kRejected,    // Endpoints rejected it and it may not be sent again.
  kEndpointFailed,
  kDeadline,
  kCallerLeft,
  kSlowCaller,  // The caller does not read its answer.
  kCrashesEndpoints,
  kStopping,
};

template <>
struct EnumNames<EndReason> {
  static constexpr std::array<EnumName<EndReason>, 12> kTable{
      {{EndReason::kAnswered, "answered"},
       {EndReason::kNoCatalog, "no_catalog"},
       {EndReason::kNoRoute, "no_route"},
       {EndReason::kBadKey, "bad_key"},
       {EndReason::kNoEndpoint, "no_endpoint"},
       {EndReason::kRejected, "rejected"},
       {EndReason::kEndpointFailed, "endpoint_failed"},
       {EndReason::kDeadline, "deadline"},
       {EndReason::kCallerLeft, "caller_left"},
       {EndReason::kSlowCaller, "slow_caller"},
       {EndReason::kCrashesEndpoints, "crashes_endpoints"},
       {EndReason::kStopping, "stopping"}}};
};

// One try of a request at an endpoint.
struct RunAttempt {
  HttpPort::CallId m_call = 0;  // Zero: none is under way.
  std::string m_endpoint;
  std::string m_address;
  Instant m_sent{};
  double m_work_ms = 0;  // Counted at the endpoint until its first sign.
  int m_status = 0;      // Zero until the head of the answer arrives.
  HttpFields m_fields;
  ResponseMetadata m_terms;
  std::string m_body;  // Of an answer that is passed on as a whole.
  EventCutter m_cutter;
};

// A request that is not answered yet.
struct RelayCall {
  std::uint64_t m_id = 0;  // Of the request at CallerPort.
  HttpRequest m_request;
  RequestMetadata m_terms;
  // The request keeps the configuration under which it was accepted.
  std::shared_ptr<const CatalogIndex> m_catalog;
  const schema::CatalogRoute* m_route = nullptr;
  std::string m_workspace;
  std::string m_service;
  std::uint32_t m_urgency = 0;
  std::uint64_t m_fingerprint = 0;
  Instant m_arrived{};
  Instant m_deadline{};
  Instant m_wait_until{};
  BalanceQuery m_query;
  CallStage m_stage = CallStage::kWaiting;
  RunAttempt m_attempt;
  // KV cache that was read for the request and not taken yet.
  std::optional<CacheSource> m_source;
  std::string m_planned_decode;
  std::uint32_t m_prefills = 0;
  std::uint32_t m_sends = 0;  // To endpoints that run it.
  std::uint32_t m_runs = 0;   // Sends that may have run.
  bool m_started = false;     // The caller has the head of a stream.
  std::optional<std::uint64_t> m_last_event;  // That the caller has.
  std::uint32_t m_events = 0;
  Instant m_first_event{};
};

struct RelayOptions {
  std::string m_instance;
  Duration m_connect_time = std::chrono::milliseconds(400);
  Duration m_retry_after = std::chrono::milliseconds(400);
  Duration m_usage_window = std::chrono::seconds(5);
};

struct RelayCounters {
  std::uint64_t m_requests = 0;
  std::uint64_t m_prefills = 0;
  std::uint64_t m_sends = 0;
  std::uint64_t m_resends = 0;
  std::uint64_t m_resumed = 0;
  std::uint64_t m_not_run = 0;  // Rejections of endpoints.
  std::uint64_t m_failures = 0;
  std::map<EndReason, std::uint64_t> m_ends;
  DurationStats m_first_answer;  // To the first byte of an answer.
  DurationStats m_total;
};

// Crashes of endpoints while a request with this fingerprint ran there.
struct CrashSuspect {
  std::vector<std::string> m_crashes;  // Endpoint and start of its lifetime.
  Instant m_last{};
};

// Window of usage and workspace.
using UsageSlot = std::pair<std::uint64_t, std::string>;

// State of the task that serves callers. The functions of intake of requests
// and of attempts work on it; ports are not owned.
struct RelayState {
  RelayOptions m_options;
  CallerPort* m_callers = nullptr;
  HttpPort* m_endpoints = nullptr;
  const WireFormat* m_format = nullptr;
  std::function<Instant()> m_clock;
  // Unix time at the zero of the clock, which a step of the time of day after
  // the start does not change.
  Duration m_unix_at_zero{0};
  std::function<std::size_t(std::uint64_t)> m_backlog;  // Of an answer, bytes.
  std::function<void(const schema::CrashReport&)> m_on_crash;

  std::shared_ptr<const CatalogIndex> m_catalog;  // Null until it is known.
  BalanceState m_balance;
  ResendState m_resends;
  std::unordered_map<std::uint64_t, std::unique_ptr<RelayCall>> m_calls;
  std::map<UsageSlot, std::uint64_t> m_usage;  // Not handed over yet.
  std::map<std::uint64_t, CrashSuspect> m_suspects;
  RelayCounters m_counters;
  schema::KnowledgeStatus m_knowledge;  // As of the instant below.
  Instant m_knowledge_at{};
  bool m_stopping = false;
  // In a planned stop, requests that arrive from this instant on are refused:
  // there would not be enough time to finish them.
  Instant m_refuse_from = Instant::max();
};

// Returns the call with this id, or null.
RelayCall* FindRelayCall(RelayState& state, std::uint64_t id);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_RELAYSTATE_H_
