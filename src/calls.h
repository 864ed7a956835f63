#ifndef COMFREYPADDLE_CALLS_H_
#define COMFREYPADDLE_CALLS_H_

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "admit.h"
#include "configstate.h"
#include "exchange.h"
#include "http.h"
#include "intake.h"
#include "metrics.h"
#include "retry.h"
#include "route.h"
#include "sse.h"
#include "suspect.h"

namespace comfreypaddle {

// Where a request stands between its acceptance and its end.
enum class CallPhase {
  kClaiming,  // Its idempotency key is being claimed in the log.
  kQueued,
  kRunning,  // An attempt is under way.
  kProbing,  // Its connection broke; the endpoint is being checked.
  kPausing,  // It waits before its next attempt.
  kEnded
};

template <>
struct EnumNames<CallPhase> {
  static constexpr std::array<EnumName<CallPhase>, 6> kTable{
      {{CallPhase::kClaiming, "claiming"},
       {CallPhase::kQueued, "queued"},
       {CallPhase::kRunning, "running"},
       {CallPhase::kProbing, "probing"},
       {CallPhase::kPausing, "pausing"},
       {CallPhase::kEnded, "ended"}}};
};

// One request that was accepted from a caller and is not answered yet.
struct OpenCall {
  std::uint64_t m_id = 0;  // Of the request at CallerPort.
  Intake m_intake;
  HttpRequest m_request;
  // Id inside the system. It is made here, because callers may choose the same
  // request id and would get each other's streams.
  std::string m_stream_id;
  // Id at the endpoint: the id above with the number of the attempt, so that
  // an earlier attempt at the same endpoint is another stream.
  std::string m_endpoint_id;
  CallPhase m_phase = CallPhase::kQueued;
  bool m_claimed = false;  // The idempotency key is claimed for this call.
  std::uint64_t m_claim_ticket = 0;
  Instant m_deadline{};

  Waiting m_waiting;
  bool m_taken = false;  // Taken from the queue and not yet charged.
  std::vector<std::string> m_excluded;
  Exchange m_exchange;

  // The attempt that is under way.
  RouteChoice m_choice;
  bool m_at_endpoint = false;  // OnSent was called for m_choice.
  bool m_isolated = false;
  std::uint32_t m_attempt = 0;
  HttpPort::CallId m_http = 0;
  std::unique_ptr<SseScanner> m_scanner;
  int m_status = 0;
  HttpFields m_answer_headers;
  std::string m_error_body;
  FailureKind m_broken = FailureKind::kConnectionLost;

  // Failure that waits for the result of a probe, or for the pause's end.
  FailureKind m_failure = FailureKind::kConnectionLost;
  bool m_resume = false;
  Instant m_resume_at{};

  bool m_answer_started = false;  // The caller got a status line.
  Instant m_last_token{};
};

// Counters since the start of the process.
struct CallCounters {
  std::uint64_t m_requests = 0;
  std::uint64_t m_refused = 0;
  std::uint64_t m_completed = 0;
  std::uint64_t m_failed = 0;
  std::uint64_t m_cancelled = 0;
  std::uint64_t m_retries = 0;
  std::uint64_t m_resumes = 0;
  std::uint64_t m_tokens = 0;
};

// Times of requests since the start of the process.
struct CallTimings {
  DurationStats m_queue;        // From acceptance to the first attempt.
  DurationStats m_first_token;  // From acceptance to the first token.
  DurationStats m_token_gap;
};

// Usage that was not handed to the journal yet, by workspace and route.
struct PendingUsage {
  std::uint64_t m_requests = 0;
  std::uint64_t m_prompt_tokens = 0;
  std::uint64_t m_output_tokens = 0;
};

// Work that arrived for a fleet of engines since the start, in tokens.
struct ArrivedWork {
  double m_prompt_tokens = 0.0;
  double m_output_tokens = 0.0;
};

// Result of a probe of an endpoint.
enum class ProbeResult { kAlive, kRestarted, kGone };

// State of polls and probes of one endpoint.
struct EndpointProbe {
  HttpPort::CallId m_call = 0;  // Zero: none under way.
  Instant m_started{};
  std::string m_incarnation;  // Of the last load report.
  // Calls that wait for the result, because their connection broke.
  std::vector<std::uint64_t> m_waiting;
};

// Permission to admit requests that need a key.
struct Permission {
  bool m_open = false;
  std::string m_reason = "starting";
  Instant m_valid_until{};
};

// Keyed requests wait this long in the queue after the permission lapsed
// before they are refused. It spans the time at the start of a log outage in
// which instances do not yet know that the log answers nobody.
inline constexpr Duration kPermissionGrace = std::chrono::seconds(3);

struct CallOptions {
  std::string m_instance;
  std::uint64_t m_incarnation = 0;
  std::string m_zone;
  std::string m_region;
  AdmitLimits m_admit;
  Duration m_default_deadline = std::chrono::seconds(60);
  Duration m_silence = std::chrono::seconds(2);
  Duration m_connect_timeout = std::chrono::milliseconds(500);
  Duration m_load_poll = std::chrono::milliseconds(500);
};

// Where the gateway's decisions go beside callers and endpoints. Tests put
// mocks in its place.
class RecordPort {
 public:
  virtual ~RecordPort() = default;

  // Asks for a claim of an idempotency key; the verdict comes back through
  // OnClaimVerdict with this ticket.
  virtual void ClaimRequest(std::uint64_t ticket,
                            const RequestClaim& claim) = 0;

  virtual void RecordOutcome(const RequestOutcome& outcome) = 0;

  virtual void ReportSuspect(const SuspectReport& report) = 0;
};

// State of the gateway task. The functions of dispatch.h, attempt.h and
// probe.h work on it; ports are not owned.
struct CallState {
  CallOptions m_options;
  CallerPort* m_callers = nullptr;
  HttpPort* m_endpoints = nullptr;
  RecordPort* m_records = nullptr;
  std::function<Instant()> m_clock;

  Tables m_tables;
  AdmitState m_admit;
  RouteState m_route;
  RetryState m_retry;
  SuspectTable m_suspects;
  Permission m_permission;
  Instant m_last_admitted{};  // Last time at which the permission held.
  bool m_draining = false;

  std::unordered_map<std::uint64_t, std::unique_ptr<OpenCall>> m_calls;
  std::unordered_map<std::uint64_t, std::uint64_t> m_claims;  // By ticket.
  std::map<std::string, EndpointProbe, std::less<>> m_probes;
  std::map<std::pair<std::string, std::string>, PendingUsage> m_usage;
  std::map<std::string, ArrivedWork> m_arrived;  // By fleet.
  CallCounters m_counters;
  CallTimings m_timings;
  std::uint64_t m_next_id = 1;
};

// Returns the open call with this id, or null.
OpenCall* FindCall(CallState& state, std::uint64_t id);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_CALLS_H_
