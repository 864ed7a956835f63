#ifndef COMFREYPADDLE_CALLS_H_
#define COMFREYPADDLE_CALLS_H_

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "admission.h"
#include "configstate.h"
#include "exchange.h"
#include "http.h"
#include "metrics.h"
#include "retry.h"
#include "route.h"
#include "sse.h"
#include "suspect.h"
#include "validate.h"

namespace comfreypaddle {

// Phase of a request from acceptance to its end.
enum class CallPhase {
  kClaiming,  // Waits for the claim of its idempotency key.
  kQueued,
  kRunning,  // An attempt is in progress.
  kProbing,  // Its connection broke; the endpoint is probed.
  kPausing,  // Waits for its retry delay.
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

// A request accepted from a caller and not yet answered.
struct OpenCall {
  std::uint64_t m_id = 0;  // Of the request at ResponsePort.
  ValidatedRequest m_validated_request;
  HttpRequest m_request;  // Without its body.
  // Body of a request to a plain service, which all its attempts send. A prompt
  // is kept as parsed.
  std::shared_ptr<const std::string> m_body;
  // Internal request id. It is generated here, because callers may choose the
  // same request id and would receive each other's streams.
  std::string m_stream_id;
  // Id at the endpoint: the internal id with the attempt number, so that an
  // earlier attempt at the same endpoint is a different stream.
  std::string m_endpoint_id;
  CallPhase m_phase = CallPhase::kQueued;
  bool m_claimed = false;  // This call holds the idempotency key.
  std::uint64_t m_claim_ticket = 0;
  Instant m_deadline{};

  QueuedRequest m_queued_request;
  bool m_dequeued = false;  // Dequeued and not yet charged.
  std::vector<std::string> m_excluded;
  Exchange m_exchange;

  // Attempt in progress.
  RouteChoice m_choice;
  bool m_counted_at_endpoint = false;  // OnSent was called for m_choice.
  bool m_isolated = false;
  std::uint32_t m_attempt = 0;
  HttpPort::CallId m_http = 0;
  std::unique_ptr<SseParser> m_sse_parser;
  int m_status = 0;
  HttpFields m_response_headers;
  std::string m_error_body;
  FailureKind m_break_kind = FailureKind::kConnectionLost;

  // Failure to be handled after the probe or the retry delay.
  FailureKind m_failure = FailureKind::kConnectionLost;
  bool m_resume = false;
  Instant m_resume_at{};

  bool m_response_started = false;  // A status line was sent to the caller.
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

// Latencies since the start of the process.
struct CallTimings {
  DurationStats m_queue;        // From acceptance to the first attempt.
  DurationStats m_first_token;  // From acceptance to the first token.
  DurationStats m_token_gap;
};

// Usage not yet sent to the journal, by workspace and route.
struct PendingUsage {
  std::uint64_t m_requests = 0;
  std::uint64_t m_prompt_tokens = 0;
  std::uint64_t m_output_tokens = 0;
};

// Tokens of work that arrived for a fleet of engines since the start of the
// process.
struct ArrivedWork {
  double m_prompt_tokens = 0.0;
  double m_output_tokens = 0.0;
};

// Result of a probe of an endpoint.
enum class ProbeResult { kAlive, kRestarted, kUnreachable };

// State of polls and probes of one endpoint.
struct EndpointProbe {
  HttpPort::CallId m_call = 0;  // Zero if none is in progress.
  Instant m_started{};
  std::string m_incarnation;  // Of the last load report.
  // Calls with a broken connection that wait for the result.
  std::vector<std::uint64_t> m_waiting_calls;
  std::uint32_t m_broken = 0;  // Probes in a row whose connection broke.
};

// Permission to admit requests that need a key.
struct Permission {
  bool m_open = false;
  std::string m_reason = "starting";
  Instant m_valid_until{};
};

// Time for which keyed requests stay queued after the permission expired,
// before they are rejected. It covers the start of a log outage, when instances
// do not yet know that the log is unreachable everywhere.
inline constexpr Duration kPermissionGrace = std::chrono::seconds(3);

struct CallOptions {
  std::string m_instance;
  std::uint64_t m_incarnation = 0;
  std::string m_zone;
  std::string m_region;
  QueueLimits m_queue_limits;
  Duration m_default_deadline = std::chrono::seconds(60);
  Duration m_inactivity_timeout = std::chrono::seconds(2);
  Duration m_connect_timeout = std::chrono::milliseconds(500);
  Duration m_load_poll = std::chrono::milliseconds(500);
};

// Sink for the gateway's log records. Tests replace it by mocks.
class RecordPort {
 public:
  virtual ~RecordPort() = default;

  // Requests a claim of an idempotency key. The verdict is delivered to
  // OnClaimVerdict with the same ticket.
  virtual void ClaimRequest(std::uint64_t ticket,
                            const RequestClaim& claim) = 0;

  virtual void RecordOutcome(const RequestOutcome& outcome) = 0;

  virtual void ReportSuspect(const SuspectReport& report) = 0;
};

// State of the gateway task, used by the functions of dispatch.h, attempt.h and
// probe.h. Ports are not owned.
struct CallState {
  CallOptions m_options;
  ResponsePort* m_callers = nullptr;
  HttpPort* m_endpoints = nullptr;
  RecordPort* m_records = nullptr;
  std::function<Instant()> m_clock;

  Tables m_tables;
  AdmissionQueue m_admission_queue;
  RouteState m_route;
  RetryState m_retry;
  SuspectTable m_suspects;
  Permission m_permission;
  Instant m_last_admitted{};  // Last time the permission was valid.
  bool m_draining = false;
  // The last open request of a planned stop has ended and its usage has been
  // handed over, so that nothing may run any more.
  bool m_drained = false;

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
