#include "crashcheck.h"

#include <vector>

#include "crashwatch.h"
#include "endpointreport.h"
#include "lifetimecheck.h"

namespace comfreypaddle {

namespace {

// Time from a crash to the first question. Other instances report crashes of
// the same moment meanwhile, and an endpoint that ends may close its
// connections before its listener.
constexpr Duration kAskDelay = std::chrono::milliseconds(250);

// Time between two questions to an endpoint that did not answer.
constexpr Duration kAskInterval = std::chrono::milliseconds(250);

// Time from a crash until it may be confirmed. Meanwhile sound requests with
// the part get past the start of their responses elsewhere, and clear it.
constexpr Duration kClearTime = std::chrono::milliseconds(1500);

// Time after which a crash stays unconfirmed. What is confirmed must be known
// everywhere 4 s after the crash.
constexpr Duration kMaxCheckTime = std::chrono::milliseconds(2500);

// Records what the endpoint's report says of the process that had the crash.
void OnAnswer(RelayState& state, std::uint64_t id,
              const EndpointReport& report) {
  const auto found = state.m_crash_checks.find(id);
  if (found == state.m_crash_checks.end()) return;
  CrashCheck& check = found->second;
  check.m_call = 0;
  check.m_due = state.m_clock() + kAskInterval;
  const bool is_other_lifetime =
      report.m_report &&
      report.m_report->m_born_ms.value_or(0) > check.m_born_ms;
  if (report.m_is_gone || is_other_lifetime) {
    check.m_has_ended = true;
  } else if (report.m_report) {
    state.m_crash_checks.erase(found);  // It works on.
  }
}

void Ask(RelayState& state, std::uint64_t id, CrashCheck& check) {
  ++state.m_counters.m_reports_asked;
  check.m_call = AskForReport(
      state, check.m_endpoint, check.m_address, true,
      [&state, id, endpoint = check.m_endpoint](const EndpointReport& report) {
        LearnLifetime(state, endpoint, report);
        OnAnswer(state, id, report);
      });
}

// An endpoint that wants nothing from this instance is asked later.
bool IsPaused(const RelayState& state, const CrashCheck& check, Instant now) {
  const BalanceEndpoint* listed =
      FindEndpoint(state.m_balance, check.m_endpoint);
  return listed != nullptr && now < listed->m_full_until;
}

// Takes the next step of a check. Returns whether it is over.
bool EndCheck(RelayState& state, std::uint64_t id, CrashCheck& check) {
  const Instant now = state.m_clock();
  const Duration elapsed = now - check.m_crash.m_at;
  if (check.m_has_ended) {
    if (elapsed < kClearTime) return false;
    OnCrashConfirmed(state, check);
    return true;
  }
  if (elapsed >= kMaxCheckTime) return true;
  const bool is_due = elapsed >= kAskDelay && now >= check.m_due;
  if (check.m_call != 0 || !is_due) return false;
  check.m_parts =
      FindConfirmable(state.m_crashes, check.m_crash, check.m_parts);
  if (check.m_parts.empty()) return true;
  if (IsPaused(state, check, now)) {
    check.m_due = now + kAskInterval;
  } else {
    Ask(state, id, check);
  }
  return false;
}

}  // namespace

void TickCrashChecks(RelayState& state) {
  std::vector<std::uint64_t> ids;
  for (const auto& [id, check] : state.m_crash_checks) ids.push_back(id);
  for (const std::uint64_t id : ids) {
    const auto found = state.m_crash_checks.find(id);
    if (found == state.m_crash_checks.end()) continue;
    if (EndCheck(state, id, found->second)) state.m_crash_checks.erase(id);
  }
}

}  // namespace comfreypaddle
