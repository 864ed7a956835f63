#ifndef COMFREYPADDLE_ORDERING_H_
#define COMFREYPADDLE_ORDERING_H_

#include "duty.h"

namespace comfreypaddle {

// Plans role changes and executes open orders for the fleets whose order duty
// this process holds. For each order the intent is appended to the log; once it
// has been read back, all gateways stop sending requests to the endpoint; once
// the endpoint is idle, the order is sent; finally the outcome is appended.
void MaintainOrders(DutyState& state);

// Handles an intent or outcome that was accepted in the log.
void OnOrderChange(DutyState& state, const schema::OrderChange& change);

// Handles the verdict on an intent or outcome. Returns false if the ticket is
// not for one.
bool OnOrderVerdict(DutyState& state, const schema::RecordVerdict& verdict);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_ORDERING_H_
