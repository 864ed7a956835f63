#include "drain.h"

#include <algorithm>

namespace comfreypaddle {

namespace {

// Time after the load balancer's notice period in which late requests are still
// accepted.
constexpr Duration kLateArrivalGrace = std::chrono::milliseconds(800);

// Requests are accepted for the grace time divided by this at most. The rest is
// left for them to finish.
constexpr int kAcceptingDivisor = 2;

// Time after the open requests were ended in which their responses are written.
constexpr Duration kLastWriteTime = std::chrono::milliseconds(50);

bool IsEmpty(const OpenWork& open) {
  return open.m_connections == 0 && open.m_requests == 0;
}

// Whether the listener can be closed. Callers that the load balancer still
// sends are refused with a response rather than by the system, as long as
// accepted requests keep the process running anyway.
bool CanCloseListener(const DrainState& drain, const OpenWork& open,
                      Instant now) {
  if (now >= drain.m_cut_at) return true;
  if (now < drain.m_notice_ends) return false;
  return now >= drain.m_refuse_from ? open.m_requests == 0 : IsEmpty(open);
}

bool IsDone(const DrainState& drain, const OpenWork& open, Instant now) {
  if (IsEmpty(open)) return true;
  return drain.m_cut_at != Instant::max() &&
         now - drain.m_cut_at >= kLastWriteTime;
}

}  // namespace

void BeginDrain(DrainState& drain, const DrainLimits& limits, Instant now) {
  if (IsStopping(drain)) return;
  drain.m_phase = DrainPhase::kAccepting;
  drain.m_began = now;
  drain.m_notice_ends = now + limits.m_notice;
  drain.m_refuse_from = now + std::min(limits.m_notice + kLateArrivalGrace,
                                       limits.m_grace / kAcceptingDivisor);
}

void CutDrain(DrainState& drain, Instant now) {
  drain.m_refuse_from = std::min(drain.m_refuse_from, now);
  drain.m_cut_at = std::min(drain.m_cut_at, now);
}

bool ClosesIdleConnections(const DrainState& drain, Instant now) {
  return IsStopping(drain) && now >= drain.m_notice_ends;
}

bool AdvanceDrain(DrainState& drain, const OpenWork& open, Instant now) {
  switch (drain.m_phase) {
    case DrainPhase::kAccepting:
      if (!CanCloseListener(drain, open, now)) return false;
      drain.m_phase = DrainPhase::kClosing;
      return true;
    case DrainPhase::kClosing:
      if (!IsDone(drain, open, now)) return false;
      drain.m_phase = DrainPhase::kIdle;
      return true;
    case DrainPhase::kInactive:
    case DrainPhase::kIdle:
      return false;
  }
  return false;
}

}  // namespace comfreypaddle
