#ifndef COMFREYPADDLE_API_H_
#define COMFREYPADDLE_API_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <unordered_map>

#include "http.h"
#include "http.pb.h"
#include "messages.pb.h"
#include "problem.h"
#include "task.h"
#include "types.h"

namespace comfreypaddle {

struct ApiSettings {
  // Hex SHA-256 of the operators' token; any caller may use the API if empty.
  std::string m_token_sha256;
  // Time after which a write whose fate is not known is answered.
  Duration m_write_timeout = std::chrono::seconds(3);
};

// Write of an operator whose verdict is awaited.
struct PendingWrite {
  std::uint64_t m_request = 0;  // Zero if the operator's connection is gone.
  schema::Resource m_resource;
  bool m_remove = false;
};

// State of the operators' API. It belongs to the admin task; the functions
// below work on it, and ports are not owned.
struct ApiState {
  ApiSettings m_settings;
  CallerPort* m_callers = nullptr;
  Port<schema::JournalMessage>* m_journal = nullptr;
  std::function<std::string()> m_metrics;

  // Resources in force by kind and name.
  std::map<std::string, std::map<std::string, schema::Resource>> m_resources;
  std::uint64_t m_version = 0;  // Of the last change.
  // Latest changes, for watches; changes after m_history_since are complete.
  std::deque<schema::WatchEvent> m_history;
  std::uint64_t m_history_since = 0;
  std::set<std::uint64_t> m_watches;  // Open watch requests.
  std::unordered_map<std::uint64_t, PendingWrite>
      m_pending_writes;  // By ticket.
  std::uint64_t m_next_ticket = 1;

  schema::StatusReport m_status;
  // Duties that this process holds, and when each lease ends unless renewed.
  std::map<std::string, Instant> m_duties;
  std::int64_t m_admit_until_us = 0;
  bool m_writes_open = false;
  bool m_caught_up = false;
};

// Answers a request to the API.
void HandleApiRequest(ApiState& state, const HttpRequest& request);

// Forgets a watch or the connection of a write.
void OnApiCallerDisconnected(ApiState& state, std::uint64_t request);

// Applies a change of the configuration and tells the watches.
void OnApiTableChange(ApiState& state, const schema::TableChange& change);

// Answers the write that waits for this verdict.
void OnApiVerdict(ApiState& state, const schema::RecordVerdict& verdict);

// Sends a comment on each watch, so that its reader can tell a quiet
// configuration from a dead connection.
void SendWatchHeartbeats(ApiState& state);

// Notes who holds a duty.
void OnApiLeaseChange(ApiState& state, const schema::LeaseChange& change);

// Number of duties that this process holds at this instant.
std::size_t CountHeldDuties(const ApiState& state, Instant now);

// Ends all watches, because this instance stops.
void EndWatches(ApiState& state);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_API_H_
