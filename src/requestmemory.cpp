#include "requestmemory.h"

#include <algorithm>
#include <tuple>

namespace comfreypaddle {

namespace {

constexpr double kBytesPerMb = 1U << 20U;

// Share of a machine's memory that requests may take: the program itself and
// the responses need the rest.
constexpr double kMachineShare = 0.25;

// Requests of the largest size that fit in any case: an open one may stand
// twice in memory, and the reserve for smaller ones stays free.
constexpr std::size_t kMinLargestRequests = 4;

// A request stops growing where this many more of its size would not fit, so
// that smaller ones still do.
constexpr std::size_t kReservedSizes = 8;

// Share of all bytes that is reserved for smaller requests at most, as a
// divisor.
constexpr std::size_t kMaxReserveDivisor = 4;

// Descriptors reserved for other instances, the store and files, as a divisor
// of all, and the least number of them.
constexpr std::size_t kDescriptorReserveDivisor = 8;
constexpr std::size_t kMinDescriptorReserve = 64;

// Lowest rate of a body, bytes a second, beyond the time that each body has.
constexpr std::size_t kMinBodyRate = 1024;

std::size_t ReserveFor(const RequestMemoryLimits& limits, std::size_t bytes) {
  return std::min(limits.m_bytes / kMaxReserveDivisor, kReservedSizes * bytes);
}

}  // namespace

std::size_t RequestBytesOf(double machine_mb, double set_mb,
                           std::size_t largest_request) {
  const double mb = set_mb > 0 ? set_mb : kMachineShare * machine_mb;
  return std::max(static_cast<std::size_t>(mb * kBytesPerMb),
                  kMinLargestRequests * largest_request);
}

std::size_t ConnectionsOf(std::size_t set, std::size_t descriptors) {
  const std::size_t reserve =
      std::max(descriptors / kDescriptorReserveDivisor, kMinDescriptorReserve);
  // Each open request needs a connection to an endpoint as well.
  const std::size_t left =
      descriptors > reserve + 1 ? (descriptors - reserve) / 2 : 1;
  return std::min(set, left);
}

void UpdateHeld(RequestMemory& memory, std::size_t before, std::size_t after) {
  memory.m_held_bytes += after - before;
  memory.m_peak_bytes = std::max(memory.m_peak_bytes, memory.m_held_bytes);
}

bool IsMemoryExceeded(const RequestMemory& memory, std::size_t bytes) {
  const RequestMemoryLimits& limits = memory.m_limits;
  return memory.m_held_bytes > limits.m_bytes - ReserveFor(limits, bytes);
}

std::uint64_t ChooseForMemory(const std::vector<RequestHolder>& holders) {
  std::size_t most = 0;
  for (const RequestHolder& holder : holders) {
    if (!holder.m_runs) most = std::max(most, holder.m_bytes);
  }
  const RequestHolder* chosen = nullptr;
  for (const RequestHolder& holder : holders) {
    if (holder.m_runs || 2 * holder.m_bytes < most) continue;
    if (chosen == nullptr || holder.m_waits > chosen->m_waits) {
      chosen = &holder;
    }
  }
  return chosen == nullptr ? 0 : chosen->m_connection;
}

std::uint64_t ChooseForConnection(const std::vector<RequestHolder>& holders) {
  const RequestHolder* chosen = nullptr;
  for (const RequestHolder& holder : holders) {
    if (holder.m_runs) continue;
    if (chosen == nullptr || std::tie(holder.m_is_new, holder.m_waits) >
                                 std::tie(chosen->m_is_new, chosen->m_waits)) {
      chosen = &holder;
    }
  }
  return chosen == nullptr ? 0 : chosen->m_connection;
}

Duration BodyTime(Duration base, std::size_t bytes) {
  return base + std::chrono::seconds(bytes / kMinBodyRate);
}

}  // namespace comfreypaddle
