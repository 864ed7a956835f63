#ifndef COMFREYPADDLE_TENURE_H_
#define COMFREYPADDLE_TENURE_H_

#include <string>
#include <string_view>
#include <vector>

#include "duty.h"

namespace comfreypaddle {

// Returns the duties that exist: one for the orders of each fleet of engines,
// and those that are always there.
std::vector<std::string> DutyNames(const DutyState& state);

// Claims, renews or, during a planned stop, releases the leases that are due.
void MaintainTenures(DutyState& state);

void OnTenureChange(DutyState& state, const schema::LeaseChange& change);

// Takes the verdict on a claim or release. Returns false for other tickets.
bool OnTenureVerdict(DutyState& state, const schema::RecordVerdict& verdict);

// Whether this process holds the duty and may act on it at this moment. To be
// asked again before each act, because the process may have been paused.
bool MayActOn(const DutyState& state, std::string_view duty);

// Whether this process may send orders under the duty: it may act, and an
// order of the previous holder cannot be under way any more.
bool MayOrder(const DutyState& state, std::string_view duty);

// Instant up to which an act under the duty must have ended.
Instant ActDeadline(const DutyState& state, std::string_view duty);

// Fencing number of the duty's tenure, zero if there is none.
Position FencingNumber(const DutyState& state, std::string_view duty);

// Whether all leases of this process have been released.
bool AllReleased(const DutyState& state);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_TENURE_H_
