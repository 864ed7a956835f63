#ifndef COMFREYPADDLE_ENTRYQUEUE_H_
#define COMFREYPADDLE_ENTRYQUEUE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "admission.h"
#include "types.h"

namespace comfreypaddle {

// Orders the requests of callers that wait at one instance of `entry`: by
// urgency, which rises while they wait, and fairly among the workspaces of one
// urgency by tokens of work. It is the admission queue of `serve`, with one
// fleet for each service.

// Why a request waits.
enum class HoldReason {
  kNoRoom,  // No endpoint can take it.
  kWindow,  // Its endpoint has enough work in flight.
  kOrder,   // Others of its service wait already.
};

template <>
struct EnumNames<HoldReason> {
  static constexpr std::array<EnumName<HoldReason>, 3> kTable{
      {{HoldReason::kNoRoom, "no_room"},
       {HoldReason::kWindow, "window"},
       {HoldReason::kOrder, "order"}}};
};

struct EntryQueueSettings {
  bool m_is_ordered = false;  // Otherwise nothing is queued here.
  // Wait after which a request is served like those of the next urgency.
  Duration m_age_step = std::chrono::milliseconds(25);
};

struct WaitingCall {
  std::uint64_t m_id = 0;
  std::string m_service;
  std::string m_workspace;
  // 0 is the most urgent. All from kPriorityLevels - 1 on count as equal.
  std::uint32_t m_urgency = 0;
  double m_cost_tokens = 0;  // Prompt tokens that no cache holds.
  Instant m_arrived{};
  Instant m_deadline{};  // Latest end of the wait.
};

// A waiting request and the urgency by which it is served now.
struct WaitingEntry {
  WaitingCall m_call;
  std::uint32_t m_urgency = 0;
};

// Modified only by the functions below.
struct EntryQueue {
  EntryQueueSettings m_settings;
  QueueLimits m_limits;
  AdmissionQueue m_admission;
  std::map<std::uint64_t, WaitingEntry> m_waiting;  // By id.
  // Latest time at which a caller that was turned away may return, by service.
  std::map<std::string, Instant> m_last_return;
};

struct WaitDecision {
  bool m_is_queued = false;
  Duration m_expected_wait{0};  // Zero if the service rate is unknown.
  // If it is not queued: time until the backlog and the callers that were
  // turned away before it are expected to be served.
  Duration m_retry_after{0};
};

// Queues a request. Does not if the queue is full, or if the request is not
// expected to be served before the latest end of its wait.
WaitDecision AddWaiting(EntryQueue& queue, const WaitingCall& call,
                        Instant now);

// Removes a request. Does nothing if it does not wait.
void RemoveWaiting(EntryQueue& queue, std::uint64_t id);

bool IsWaiting(const EntryQueue& queue, std::uint64_t id);

// Whether requests for the service wait.
bool HasWaiting(const EntryQueue& queue, const std::string& service);

// Services for which requests wait.
std::set<std::string> WaitingServices(const EntryQueue& queue);

// Raises the urgency of requests that have waited for long. Returns those that
// wait no longer, because their wait has ended or would end in vain.
std::vector<std::uint64_t> TakeOverdue(EntryQueue& queue, Instant now);

// Removes the next request for the service that `fits` and charges it to its
// workspace. Of each workspace only the first is considered.
std::optional<std::uint64_t> TakeNext(
    EntryQueue& queue, const std::string& service,
    const std::function<bool(std::uint64_t)>& fits, Instant now);

// Number of waiting requests by their own urgency.
std::map<std::uint32_t, std::size_t> WaitingByUrgency(const EntryQueue& queue);

// Time since the arrival of the request that has waited longest.
Duration LongestWait(const EntryQueue& queue, Instant now);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_ENTRYQUEUE_H_
