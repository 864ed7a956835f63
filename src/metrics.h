#ifndef COMFREYPADDLE_METRICS_H_
#define COMFREYPADDLE_METRICS_H_

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "types.h"

namespace comfreypaddle {

// Quantiles estimated for each distribution.
inline constexpr std::array<double, 3> kQuantiles = {0.5, 0.95, 0.99};

// Distribution of durations in seconds, with estimates of the 50th, 95th and
// 99th percentiles in constant memory.
class DurationStats {
 public:
  DurationStats();

  void Add(Duration duration);

  std::size_t Count() const;

  // Sum of all durations, seconds.
  double Sum() const;

  // Estimate of the quantile kQuantiles[index], seconds.
  double Quantile(std::size_t index) const;

 private:
  using Accumulators = boost::accumulators::accumulator_set<
      double,
      boost::accumulators::stats<boost::accumulators::tag::count,
                                 boost::accumulators::tag::sum,
                                 boost::accumulators::tag::extended_p_square>>;

  Accumulators m_accumulators;
};

// Writes metrics in the Prometheus text format.
class MetricsText {
 public:
  void Counter(std::string_view name, std::string_view help,
               std::uint64_t value);
  void Gauge(std::string_view name, std::string_view help, double value);

  // A gauge with one value for each value of the label.
  void Gauges(std::string_view name, std::string_view help,
              std::string_view label,
              const std::map<std::string, double>& values);
  void Summary(std::string_view name, std::string_view help,
               const DurationStats& stats);

  const std::string& Text() const { return m_text; }

 private:
  void Head(std::string_view name, std::string_view help,
            std::string_view type);

  std::string m_text;
};

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_METRICS_H_
