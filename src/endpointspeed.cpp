#include "endpointspeed.h"

#include <algorithm>
#include <cmath>

namespace comfreypaddle {

namespace {

// Time constant with which samples lose weight. Spells of less than a second
// are a small part of it.
constexpr double kSampleDecayMs = 5000;

// Weight of the assumption that an endpoint is as fast as its service.
constexpr double kPriorWeight = 1;

// Samples that a typical speed goes back, and the number at which a comparison
// with it counts half.
constexpr double kTypicalSamples = 20;
constexpr double kHalfTrustSamples = 4;

// Largest factor by which one sample may differ from the estimate. A response
// may be late for reasons that are not the endpoint's.
constexpr double kMaxSampleFactor = 4;

// Bounds of the estimate.
constexpr double kMinRatio = 0.1;
constexpr double kMaxRatio = 4;

// Weight of samples from which on the other instances are told.
constexpr double kMinSharedWeight = 0.05;

// Time after which no report of the last lifetime of an endpoint arrives.
constexpr Duration kOldReportsTime = std::chrono::seconds(4);

// Factor between estimates that counts as a change.
constexpr double kChangeFactor = 1.5;

std::size_t LevelOf(double running) {
  const double level = std::floor(std::log2(std::max(0.0, running) + 1));
  return std::min(static_cast<std::size_t>(level), kConcurrencyLevels - 1);
}

bool IsComparable(const SpeedSample& sample) {
  return sample.m_expected_ms > 0 && sample.m_assumed_ratio > 0 &&
         sample.m_elapsed_ms > 0 && sample.m_weight > 0 &&
         std::isfinite(sample.m_expected_ms) &&
         std::isfinite(sample.m_elapsed_ms) && std::isfinite(sample.m_weight);
}

// Moves the typical speed toward the sample, corrected for the known speed of
// its endpoint: the typical one must not depend on which endpoints are chosen.
void AddToTypical(TypicalSpeed& typical, double log_speed) {
  typical.m_samples = std::min(typical.m_samples + 1, kTypicalSamples);
  typical.m_log += (log_speed - typical.m_log) / typical.m_samples;
}

}  // namespace

SpeedReport Aged(const SpeedReport& report, Duration age) {
  const double age_ms = std::max(0.0, ToMs(age));
  return {report.m_log_ratio,
          report.m_weight * std::exp(-age_ms / kSampleDecayMs)};
}

void Merge(const SpeedReport& report, SpeedReport* sum) {
  const double weight = sum->m_weight + report.m_weight;
  if (weight <= 0) return;
  sum->m_log_ratio +=
      report.m_weight / weight * (report.m_log_ratio - sum->m_log_ratio);
  sum->m_weight = weight;
}

EndpointSpeed SpeedOfNewLifetime(Instant now) {
  EndpointSpeed speed;
  speed.m_ignore_others_until = now + kOldReportsTime;
  return speed;
}

void AddSample(ServiceSpeed& service, EndpointSpeed& endpoint,
               const SpeedSample& sample, Instant now) {
  if (!IsComparable(sample)) return;
  UpdateRatio(service, endpoint, now);
  TypicalSpeed& typical =
      service.m_typical[static_cast<std::size_t>(sample.m_kind)]
                       [LevelOf(sample.m_running)];
  const double log_speed = std::log(
      sample.m_expected_ms * sample.m_assumed_ratio / sample.m_elapsed_ms);
  const double log_known = std::log(endpoint.m_ratio);
  const double trust =
      typical.m_samples / (typical.m_samples + kHalfTrustSamples);
  const double log_limit = std::log(kMaxSampleFactor);
  const double log_ratio = std::clamp(
      log_speed - typical.m_log, log_known - log_limit, log_known + log_limit);
  AddToTypical(typical, log_speed - log_known);
  endpoint.m_own = Aged(endpoint.m_own, now - endpoint.m_own_at);
  endpoint.m_own_at = now;
  Merge({log_ratio, sample.m_weight * trust}, &endpoint.m_own);
  UpdateRatio(service, endpoint, now);
}

void SetOthers(const ServiceSpeed& service, EndpointSpeed& endpoint,
               const SpeedReport& report, Instant now) {
  const bool is_valid = std::isfinite(report.m_log_ratio) &&
                        std::isfinite(report.m_weight) && report.m_weight >= 0;
  if (!is_valid || now < endpoint.m_ignore_others_until) return;
  endpoint.m_others = report;
  endpoint.m_others_at = now;
  UpdateRatio(service, endpoint, now);
}

double EstimatedLog(const EndpointSpeed& endpoint, Instant now) {
  SpeedReport sum{0, kPriorWeight};
  Merge(Aged(endpoint.m_own, now - endpoint.m_own_at), &sum);
  Merge(Aged(endpoint.m_others, now - endpoint.m_others_at), &sum);
  return sum.m_log_ratio;
}

void UpdateRatio(const ServiceSpeed& service, EndpointSpeed& endpoint,
                 Instant now) {
  const double log_ratio = EstimatedLog(endpoint, now) - service.m_common_log;
  endpoint.m_ratio = std::clamp(std::exp(log_ratio), kMinRatio, kMaxRatio);
}

std::optional<SpeedReport> ReportToShare(const EndpointSpeed& endpoint,
                                         Instant now) {
  const SpeedReport report = Aged(endpoint.m_own, now - endpoint.m_own_at);
  if (report.m_weight < kMinSharedWeight) return std::nullopt;
  return report;
}

bool TakeChange(EndpointSpeed& endpoint, Instant now) {
  const double factor = endpoint.m_ratio / endpoint.m_told_ratio;
  if (factor < kChangeFactor && factor > 1 / kChangeFactor) return false;
  endpoint.m_told_ratio = endpoint.m_ratio;
  endpoint.m_told_at = now;
  return true;
}

std::optional<double> TypicalRunMs(const ServiceSpeed& service) {
  const auto& runs =
      service.m_typical[static_cast<std::size_t>(SpeedSampleKind::kRun)];
  const TypicalSpeed* best = &runs.front();
  for (const TypicalSpeed& typical : runs) {
    if (typical.m_samples > best->m_samples) best = &typical;
  }
  if (best->m_samples == 0) return std::nullopt;
  return std::exp(-best->m_log);
}

}  // namespace comfreypaddle
