#ifndef COMFREYPADDLE_DRAIN_H_
#define COMFREYPADDLE_DRAIN_H_

#include <cstddef>

#include "types.h"

namespace comfreypaddle {

// Order of the steps in which the task that serves callers shuts down. An
// instance is idle only once nothing can arrive any more: being without a
// request for a moment is not enough while new connections are accepted.
enum class DrainPhase {
  kInactive,   // No planned stop has begun.
  kAccepting,  // Not ready, but the load balancer may still send connections.
  kClosing,    // The listener is closed; open connections are served.
  kIdle,       // Nothing is open and nothing can arrive.
};

template <>
struct EnumNames<DrainPhase> {
  static constexpr std::array<EnumName<DrainPhase>, 4> kTable{
      {{DrainPhase::kInactive, "inactive"},
       {DrainPhase::kAccepting, "accepting"},
       {DrainPhase::kClosing, "closing"},
       {DrainPhase::kIdle, "idle"}}};
};

// Time limits of a planned stop, from its begin.
struct DrainLimits {
  Duration m_notice{0};  // Until the load balancer has taken the instance out.
  Duration m_grace{0};   // Until the process is killed.
};

struct DrainState {
  DrainPhase m_phase = DrainPhase::kInactive;
  Instant m_began{};
  Instant m_notice_ends{};
  // Requests that arrive from this time on are refused as not run, because too
  // little time is left to finish them.
  Instant m_refuse_from = Instant::max();
  // When the requests that were still open were ended, if they were.
  Instant m_cut_at = Instant::max();
};

// What callers have open at an instance.
struct OpenWork {
  std::size_t m_connections = 0;  // Idle ones included.
  std::size_t m_requests = 0;     // Whose response is not complete.
};

// Whether a planned stop has begun.
inline bool IsStopping(const DrainState& drain) {
  return drain.m_phase != DrainPhase::kInactive;
}

// Begins a planned stop.
void BeginDrain(DrainState& drain, const DrainLimits& limits, Instant now);

// Notes that the open requests have been ended before they were answered. Those
// that arrive later are refused.
void CutDrain(DrainState& drain, Instant now);

// Whether connections without a request may be closed.
bool ClosesIdleConnections(const DrainState& drain, Instant now);

// Moves on to the next phase if its condition holds. Returns whether it did. On
// a change to kClosing the caller closes the listener, on one to kIdle it
// reports that the drain is complete.
bool AdvanceDrain(DrainState& drain, const OpenWork& open, Instant now);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_DRAIN_H_
