#ifndef COMFREYPADDLE_ENTRYWINDOW_H_
#define COMFREYPADDLE_ENTRYWINDOW_H_

#include <cstddef>

#include "balance.h"
#include "types.h"

namespace comfreypaddle {

// Keeps the queues of the endpoints short, so that requests wait at `entry`,
// where they can still be ordered, sent elsewhere or refused. The window of an
// endpoint is the work that all instances together keep in flight there.

// Work in flight at an endpoint.
struct WorkInFlight {
  double m_own_running = 0;  // Requests of this instance.
  double m_own_prefill_ms = 0;
  // The same figures of all other instances. Used only if they are recent.
  double m_remote_running = 0;
  double m_remote_prefill_ms = 0;
  bool m_is_remote_recent = false;
};

// Whether an endpoint may be given another request: fewer run than it has
// slots, and less prefill work than the window is in flight. An idle endpoint
// always may. Without recent figures of the others, this instance uses a share
// of the slots only.
bool IsInWindow(const WorkInFlight& work, double slots, double window_ms,
                std::size_t instances);

// Whether all endpoints of the choice are in their windows. Always true if the
// state sets no window.
bool FitsWindow(const BalanceState& state, const BalanceChoice& choice,
                Instant now);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_ENTRYWINDOW_H_
