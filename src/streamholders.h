#ifndef COMFREYPADDLE_STREAMHOLDERS_H_
#define COMFREYPADDLE_STREAMHOLDERS_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "controlstate.h"

namespace comfreypaddle {

// Instances that hold the records of begun streams (see streamversions.h), and
// the calls to them: a part of the control task.

// Request target of the calls between instances.
inline constexpr std::string_view kStreamTarget = "/v1/streams";

// Instances that may hold records: those that are worth a call.
struct HolderList {
  std::vector<UpstreamCandidate> m_instances;
  std::vector<RecordHolder> m_candidates;  // In the same order.
};

HolderList ListHolders(const ControlState& state);

// Addresses of the other instances that hold the record of a stream, and
// whether this one does.
struct Holders {
  std::vector<std::string> m_others;
  bool m_is_own = false;
};

// Chooses `count` holders of the stream that the attempt began.
Holders HoldersOf(const ControlState& state, const HolderList& list,
                  std::uint64_t attempt, std::size_t count);

// Calls another instance. done gets its answer, or null after a failure.
void SendStreamExchange(
    ControlState& state, const std::string& address,
    const schema::StreamExchange& exchange,
    std::function<void(const schema::StreamAnswer* answer)> done);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_STREAMHOLDERS_H_
