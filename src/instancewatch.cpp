#include "instancewatch.h"

#include <algorithm>
#include <set>

namespace comfreypaddle {

namespace {

// Delay before an instance that did not answer is called again, doubled with
// each further failure. A refused call costs next to nothing, so that one whose
// calls are refused is called at the first interval.
constexpr Duration kInitialBackoff = std::chrono::seconds(1);
constexpr std::uint32_t kMaxDoublings = 4;

// Time without a sign of life after which an instance is probed.
constexpr Duration kProbeAfter = std::chrono::seconds(2);

// Time without a sign of life from any of its instances after which a zone has
// no reader of its own.
constexpr Duration kZoneSilence = std::chrono::seconds(5);

// Time for which calls to an instance are refused until it is gone: longer than
// a process that has ended takes to start again.
constexpr Duration kRefusedTime = std::chrono::seconds(5);

// Time after which an instance that does not answer is gone: longer than usual
// partitions.
constexpr Duration kSilentTime = std::chrono::minutes(10);

// Time for which the record of an instance that has deregistered is kept, so
// that all have read it.
constexpr Duration kLeftRetention = std::chrono::minutes(1);

const PeerLink* FindLink(const InstanceWatch& watch,
                         const std::string& address) {
  const auto found = watch.m_links.find(address);
  return found == watch.m_links.end() ? nullptr : &found->second;
}

Duration BackoffOf(const PeerLink& link) {
  if (link.m_refused_since) return kInitialBackoff;
  return kInitialBackoff * (1U << std::min(link.m_failures, kMaxDoublings));
}

// Zones that give a sign of life.
std::set<std::string> AttendedZones(const InstanceWatch& watch,
                                    const std::vector<ListedInstance>& listed,
                                    Instant now) {
  std::set<std::string> zones;
  for (const ListedInstance& instance : listed) {
    const PeerLink* link = FindLink(watch, instance.m_address);
    if (link != nullptr && now - link->m_heard < kZoneSilence) {
      zones.insert(instance.m_zone);
    }
  }
  return zones;
}

// Instances that this one watches.
std::vector<const ListedInstance*> Watched(
    const InstanceWatch& watch, const std::vector<ListedInstance>& listed,
    const ListedInstance& self, Instant now) {
  const std::set<std::string> attended = AttendedZones(watch, listed, now);
  std::vector<const ListedInstance*> watched;
  for (const ListedInstance& instance : listed) {
    const bool is_own_zone = instance.m_zone == self.m_zone;
    if (instance.m_name == self.m_name) continue;
    if (is_own_zone || attended.count(instance.m_zone) == 0) {
      watched.push_back(&instance);
    }
  }
  return watched;
}

// Whether a later instance has the address.
bool HasSuccessor(const std::vector<ListedInstance>& listed,
                  const ListedInstance& instance) {
  return std::any_of(listed.begin(), listed.end(),
                     [&instance](const ListedInstance& other) {
                       return other.m_address == instance.m_address &&
                              other.m_incarnation > instance.m_incarnation;
                     });
}

bool IsGone(const InstanceWatch& watch, const ListedInstance& instance,
            Instant now) {
  if (instance.m_has_left) {
    const auto since = watch.m_left_since.find(instance.m_name);
    return since != watch.m_left_since.end() &&
           now - since->second >= kLeftRetention;
  }
  const PeerLink* link = FindLink(watch, instance.m_address);
  if (link == nullptr) return false;
  const bool is_refused =
      link->m_refused_since && now - *link->m_refused_since >= kRefusedTime;
  const bool is_silent =
      link->m_failing_since && now - *link->m_failing_since >= kSilentTime;
  return is_refused || is_silent;
}

}  // namespace

void NoteSign(InstanceWatch& watch, const std::string& address, PeerSign sign,
              Instant now) {
  PeerLink& link = watch.m_links[address];
  if (sign == PeerSign::kAnswered) {
    link = PeerLink{.m_heard = now};
    return;
  }
  if (link.m_heard == Instant{}) link.m_heard = now;
  if (!link.m_failing_since) link.m_failing_since = now;
  if (sign == PeerSign::kSilent) {
    link.m_refused_since.reset();
  } else if (!link.m_refused_since) {
    link.m_refused_since = now;
  }
  link.m_retry_at = now + BackoffOf(link);
  ++link.m_failures;
}

bool IsResponsive(const InstanceWatch& watch, const std::string& address,
                  Instant now) {
  const PeerLink* link = FindLink(watch, address);
  return link == nullptr || link->m_failures == 0 || now >= link->m_retry_at;
}

void UpdateListed(InstanceWatch& watch,
                  const std::vector<ListedInstance>& listed, Instant now) {
  std::set<std::string> addresses;
  std::set<std::string> left;
  for (const ListedInstance& instance : listed) {
    addresses.insert(instance.m_address);
    PeerLink& link = watch.m_links[instance.m_address];
    if (link.m_heard == Instant{}) link.m_heard = now;
    if (!instance.m_has_left) continue;
    left.insert(instance.m_name);
    watch.m_left_since.emplace(instance.m_name, now);
  }
  std::erase_if(watch.m_links, [&addresses](const auto& entry) {
    return addresses.count(entry.first) == 0;
  });
  std::erase_if(watch.m_left_since, [&left](const auto& entry) {
    return left.count(entry.first) == 0;
  });
}

std::vector<std::string> TakeProbeTargets(
    InstanceWatch& watch, const std::vector<ListedInstance>& listed,
    const ListedInstance& self, Instant now) {
  std::vector<std::string> targets;
  for (const ListedInstance* instance : Watched(watch, listed, self, now)) {
    PeerLink& link = watch.m_links[instance->m_address];
    const bool is_due =
        now - link.m_heard >= kProbeAfter && now >= link.m_retry_at;
    if (instance->m_has_left || !is_due) continue;
    link.m_retry_at = now + kInitialBackoff;
    targets.push_back(instance->m_address);
  }
  return targets;
}

std::vector<std::string> FindGone(const InstanceWatch& watch,
                                  const std::vector<ListedInstance>& listed,
                                  const ListedInstance& self, Instant now) {
  std::vector<std::string> gone;
  for (const ListedInstance* instance : Watched(watch, listed, self, now)) {
    if (IsGone(watch, *instance, now) || HasSuccessor(listed, *instance)) {
      gone.push_back(instance->m_name);
    }
  }
  return gone;
}

}  // namespace comfreypaddle
