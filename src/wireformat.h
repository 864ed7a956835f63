#ifndef COMFREYPADDLE_WIREFORMAT_H_
#define COMFREYPADDLE_WIREFORMAT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "http.h"
#include "relay.pb.h"
#include "runend.h"

namespace comfreypaddle {

// Part of a prompt that several requests may share.
struct PromptPart {
  std::string m_id;
  std::uint32_t m_tokens = 0;
};

// Metadata of a caller's request, beside method, target and body.
struct RequestMetadata {
  std::string m_attempt;  // Id of this attempt of the caller.
  std::string m_key;
  std::string m_host;
  std::string m_model;
  std::optional<Duration> m_time_left;  // Until the caller's deadline.
  std::vector<PromptPart> m_parts;      // In order.
  std::uint32_t m_prompt_tokens = 0;
  std::uint32_t m_max_output_tokens = 0;
  std::uint32_t m_output_hint = 0;  // Expected output tokens; zero: unknown.
  // Last event received by the caller of the stream that it resumes.
  std::optional<std::uint64_t> m_last_event;
  // Id of the caller's attempt that began that stream; empty if there is none.
  std::string m_resumed_attempt;
};

// Where an endpoint fetches the KV cache of a prompt from.
struct CacheSource {
  std::string m_endpoint;  // Id of the endpoint that holds it.
  std::string m_address;
  std::string m_handle;
};

// Metadata that is sent to an endpoint with a request.
struct UpstreamMetadata {
  std::string m_endpoint;   // Id of the endpoint that the request is meant for.
  std::string m_workspace;  // Empty on routes that need no key.
  Duration m_time_left{0};
  std::optional<std::uint32_t> m_urgency;  // 0 is the most urgent.
  bool m_prefill_only = false;
  std::optional<CacheSource> m_source;
  // Address of an endpoint that has the shared prefix of the prompt, if known.
  std::string m_fetch_address;
  std::optional<std::uint64_t> m_resume_after;  // Last event received.
};

// Metadata of a response of an endpoint.
struct ResponseMetadata {
  bool m_not_run = false;  // The endpoint guarantees non-execution.
  bool m_wrong_endpoint = false;
  bool m_is_stream = false;
  bool m_leaving = false;  // The endpoint wants no new requests.
  // Time for which the endpoint wants no requests from this instance. Set only
  // if it rejected the request for lack of capacity; as received, unchecked.
  std::optional<double> m_retry_after_s;
  // Requests per second that the endpoint takes from all instances together; as
  // received, unchecked. Not a number if it cannot be read.
  std::optional<double> m_limit_rate;
};

// Result of a prefill-only request.
struct PrefillResult {
  std::string m_handle;
  std::uint32_t m_tokens = 0;
};

// Question to an endpoint about its work.
struct ReportQuestion {
  std::string m_target;
  HttpFields m_fields;
};

// Encoding of the metadata of proxied requests and responses. The platform
// adapter implements it; it contains no decisions.
class WireFormat {
 public:
  virtual ~WireFormat() = default;

  virtual RequestMetadata ParseRequestMetadata(
      const HttpRequest& request) const = 0;

  // Header fields of the request to an endpoint: the caller's end-to-end
  // fields and the encoded metadata.
  virtual HttpFields EndpointFields(const HttpRequest& request,
                                    const UpstreamMetadata& metadata) const = 0;

  virtual ResponseMetadata ParseResponseMetadata(
      int status, const HttpFields& fields) const = 0;

  // How a response with these fields relates to the caller's attempt.
  virtual ResponseMatch MatchAttempt(const HttpFields& fields,
                                     std::string_view attempt) const = 0;

  // End-to-end fields of a response that are forwarded to the caller.
  virtual HttpFields CallerFields(const HttpFields& fields) const = 0;

  // Fields of a response that the proxy generates itself.
  virtual HttpFields LocalResponseFields(std::string_view attempt) const = 0;

  virtual std::optional<PrefillResult> ParsePrefillResult(
      std::string_view body) const = 0;

  // Target of the DELETE request that releases a cache handle.
  virtual std::string CacheReleaseTarget(std::string_view handle) const = 0;

  // Question to the endpoint with this id about its work. Another endpoint at
  // its address responds that it is the wrong one.
  virtual ReportQuestion AskForReport(std::string_view endpoint) const = 0;

  // Returns nullopt if the report is malformed.
  virtual std::optional<WorkReport> ParseWorkReport(
      std::string_view body) const = 0;

  // Target of the load balancer's readiness check.
  virtual std::string_view ReadinessTarget() const = 0;
};

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_WIREFORMAT_H_
