#ifndef COMFREYPADDLE_INSTANCEWATCH_H_
#define COMFREYPADDLE_INSTANCEWATCH_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "types.h"

namespace comfreypaddle {

// Which of the listed instances live. One that ends without deregistering stays
// in the store's list, where it would be given records that nobody keeps and
// shares of budgets that nobody uses. Two questions are answered apart:
//
// - Whether an instance is worth a call. Each instance decides by its own
// calls;
//   a wrong decision costs a call or a copy.
// - Whether an instance is gone, so that its record is dropped from the list.
//   The reader of its zone decides, by proof that its process has ended. One
//   that only does not answer may be cut off and still serve callers: without
//   its record the others would spend its shares too, so it stays for long.

// What a call to an instance has shown.
enum class PeerSign {
  kAnswered,
  kRefused,  // Its machine answers, but no process listens there.
  kSilent,
};

struct PeerLink {
  Instant m_heard{};  // Last sign of life, or when the instance was listed.
  std::optional<Instant> m_refused_since;  // Each call since was refused.
  std::optional<Instant> m_failing_since;  // No call since was answered.
  std::uint32_t m_failures = 0;            // Consecutive.
  Instant m_retry_at{};
};

// Instance of the list.
struct ListedInstance {
  std::string m_name;
  std::string m_zone;
  std::string m_address;
  std::uint64_t m_incarnation = 0;
  bool m_has_left = false;
};

struct InstanceWatch {
  std::map<std::string, PeerLink, std::less<>> m_links;  // By address.
  // Since when instances that have deregistered are known to have left.
  std::map<std::string, Instant, std::less<>> m_left_since;
};

// Records what a call has shown, or that the instance has called.
void NoteSign(InstanceWatch& watch, const std::string& address, PeerSign sign,
              Instant now);

// Whether the instance is worth a call: its last one was answered, or the time
// to try again has come.
bool IsResponsive(const InstanceWatch& watch, const std::string& address,
                  Instant now);

// Follows the list: forgets what is known of instances that are not in it.
void UpdateListed(InstanceWatch& watch,
                  const std::vector<ListedInstance>& listed, Instant now);

// Addresses of instances that are to be probed: those without a recent sign of
// life in this instance's zone, and in zones that give no sign at all, which
// have no reader of their own. Marks them as being called.
std::vector<std::string> TakeProbeTargets(
    InstanceWatch& watch, const std::vector<ListedInstance>& listed,
    const ListedInstance& self, Instant now);

// Names of the instances of these zones whose records are to be dropped.
std::vector<std::string> FindGone(const InstanceWatch& watch,
                                  const std::vector<ListedInstance>& listed,
                                  const ListedInstance& self, Instant now);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_INSTANCEWATCH_H_
