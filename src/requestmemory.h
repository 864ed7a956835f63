#ifndef COMFREYPADDLE_REQUESTMEMORY_H_
#define COMFREYPADDLE_REQUESTMEMORY_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "types.h"

namespace comfreypaddle {

// Bounds the memory and the descriptors that the connections of all callers of
// a listener take together. Callers may send what is within the limit of a
// single request, and may do so on any number of connections.

// Bounds of one listener.
struct RequestMemoryLimits {
  std::size_t m_bytes = 32U << 20U;
  // Connections as set; at most what leaves a reserve of descriptors.
  std::size_t m_connections = 1024;
  // Copies of a body while its request is open: one that all attempts share,
  // more where the owner parses it.
  std::size_t m_body_copies = 1;
};

// Why a caller was turned away.
enum class TurnedAway {
  kMemory,       // The connections together held too much.
  kConnections,  // There were too many connections.
  kDescriptors,  // The process had no descriptor left.
  kSlowBody,     // The body of the request arrived too slowly.
};

template <>
struct EnumNames<TurnedAway> {
  static constexpr std::array<EnumName<TurnedAway>, 4> kTable{
      {{TurnedAway::kMemory, "memory"},
       {TurnedAway::kConnections, "connections"},
       {TurnedAway::kDescriptors, "descriptors"},
       {TurnedAway::kSlowBody, "slow_body"}}};
};

// Memory that the requests of a listener take, and what was turned away.
struct RequestMemory {
  RequestMemoryLimits m_limits;
  // Connections that the descriptor limit allows now.
  std::size_t m_connection_limit = 1024;
  std::size_t m_held_bytes = 0;
  std::size_t m_peak_bytes = 0;
  std::map<TurnedAway, std::uint64_t> m_turned_away;
};

// What a connection holds and has brought forward.
struct RequestHolder {
  std::uint64_t m_connection = 0;
  bool m_runs = false;  // Its request was passed on and is not answered.
  // Had time to bring a request, and none has arrived in full.
  bool m_is_new = false;
  std::size_t m_bytes = 0;
  // Time since its caller last read a part of its response; if that is sent,
  // since its request began to arrive; if none has, since it was opened or its
  // last request ended.
  Duration m_waits{0};
};

// Returns the bytes that requests may take on a machine with this memory. A
// request of the largest size always fits. `set_mb` overrides the share of the
// machine's memory unless it is zero.
std::size_t RequestBytesOf(double machine_mb, double set_mb,
                           std::size_t largest_request);

// Returns the number of connections that callers may open: as set, and at most
// what leaves a reserve of the process's descriptors for endpoints, other
// instances and the store.
std::size_t ConnectionsOf(std::size_t set, std::size_t descriptors);

// Changes the held bytes by those of one connection.
void UpdateHeld(RequestMemory& memory, std::size_t before, std::size_t after);

// Whether the connections together hold too much for one with these bytes to
// go on. Large requests stop earlier, so that room for small ones is left.
bool IsMemoryExceeded(const RequestMemory& memory, std::size_t bytes);

// Returns the connection to turn away to free memory, or zero if all of them
// run: of those that hold the most the one that has waited longest.
std::uint64_t ChooseForMemory(const std::vector<RequestHolder>& holders);

// Returns the connection to close in favour of a new one, or zero if all of
// them run. Connections that never brought a request go first.
std::uint64_t ChooseForConnection(const std::vector<RequestHolder>& holders);

// Time in which a body must have arrived of which these bytes have.
Duration BodyTime(Duration base, std::size_t bytes);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_REQUESTMEMORY_H_
