#ifndef COMFREYPADDLE_DUTYLEASE_H_
#define COMFREYPADDLE_DUTYLEASE_H_

#include <string>
#include <string_view>
#include <vector>

#include "duty.h"

namespace comfreypaddle {

// Returns the names of all duties: one order duty per engine fleet and the
// fixed ones.
std::vector<std::string> DutyNames(const DutyState& state);

// Claims or renews the leases that are due; releases them during a planned
// stop.
void MaintainLeases(DutyState& state);

void OnLeaseChange(DutyState& state, const schema::LeaseChange& change);

// Handles the verdict on a claim or release. Returns false if the ticket is not
// for one.
bool OnLeaseVerdict(DutyState& state, const schema::RecordVerdict& verdict);

// Whether this process holds the duty and may act on it now. Must be checked
// before each action, because the process may have been suspended in between.
bool MayActOn(const DutyState& state, std::string_view duty);

// Whether this process may send orders for the duty: it may act, and any order
// of the previous holder has timed out.
bool MayOrder(const DutyState& state, std::string_view duty);

// Time by which an action for the duty must have completed.
Instant ActDeadline(const DutyState& state, std::string_view duty);

// Fencing number of the duty's lease, or zero if there is none.
Position FencingNumber(const DutyState& state, std::string_view duty);

// Whether all leases of this process have been released.
bool AllReleased(const DutyState& state);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_DUTYLEASE_H_
