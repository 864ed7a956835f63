#ifndef COMFREYPADDLE_ENDPOINTSPEED_H_
#define COMFREYPADDLE_ENDPOINTSPEED_H_

#include <array>
#include <cstddef>
#include <optional>

#include "types.h"

namespace comfreypaddle {

// Learns how fast an endpoint is compared with the others of its service, from
// the times of its responses. Each instance learns from its own requests, and
// the instances exchange what they have learnt.

// What a sample of the speed was taken from. Only samples of the same kind and
// concurrency are compared with each other.
enum class SpeedSampleKind {
  kPrefill,       // Prefill on an endpoint of its own.
  kMixedPrefill,  // Prefill between the decode steps of other requests.
  kDecodeGap,     // Mean time between the events of a stream.
  kRun            // A request to a service that is not a model engine.
};

template <>
struct EnumNames<SpeedSampleKind> {
  static constexpr std::array<EnumName<SpeedSampleKind>, 4> kTable{
      {{SpeedSampleKind::kPrefill, "prefill"},
       {SpeedSampleKind::kMixedPrefill, "mixed_prefill"},
       {SpeedSampleKind::kDecodeGap, "decode_gap"},
       {SpeedSampleKind::kRun, "run"}}};
};

// Levels of concurrency: the binary logarithm of the number of requests.
inline constexpr std::size_t kConcurrencyLevels = 8;

struct SpeedSample {
  SpeedSampleKind m_kind = SpeedSampleKind::kRun;
  double m_running = 0;  // Requests at the endpoint besides this one.
  // Time that the work takes at m_assumed_ratio; 1 if it is not estimated.
  double m_expected_ms = 1;
  double m_assumed_ratio = 1;
  double m_elapsed_ms = 0;
  double m_weight = 1;
};

// Typical speed in the samples of one kind and concurrency.
struct TypicalSpeed {
  double m_log = 0;      // Mean logarithm of expected to elapsed time.
  double m_samples = 0;  // Up to the number that the mean goes back.
};

// Typical speeds of the endpoints of a service, as this instance sees them. An
// instance that is itself slow sees all of them slower.
struct ServiceSpeed {
  std::array<std::array<TypicalSpeed, kConcurrencyLevels>,
             EnumNames<SpeedSampleKind>::kTable.size()>
      m_typical{};
  // Mean logarithm of the estimates of all endpoints. What they have in common
  // is not the speed of one of them.
  double m_common_log = 0;
};

// Weighted mean of speed samples relative to the service.
struct SpeedReport {
  double m_log_ratio = 0;  // Positive if faster than the service.
  double m_weight = 0;     // Sum of the weights of the samples.
};

// What is known of the speed of an endpoint in its current lifetime.
struct EndpointSpeed {
  SpeedReport m_own;  // From requests of this instance.
  Instant m_own_at{};
  SpeedReport m_others;  // From those of all other instances.
  Instant m_others_at{};
  // Reports of other instances may tell of the last lifetime until then.
  Instant m_ignore_others_until{};
  double m_ratio = 1;  // Estimated speed; 1 is that of the service.
  // Ratio that was told last as a change, and when.
  double m_told_ratio = 1;
  Instant m_told_at{};
};

// Returns the report with the weight that is left after its age. Old samples
// count less, so that an endpoint that was slow is tried again.
SpeedReport Aged(const SpeedReport& report, Duration age);

// Adds a report to a sum of reports.
void Merge(const SpeedReport& report, SpeedReport* sum);

// Starts a new lifetime of the endpoint.
EndpointSpeed SpeedOfNewLifetime(Instant now);

// Records a sample of this instance and updates the estimate. Samples that
// cannot be compared are left out.
void AddSample(ServiceSpeed& service, EndpointSpeed& endpoint,
               const SpeedSample& sample, Instant now);

// Replaces what the other instances have learnt, and updates the estimate.
void SetOthers(const ServiceSpeed& service, EndpointSpeed& endpoint,
               const SpeedReport& report, Instant now);

// Logarithm of the estimate, before what all endpoints have in common is taken
// from it. Few samples lean on the speed of the service.
double EstimatedLog(const EndpointSpeed& endpoint, Instant now);

// Updates the estimate for the age of its samples.
void UpdateRatio(const ServiceSpeed& service, EndpointSpeed& endpoint,
                 Instant now);

// Returns what the other instances are to be told; nothing if this instance
// knows next to nothing.
std::optional<SpeedReport> ReportToShare(const EndpointSpeed& endpoint,
                                         Instant now);

// Whether the estimate differs much from the one told last. Marks it as told.
bool TakeChange(EndpointSpeed& endpoint, Instant now);

// Typical time of a request to a service that is not a model engine; nothing
// without samples.
std::optional<double> TypicalRunMs(const ServiceSpeed& service);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_ENDPOINTSPEED_H_
