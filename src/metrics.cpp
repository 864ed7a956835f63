#include "metrics.h"

namespace comfreypaddle {

namespace {

// The estimator has no quantiles below this number of samples.
constexpr std::size_t kMinQuantileSamples = 5;

}  // namespace

DurationStats::DurationStats()
    : m_accumulators(boost::accumulators::extended_p_square_probabilities =
                         kQuantiles) {}

void DurationStats::Add(Duration duration) {
  m_accumulators(std::chrono::duration<double>(duration).count());
}

std::size_t DurationStats::Count() const {
  return boost::accumulators::count(m_accumulators);
}

double DurationStats::Sum() const {
  return boost::accumulators::sum(m_accumulators);
}

double DurationStats::Quantile(std::size_t index) const {
  if (Count() < kMinQuantileSamples) return 0.0;
  const auto quantiles = boost::accumulators::extended_p_square(m_accumulators);
  return quantiles[static_cast<std::ptrdiff_t>(index)];
}

void MetricsText::Head(std::string_view name, std::string_view help,
                       std::string_view type) {
  m_text.append("# HELP ").append(name).append(" ").append(help).append("\n");
  m_text.append("# TYPE ").append(name).append(" ").append(type).append("\n");
}

void MetricsText::Counter(std::string_view name, std::string_view help,
                          std::uint64_t value) {
  Head(name, help, "counter");
  m_text.append(name).append(" ").append(std::to_string(value)).append("\n");
}

void MetricsText::Gauge(std::string_view name, std::string_view help,
                        double value) {
  Head(name, help, "gauge");
  m_text.append(name).append(" ").append(std::to_string(value)).append("\n");
}

void MetricsText::Gauges(std::string_view name, std::string_view help,
                         std::string_view label,
                         const std::map<std::string, double>& values) {
  Head(name, help, "gauge");
  for (const auto& [label_value, value] : values) {
    m_text.append(name).append("{").append(label).append("=\"");
    m_text.append(label_value).append("\"} ");
    m_text.append(std::to_string(value)).append("\n");
  }
}

void MetricsText::Summary(std::string_view name, std::string_view help,
                          const DurationStats& stats) {
  Head(name, help, "summary");
  for (std::size_t i = 0; i < kQuantiles.size(); ++i) {
    m_text.append(name).append("{quantile=\"");
    m_text.append(std::to_string(kQuantiles.at(i)).substr(0, 4));
    m_text.append("\"} ").append(std::to_string(stats.Quantile(i)));
    m_text.append("\n");
  }
  m_text.append(name).append("_sum ");
  m_text.append(std::to_string(stats.Sum())).append("\n");
  m_text.append(name).append("_count ");
  m_text.append(std::to_string(stats.Count())).append("\n");
}

}  // namespace comfreypaddle
