#include "lifetimecheck.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "eventlog.h"
#include "resumption.h"
#include "silencewatch.h"
#include "streambinding.h"

namespace comfreypaddle {

namespace {

// Shortest time between two questions to one endpoint that nobody waits for,
// and that somebody waits for.
constexpr Duration kCheckInterval = std::chrono::milliseconds(250);
constexpr Duration kUrgentInterval = std::chrono::milliseconds(50);

// Questions that an endpoint may leave unanswered one after another until it
// counts as one that does not answer. One that is reset or rejected shows
// nothing.
constexpr int kMaxFailures = 3;

void OnCheckEnd(RelayState& state, const std::string& endpoint,
                const EndpointReport& report) {
  LifetimeInquiry& inquiry = state.m_lifetime_inquiries[endpoint];
  inquiry.m_call = 0;
  const bool had_new_connection = inquiry.m_needs_new_connection;
  inquiry.m_needs_new_connection =
      report.m_is_connection_lost && !had_new_connection;
  if (inquiry.m_needs_new_connection) {
    inquiry.m_due = state.m_clock();
    return;
  }
  if (LearnLifetime(state, endpoint, report)) {
    inquiry.m_failures = 0;
  } else if (!report.m_is_gone && ++inquiry.m_failures < kMaxFailures) {
    inquiry.m_due = state.m_clock() + kCheckInterval;
  } else {
    inquiry.m_failures = 0;
    OnLifetimeUnknown(state, endpoint, report.m_times.m_asked);
  }
}

void Ask(RelayState& state, const std::string& id, LifetimeInquiry& inquiry) {
  inquiry.m_due.reset();
  inquiry.m_asked = state.m_clock();
  ++state.m_counters.m_lifetimes_asked;
  inquiry.m_call =
      AskForReport(state, id, inquiry.m_address, inquiry.m_needs_new_connection,
                   [&state, id](const EndpointReport& report) {
                     OnCheckEnd(state, id, report);
                   });
}

// Asks the endpoint if that is due. One that wants nothing from this instance
// is asked later.
void AskIfDue(RelayState& state, const std::string& id,
              LifetimeInquiry& inquiry) {
  const Instant now = state.m_clock();
  if (inquiry.m_call != 0 || !inquiry.m_due || now < *inquiry.m_due) return;
  const BalanceEndpoint* listed = FindEndpoint(state.m_balance, id);
  const bool is_paused = listed != nullptr && now < listed->m_full_until;
  if (!is_paused) Ask(state, id, inquiry);
}

}  // namespace

void CheckLifetime(RelayState& state, const std::string& endpoint,
                   const std::string& address, CheckUrgency urgency) {
  const auto [place, is_first] =
      state.m_lifetime_inquiries.try_emplace(endpoint);
  LifetimeInquiry& inquiry = place->second;
  inquiry.m_address = address;
  const Instant now = state.m_clock();
  const Duration interval =
      urgency == CheckUrgency::kSoon ? kCheckInterval : kUrgentInterval;
  const Instant due =
      is_first ? now : std::max(now, inquiry.m_asked + interval);
  inquiry.m_due = std::min(inquiry.m_due.value_or(due), due);
  AskIfDue(state, endpoint, inquiry);
}

void CheckNewContact(RelayState& state, const BalanceEndpoint& endpoint) {
  if (state.m_endpoints->HasConnection(endpoint.m_address)) return;
  CheckLifetime(state, endpoint.m_id, endpoint.m_address, CheckUrgency::kNow);
}

void TickLifetimeChecks(RelayState& state) {
  std::vector<std::string> due;
  for (const auto& [id, inquiry] : state.m_lifetime_inquiries) {
    if (inquiry.m_due) due.push_back(id);
  }
  for (const std::string& id : due) {
    AskIfDue(state, id, state.m_lifetime_inquiries[id]);
  }
  std::erase_if(state.m_lifetime_inquiries, [&state](const auto& entry) {
    return entry.second.m_call == 0 && !entry.second.m_due &&
           FindEndpoint(state.m_balance, entry.first) == nullptr;
  });
}

bool LearnLifetime(RelayState& state, const std::string& endpoint,
                   const EndpointReport& report) {
  OnEndpointReport(state, endpoint, report);
  if (!report.m_report || !report.m_report->m_born_ms) return false;
  const std::uint64_t born_ms = *report.m_report->m_born_ms;
  NoteLifetime(state.m_lifetimes, endpoint,
               {born_ms, report.m_connected, report.m_times.m_asked});
  BalanceEndpoint* listed = FindEndpoint(state.m_balance, endpoint);
  if (listed != nullptr && born_ms > listed->m_born_ms &&
      !std::exchange(listed->m_is_outdated, true)) {
    LogLine("endpoint_restarted")
        .Add("endpoint", endpoint)
        .Add("listed_version", listed->m_version)
        .Add("listed_born_ms", static_cast<std::int64_t>(listed->m_born_ms))
        .Add("born_ms", static_cast<std::int64_t>(born_ms));
  }
  if (report.m_is_leaving &&
      OnLifetimeLeaving(state.m_balance, endpoint, born_ms)) {
    LogLine("endpoint_leaving")
        .Add("endpoint", endpoint)
        .Add("born_ms", static_cast<std::int64_t>(born_ms));
  }
  ApplyLifetime(state, endpoint);
  ResolveTakenUp(state);
  return true;
}

}  // namespace comfreypaddle
