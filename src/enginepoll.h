#ifndef COMFREYPADDLE_ENGINEPOLL_H_
#define COMFREYPADDLE_ENGINEPOLL_H_

#include <functional>
#include <string>

#include "duty.h"

namespace comfreypaddle {

// Period of load reports and of questions about orders under way.
inline constexpr Duration kDutyPollPeriod = std::chrono::milliseconds(500);

// Time after a record was read here during which other instances may still
// send work that the record forbids, because they read it later.
inline constexpr Duration kRecordPropagationTime = std::chrono::seconds(2);

// Asks an engine for its load, unless a question is under way.
void PollEngine(DutyState& state, const Endpoint& endpoint);

// Whether nothing runs at the endpoint by a report from after all instances
// read a record that was read here at this instant.
bool IsIdleSince(const DutyState& state, std::string_view endpoint,
                 Instant record_read_at);

// Makes a call under a duty. It uses a connection of its own and ends before
// the lease, so that no byte of it can arrive under the next holder.
HttpCall MakeDutyCall(const DutyState& state, std::string_view duty,
                      std::string url);

// Events that collect the body of the answer.
HttpEvents CollectBody(
    std::function<void(const HttpResult& result, const std::string& body)>
        on_end);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_ENGINEPOLL_H_
