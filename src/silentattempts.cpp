#include "silentattempts.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace comfreypaddle {

namespace {

using AttemptFilter = std::function<bool(const SilentAttempt& attempt)>;

bool IsExpired(const SilentAttempt& attempt, Instant now) {
  return now - attempt.m_ended >= kSilenceRetention;
}

// Removes the attempts at the endpoint that the filter selects.
std::vector<SilentAttempt> Extract(SilentAttempts& table,
                                   const std::string& endpoint,
                                   const AttemptFilter& filter) {
  std::vector<SilentAttempt> extracted;
  const auto found = table.m_by_endpoint.find(endpoint);
  if (found == table.m_by_endpoint.end()) return extracted;
  std::vector<SilentAttempt>& attempts = found->second;
  const auto first = std::stable_partition(
      attempts.begin(), attempts.end(),
      [&filter](const SilentAttempt& attempt) { return !filter(attempt); });
  std::move(first, attempts.end(), std::back_inserter(extracted));
  attempts.erase(first, attempts.end());
  table.m_size -= extracted.size();
  if (attempts.empty()) table.m_by_endpoint.erase(found);
  return extracted;
}

// Removes the attempts that the filter selects, and leaves out what is too old.
std::vector<SilentAttempt> TakeCrashed(SilentAttempts& table,
                                       const std::string& endpoint,
                                       const AttemptFilter& filter,
                                       Instant now) {
  std::vector<SilentAttempt> crashed = Extract(table, endpoint, filter);
  std::erase_if(crashed, [now](const SilentAttempt& attempt) {
    return IsExpired(attempt, now);
  });
  return crashed;
}

// Removes the attempts at all endpoints that the filter selects.
void EraseAll(SilentAttempts& table, const AttemptFilter& filter) {
  for (auto& [endpoint, attempts] : table.m_by_endpoint) {
    table.m_size -= std::erase_if(attempts, filter);
  }
  std::erase_if(table.m_by_endpoint,
                [](const auto& entry) { return entry.second.empty(); });
}

}  // namespace

bool AddSilentAttempt(SilentAttempts& table, const std::string& endpoint,
                      const SilentAttempt& attempt) {
  Extract(table, endpoint, [&attempt](const SilentAttempt& known) {
    return known.m_request == attempt.m_request &&
           known.m_born_ms == attempt.m_born_ms;
  });
  if (table.m_size >= kMaxSilentAttempts) {
    ExpireSilentAttempts(table, attempt.m_ended);
  }
  if (table.m_size >= kMaxSilentAttempts) return false;
  table.m_by_endpoint[endpoint].push_back(attempt);
  ++table.m_size;
  return true;
}

void ForgetAnswered(SilentAttempts& table, const std::string& endpoint,
                    std::uint64_t born_ms, Instant ended) {
  Extract(table, endpoint, [born_ms, ended](const SilentAttempt& attempt) {
    return attempt.m_born_ms == born_ms && attempt.m_ended >= ended;
  });
}

void ForgetEndpoint(SilentAttempts& table, const std::string& endpoint) {
  Extract(table, endpoint, [](const SilentAttempt&) { return true; });
}

void ForgetRequest(SilentAttempts& table, std::uint64_t request) {
  EraseAll(table, [request](const SilentAttempt& attempt) {
    return attempt.m_request == request;
  });
}

void ExpireSilentAttempts(SilentAttempts& table, Instant now) {
  EraseAll(table, [now](const SilentAttempt& attempt) {
    return IsExpired(attempt, now);
  });
}

std::vector<SilentAttempt> TakeEndedLifetimes(SilentAttempts& table,
                                              const std::string& endpoint,
                                              std::uint64_t born_ms,
                                              Instant now) {
  return TakeCrashed(
      table, endpoint,
      [born_ms](const SilentAttempt& attempt) {
        return attempt.m_born_ms < born_ms;
      },
      now);
}

std::vector<SilentAttempt> TakeUnreachable(SilentAttempts& table,
                                           const std::string& endpoint,
                                           const std::string& address,
                                           Instant now) {
  return TakeCrashed(
      table, endpoint,
      [&address](const SilentAttempt& attempt) {
        return attempt.m_address == address;
      },
      now);
}

}  // namespace comfreypaddle
