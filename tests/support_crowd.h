#ifndef COMFREYPADDLE_TESTS_SUPPORT_CROWD_H_
#define COMFREYPADDLE_TESTS_SUPPORT_CROWD_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "support_platform.h"

namespace comfreypaddle::testing {

// Body limit of the entry instances of these tests, bytes. It is the default of
// a configuration that sets none.
inline constexpr std::size_t kBodyLimit = 4U << 20U;

// Bounds of the instance under test: the memory of the smallest machines, and
// of the descriptors that it may open all but a reserve.
inline constexpr double kMaxMemoryMb = 120;
inline constexpr std::size_t kDescriptorLimit = 256;
inline constexpr std::size_t kMaxDescriptors = kDescriptorLimit - 32;

// Time for which a crowd sends and connects again, and between two rounds.
inline constexpr Duration kCrowdTime = std::chrono::seconds(4);
inline constexpr Duration kCrowdRoundTime = std::chrono::milliseconds(10);

// What each connection of a crowd sends.
struct CrowdKind {
  std::string m_name;
  std::size_t m_connections = 60;
  std::string m_prefix;
  std::string m_repeated;            // Sent after the prefix.
  std::size_t m_repeated_bytes = 0;  // In total.
  std::size_t m_bytes_at_once = 1U << 18U;
  bool m_reads = true;
  bool m_stopped_endpoint = false;  // The only endpoint reads nothing.
};

// Connections of callers that the operators do not control. The kind must
// outlive the crowd.
class Crowd {
 public:
  Crowd(const CrowdKind& kind, std::uint16_t port);
  ~Crowd();
  Crowd(const Crowd&) = delete;
  Crowd& operator=(const Crowd&) = delete;

  // Sends and reads what is possible now on each connection, and connects again
  // where the instance has closed it.
  void Press();

 private:
  class Member;

  std::vector<std::unique_ptr<Member>> m_members;
};

// Endpoint that lets callers connect and reads nothing.
class StoppedEndpoint {
 public:
  StoppedEndpoint();
  ~StoppedEndpoint();
  StoppedEndpoint(const StoppedEndpoint&) = delete;
  StoppedEndpoint& operator=(const StoppedEndpoint&) = delete;

  std::uint16_t Port() const { return m_port; }

 private:
  std::uint16_t m_port;
  int m_listener;
};

// Returns a head of a POST request with these further field lines.
std::string PostHead(const std::string& fields);

// Lets a crowd press on one instance, and checks that the instance lives and
// stays within its bounds, that an ordinary request is answered afterwards
// while the crowd is still connected, and that a single request at the limit is
// served in calm.
void CheckCrowd(const CrowdKind& kind);

}  // namespace comfreypaddle::testing

#endif  // COMFREYPADDLE_TESTS_SUPPORT_CROWD_H_
