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
  // Hex SHA-256 of the operators' token; an empty one disables authorization.
  std::string m_token_sha256;
  // Time after which a write without a verdict is answered as unknown.
  Duration m_write_timeout = std::chrono::seconds(3);
};

// Configuration write that waits for its verdict.
struct PendingWrite {
  std::uint64_t m_request = 0;  // Zero once the operator has disconnected.
  schema::Resource m_resource;
  bool m_remove = false;
};

// State of the operators' API, owned by the admin task. The ports are not
// owned.
struct ApiState {
  ApiSettings m_settings;
  ResponsePort* m_callers = nullptr;
  Port<schema::JournalMessage>* m_journal = nullptr;
  std::function<std::string()> m_metrics;

  // Current resources by kind and name.
  std::map<std::string, std::map<std::string, schema::Resource>> m_resources;
  std::uint64_t m_version = 0;  // Of the last change.
  // Recent changes for watches; complete after version m_history_since.
  std::deque<schema::WatchEvent> m_history;
  std::uint64_t m_history_since = 0;
  std::set<std::uint64_t> m_watches;  // Open watch requests.
  std::unordered_map<std::uint64_t, PendingWrite>
      m_pending_writes;  // By ticket.
  std::uint64_t m_next_ticket = 1;

  schema::StatusReport m_status;
  // Duties that this process holds, with the end of each lease.
  std::map<std::string, Instant> m_duties;
  std::int64_t m_admit_until_us = 0;
  bool m_writes_open = false;
  bool m_caught_up = false;
};

// Answers a request to the API.
void HandleApiRequest(ApiState& state, const HttpRequest& request);

// Removes the watch, or detaches the pending write, of a closed connection.
void OnApiCallerDisconnected(ApiState& state, std::uint64_t request);

// Applies a configuration change and sends it to the watches.
void OnApiTableChange(ApiState& state, const schema::TableChange& change);

// Answers the write that waits for this verdict.
void OnApiVerdict(ApiState& state, const schema::RecordVerdict& verdict);

// Sends an SSE comment on each watch, so that the client can tell an idle
// stream from a dead connection.
void SendWatchHeartbeats(ApiState& state);

// Updates the duties that this process holds.
void OnApiLeaseChange(ApiState& state, const schema::LeaseChange& change);

// Returns the number of duties that this process holds at this instant.
std::size_t CountHeldDuties(const ApiState& state, Instant now);

// Closes all watch streams.
void EndWatches(ApiState& state);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_API_H_
