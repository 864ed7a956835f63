#ifndef COMFREYPADDLE_ENGINEPOLL_H_
#define COMFREYPADDLE_ENGINEPOLL_H_

#include <functional>
#include <string>

#include "duty.h"

namespace comfreypaddle {

// Period of load polls and of status queries for open orders.
inline constexpr Duration kDutyPollPeriod = std::chrono::milliseconds(500);

// Time after a record was read here during which other instances, which may
// read it later, may still send work that it forbids.
inline constexpr Duration kRecordPropagationTime = std::chrono::seconds(2);

// Polls an engine's load unless a poll is already in progress.
void PollEngine(DutyState& state, const Endpoint& endpoint);

// Returns true if the endpoint is idle according to a report made after all
// instances have read the record that was read here at `record_read_at`.
bool IsIdleSince(const DutyState& state, std::string_view endpoint,
                 Instant record_read_at);

// Creates a call made under a duty's lease. It uses its own connection and
// times out before the lease ends, so that none of its bytes can arrive under
// the next holder.
HttpCall MakeDutyCall(const DutyState& state, std::string_view duty,
                      std::string url);

// Returns events that collect the response body.
HttpEvents CollectBody(
    std::function<void(const HttpResult& result, const std::string& body)>
        on_end);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_ENGINEPOLL_H_
