#ifndef COMFREYPADDLE_WIREFORMAT_H_
#define COMFREYPADDLE_WIREFORMAT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "http.h"
#include "relay.pb.h"

namespace comfreypaddle {

// Part of a prompt that requests may share.
struct PromptPart {
  std::string m_id;
  std::uint32_t m_tokens = 0;
};

// What a caller says about its request beside method, target and body.
struct RequestTerms {
  std::string m_attempt;  // Id of this try of the caller.
  std::string m_key;
  std::string m_host;
  std::string m_model;
  std::optional<Duration> m_time_left;  // That the caller will wait.
  std::vector<PromptPart> m_parts;      // In order.
  std::uint32_t m_prompt_tokens = 0;
  std::uint32_t m_max_output_tokens = 0;
  std::uint32_t m_output_hint = 0;  // Expected output tokens; zero: unknown.
  // Last event that the caller has of a stream that it resumes.
  std::optional<std::uint64_t> m_last_event;
};

// Where an endpoint gets the KV cache of a prompt from.
struct CacheSource {
  std::string m_address;
  std::string m_handle;
};

// What the system tells an endpoint with a request.
struct SendTerms {
  std::string m_endpoint;   // Id that the endpoint must have.
  std::string m_workspace;  // Empty on routes that need no key.
  Duration m_time_left{0};
  std::optional<std::uint32_t> m_urgency;  // 0 is the most urgent.
  bool m_prefill_only = false;
  std::optional<CacheSource> m_source;
  std::optional<std::uint64_t> m_resume_after;  // Last event that arrived.
};

// What an endpoint says about its answer.
struct AnswerTerms {
  bool m_not_run = false;  // It promises that the request did not run.
  bool m_wrong_endpoint = false;
  bool m_is_stream = false;
};

// Result of reading a prompt without running the request.
struct PrefillResult {
  std::string m_handle;
  std::uint32_t m_tokens = 0;
};

// Names and forms of the requests and answers that the system passes on. The
// adapter of the platform implements it; nothing in it decides.
class WireFormat {
 public:
  virtual ~WireFormat() = default;

  virtual RequestTerms ReadTerms(const HttpRequest& request) const = 0;

  // Header fields of the request to an endpoint: the caller's end-to-end
  // fields and what the terms say.
  virtual HttpFields EndpointFields(const HttpRequest& request,
                                    const SendTerms& terms) const = 0;

  virtual AnswerTerms ReadAnswer(int status,
                                 const HttpFields& fields) const = 0;

  // Whether an answer with these fields belongs to the caller's try.
  virtual bool BelongsTo(const HttpFields& fields,
                         std::string_view attempt) const = 0;

  // End-to-end fields of an answer for the caller.
  virtual HttpFields CallerFields(const HttpFields& fields) const = 0;

  // Fields of an answer of the system's own to the caller's try.
  virtual HttpFields OwnAnswerFields(std::string_view attempt) const = 0;

  virtual std::optional<PrefillResult> ReadPrefill(
      std::string_view body) const = 0;

  // Target of the call, with method DELETE, that frees a handle.
  virtual std::string ReleaseTarget(std::string_view handle) const = 0;

  // Target of the load balancer's question whether this instance is ready.
  virtual std::string_view ReadyTarget() const = 0;
};

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_WIREFORMAT_H_
