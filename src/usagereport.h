#ifndef COMFREYPADDLE_USAGEREPORT_H_
#define COMFREYPADDLE_USAGEREPORT_H_

#include "duty.h"

namespace comfreypaddle {

// Closes usage windows that have ended and reports closed windows to the
// platform, while this process holds the usage duty.
void MaintainReports(DutyState& state);

// Handles a window that any instance closed in the log.
void OnWindowClosed(DutyState& state, const schema::UsageWindow& window);

// Removes a window that has been recorded as reported.
void OnWindowReported(DutyState& state, const schema::UsageReported& reported);

// Handles the verdict on the close of a window. Returns false if the ticket is
// not for one.
bool OnReportVerdict(DutyState& state, const schema::RecordVerdict& verdict);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_USAGEREPORT_H_
