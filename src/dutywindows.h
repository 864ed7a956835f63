#ifndef COMFREYPADDLE_DUTYWINDOWS_H_
#define COMFREYPADDLE_DUTYWINDOWS_H_

#include "holder.h"
#include "usageaggregate.h"

namespace comfreypaddle {

// Usage windows in the record of the duties. The holder fixes the counts of a
// window by recording them, and only then reports them. A window that was fixed
// is never fixed again with other counts, also if the store loses the record: a
// claimant that may not know of such a window abandons it.

// State that a process wants to record.
struct DutyUpdate {
  schema::DutyRecord m_record;
  bool m_changed = false;  // It fixes a window.
};

// Returns the newest record plus the windows that can be fixed now, minus those
// that have been reported. `accepted` is the newest window that the platform
// accepted from this process.
DutyUpdate NextDutyRecord(const HolderState& holder, UsageAggregate& usage,
                          std::uint64_t accepted, Duration unix_at_zero,
                          Instant now);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_DUTYWINDOWS_H_
