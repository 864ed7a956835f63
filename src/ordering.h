#ifndef COMFREYPADDLE_ORDERING_H_
#define COMFREYPADDLE_ORDERING_H_

#include "duty.h"

namespace comfreypaddle {

// Plans role changes and carries out open orders of the fleets whose orders
// this process is responsible for. An order passes these steps: its intent is
// appended; when the intent was read back, all gateways stop sending work to
// the endpoint; when the endpoint is idle the order is sent; its outcome is
// appended.
void MaintainOrders(DutyState& state);

// Takes an intent or outcome that took effect in the log.
void OnOrderChange(DutyState& state, const schema::OrderChange& change);

// Takes the verdict on an intent or outcome. Returns false for other tickets.
bool OnOrderVerdict(DutyState& state, const schema::RecordVerdict& verdict);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_ORDERING_H_
