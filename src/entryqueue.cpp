#include "entryqueue.h"

#include <algorithm>
#include <utility>

namespace comfreypaddle {

namespace {

// Requests that are considered at a time for one urgency. It bounds the work if
// many wait for different endpoints.
constexpr std::size_t kMaxConsidered = 16;

// Maximum expected time of one request. An outlier of the measured rate must
// not keep callers away for longer.
constexpr double kMaxServiceSeconds = 1;

constexpr std::uint32_t kLastUrgency = kPriorityLevels - 1;

// Urgency by which a request is served after the wait so far.
std::uint32_t RaisedUrgency(const EntryQueue& queue, const WaitingCall& call,
                            Instant now) {
  const std::uint32_t urgency = std::min(call.m_urgency, kLastUrgency);
  const Duration step = queue.m_settings.m_age_step;
  if (step <= Duration::zero() || now <= call.m_arrived) return urgency;
  const std::int64_t raised =
      std::min<std::int64_t>((now - call.m_arrived) / step, urgency);
  return urgency - static_cast<std::uint32_t>(raised);
}

// Urgency zero is the highest priority.
Priority PriorityOf(std::uint32_t urgency) {
  return static_cast<Priority>(kLastUrgency - urgency);
}

EnqueueResult EnqueueAt(EntryQueue& queue, const WaitingCall& call,
                        std::uint32_t urgency, Instant now) {
  QueuedRequest request;
  request.m_id = call.m_id;
  request.m_workspace = call.m_workspace;
  request.m_fleet = call.m_service;
  request.m_cost = call.m_cost_tokens;
  request.m_priority = PriorityOf(urgency);
  request.m_arrival = call.m_arrived;
  request.m_deadline = call.m_deadline;
  return Enqueue(queue.m_admission, queue.m_limits, std::move(request), now);
}

// Serves a request by another urgency from now on. Returns whether it still
// waits.
bool Raise(EntryQueue& queue, WaitingEntry& entry, std::uint32_t urgency,
           Instant now) {
  RemoveRequest(queue.m_admission, entry.m_call.m_id);
  entry.m_urgency = urgency;
  return EnqueueAt(queue, entry.m_call, urgency, now).m_status ==
         EnqueueStatus::kQueued;
}

// Expected time in which the service does this work, of one instance.
Duration ServiceTime(const EntryQueue& queue, const std::string& service,
                     double cost_tokens) {
  const auto found = queue.m_admission.m_fleets.find(service);
  if (found == queue.m_admission.m_fleets.end() ||
      found->second.m_recent_work <= 0) {
    return Duration{0};
  }
  const double seconds =
      cost_tokens * found->second.m_recent_time / found->second.m_recent_work;
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(std::min(seconds, kMaxServiceSeconds)));
}

// Reserves a time for the return of a caller that is turned away, one after the
// other at the speed of the service.
Duration ReserveReturn(EntryQueue& queue, const WaitingCall& call,
                       Duration expected_wait, Instant now) {
  Instant& last = queue.m_last_return[call.m_service];
  const Duration time = ServiceTime(queue, call.m_service,
                                    std::max(call.m_cost_tokens, kMinCost));
  last = std::max(last, now + expected_wait) + time;
  return last - now;
}

}  // namespace

WaitDecision AddWaiting(EntryQueue& queue, const WaitingCall& call,
                        Instant now) {
  const std::uint32_t urgency = RaisedUrgency(queue, call, now);
  const EnqueueResult result = EnqueueAt(queue, call, urgency, now);
  WaitDecision decision{result.m_status == EnqueueStatus::kQueued,
                        result.m_expected_wait, Duration{0}};
  if (decision.m_is_queued) {
    queue.m_waiting[call.m_id] = {call, urgency};
  } else {
    decision.m_retry_after =
        ReserveReturn(queue, call, decision.m_expected_wait, now);
  }
  return decision;
}

void RemoveWaiting(EntryQueue& queue, std::uint64_t id) {
  if (queue.m_waiting.erase(id) == 0) return;
  RemoveRequest(queue.m_admission, id);
}

bool IsWaiting(const EntryQueue& queue, std::uint64_t id) {
  return queue.m_waiting.count(id) > 0;
}

bool HasWaiting(const EntryQueue& queue, const std::string& service) {
  for (const auto& [id, entry] : queue.m_waiting) {
    if (entry.m_call.m_service == service) return true;
  }
  return false;
}

std::set<std::string> WaitingServices(const EntryQueue& queue) {
  std::set<std::string> services;
  for (const auto& [id, entry] : queue.m_waiting) {
    services.insert(entry.m_call.m_service);
  }
  return services;
}

std::vector<std::uint64_t> TakeOverdue(EntryQueue& queue, Instant now) {
  std::vector<std::uint64_t> overdue;
  for (const QueuedRequest& request : RemoveExpired(queue.m_admission, now)) {
    queue.m_waiting.erase(request.m_id);
    overdue.push_back(request.m_id);
  }
  for (auto next = queue.m_waiting.begin(); next != queue.m_waiting.end();) {
    WaitingEntry& entry = next->second;
    const std::uint32_t urgency = RaisedUrgency(queue, entry.m_call, now);
    if (urgency == entry.m_urgency || Raise(queue, entry, urgency, now)) {
      ++next;
      continue;
    }
    overdue.push_back(next->first);
    next = queue.m_waiting.erase(next);
  }
  return overdue;
}

std::optional<std::uint64_t> TakeNext(
    EntryQueue& queue, const std::string& service,
    const std::function<bool(std::uint64_t)>& fits, Instant now) {
  for (std::uint32_t urgency = 0; urgency <= kLastUrgency; ++urgency) {
    std::size_t considered = 0;
    const auto fits_request = [&](const QueuedRequest& request) {
      return request.m_priority == PriorityOf(urgency) &&
             ++considered <= kMaxConsidered && fits(request.m_id);
    };
    const auto request = DequeueFitting(queue.m_admission, service, now,
                                        fits_request, queue.m_waiting.size());
    if (!request) continue;
    ChargeActualCost(queue.m_admission, service, request->m_workspace,
                     request->m_cost, request->m_cost);
    queue.m_waiting.erase(request->m_id);
    return request->m_id;
  }
  return std::nullopt;
}

std::map<std::uint32_t, std::size_t> WaitingByUrgency(const EntryQueue& queue) {
  std::map<std::uint32_t, std::size_t> counts;
  for (const auto& [id, entry] : queue.m_waiting) {
    ++counts[entry.m_call.m_urgency];
  }
  return counts;
}

Duration LongestWait(const EntryQueue& queue, Instant now) {
  Duration longest{0};
  for (const auto& [id, entry] : queue.m_waiting) {
    longest = std::max(longest, now - entry.m_call.m_arrived);
  }
  return longest;
}

}  // namespace comfreypaddle
