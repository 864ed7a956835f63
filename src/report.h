#ifndef COMFREYPADDLE_REPORT_H_
#define COMFREYPADDLE_REPORT_H_

#include "duty.h"

namespace comfreypaddle {

// Closes the usage window that has ended and reports closed windows, if this
// process holds the usage duty.
void MaintainReports(DutyState& state);

// Takes a window that was closed in the log, by whichever instance.
void OnWindowClosed(DutyState& state, const schema::UsageWindow& window);

// Forgets a window that the log says was reported.
void OnWindowReported(DutyState& state, const schema::UsageReported& reported);

// Takes the verdict on a close. Returns false for other tickets.
bool OnReportVerdict(DutyState& state, const schema::RecordVerdict& verdict);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_REPORT_H_
