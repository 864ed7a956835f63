#ifndef COMFREYPADDLE_BENCHENTRY_H_
#define COMFREYPADDLE_BENCHENTRY_H_

#include <cstdint>
#include <vector>

#include "benchworld.h"

namespace comfreypaddle {

// The part of the entry instances in a run: admission, routing and retries.

// Creates the six instances, two in each zone.
void CreateEntries(World& world);

// Whether the policy uses the fair queue and the routing decisions. The
// others send each request at once.
bool UsesDecisions(BenchPolicy policy);

// Takes in the requests that have arrived by now.
void TakeArrivals(World& world, Instant now);

// Sends waiting requests while endpoints have room.
void DispatchAll(World& world, Instant now);

// Books finished work and ends finished requests.
void TakeProgress(World& world, const std::vector<Progress>& progress,
                  Instant now);

// Ends requests whose deadline has passed, queued or running.
void EndExpired(World& world, Instant now);

// Ends an engine; its requests are noticed as lost after the delay.
void LoseEngine(World& world, std::uint32_t engine, bool was_leaving,
                Duration delay, Instant now);

// Decides about requests whose loss is noticed by now.
void RetryLost(World& world, Instant now);

// Exchanges the digests of service between all instances.
void ExchangeDigests(World& world, Instant now);

// Delivers the load reports of all engines, with the lag and loss of the run.
void DeliverReports(World& world, Instant now);

// Tells the instances about engines that are new, changed, leaving or gone.
void TellEngines(World& world);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_BENCHENTRY_H_
