#ifndef COMFREYPADDLE_BENCHENTRY_H_
#define COMFREYPADDLE_BENCHENTRY_H_

#include <cstdint>
#include <vector>

#include "benchstate.h"

namespace comfreypaddle {

// Simulated entry instances: admission, routing and retries.

// Creates the six instances, two in each zone.
void CreateInstances(BenchState& state);

// Returns whether the policy uses the fair queue and the routing decisions. The
// other policies dispatch each request on arrival.
bool UsesScheduling(BenchPolicy policy);

// Admits the requests that have arrived by now.
void AdmitArrivals(BenchState& state, Instant now);

// Dispatches queued requests while endpoints have free slots.
void DispatchAll(BenchState& state, Instant now);

// Completes the requests that the engines finished in this step.
void CompleteFinished(BenchState& state, const std::vector<Progress>& progress,
                      Instant now);

// Ends queued and running requests whose deadline has passed.
void ExpireRequests(BenchState& state, Instant now);

// Terminates an engine. The instances detect the loss of its requests after the
// delay.
void TerminateEngine(BenchState& state, std::uint32_t engine, bool was_leaving,
                     Duration delay, Instant now);

// Retries or gives up the lost requests whose loss has been detected by now.
void RetryLost(BenchState& state, Instant now);

// Exchanges service digests between all instances.
void ExchangeDigests(BenchState& state, Instant now);

// Delivers the load reports of all engines with the configured lag and loss.
void DeliverReports(BenchState& state, Instant now);

// Updates the instances about engines that were added, changed, are draining or
// were removed.
void PublishEngines(BenchState& state);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_BENCHENTRY_H_
