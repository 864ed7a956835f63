#ifndef COMFREYPADDLE_STREAMVERSIONS_H_
#define COMFREYPADDLE_STREAMVERSIONS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "types.h"

namespace comfreypaddle {

// At which software version a stream began. A stream goes on only at endpoints
// of that version, also when its caller takes it up at another instance because
// the first one was killed. Each begun stream is therefore recorded at a few
// instances that follow from the id of the attempt, so that any instance knows
// whom to ask: also while all endpoints have one version, as those of a second
// one may be listed before the stream is taken up.

// Longest time after its begin in which a caller takes a stream up.
inline constexpr Duration kResumeWindow = std::chrono::seconds(30);

// What is known of the version at which a stream began. A later one of these
// is more certain, but for the last two, after which nothing more can become
// known.
enum class VersionCertainty {
  kUnproven,  // As listed; the endpoint may have begun another lifetime.
  kUnlisted,  // Of a known lifetime that the list has not shown yet.
  kProven,
  kEither,  // Of one of several lifetimes, not all known to have the same.
};

template <>
struct EnumNames<VersionCertainty> {
  static constexpr std::array<EnumName<VersionCertainty>, 4> kTable{
      {{VersionCertainty::kUnproven, "unproven"},
       {VersionCertainty::kUnlisted, "unlisted"},
       {VersionCertainty::kProven, "proven"},
       {VersionCertainty::kEither, "either"}}};
};

// Version at which a stream began.
struct StreamVersion {
  std::string m_name;  // Empty if unlisted or either: no endpoint has it.
  VersionCertainty m_certainty = VersionCertainty::kUnproven;

  friend bool operator==(const StreamVersion&, const StreamVersion&) = default;
};

// Whether the version has a name, proven or not.
bool HasName(const StreamVersion& version);

// Whether nothing more can become known of the version.
bool IsSettled(const StreamVersion& version);

// Whether both stand for the same version, however certain that is.
bool IsSameVersion(const StreamVersion& a, const StreamVersion& b);

// The version in log lines.
std::string TextOf(const StreamVersion& version);

// Versions of the endpoints of a service, and when they were listed last.
struct VersionSpan {
  bool m_is_listed = false;
  Instant m_last_listed{};  // Of one that is not listed any more.
};

struct VersionHistory {
  std::map<std::string, std::map<std::string, VersionSpan>> m_services;
};

// Service and version of an endpoint.
using ServiceVersion = std::pair<std::string, std::string>;

// Replaces the listed versions. Returns the services that have become mixed.
std::vector<std::string> UpdateVersions(VersionHistory& history,
                                        const std::set<ServiceVersion>& listed,
                                        Instant now);

// Version of endpoints that were listed lately, as known by another instance.
struct SeenVersion {
  std::string m_service;
  std::string m_version;
  Instant m_last_listed{};
};

// The versions that were listed within kResumeWindow.
std::vector<SeenVersion> RecentVersions(const VersionHistory& history,
                                        Instant now);

// Those of them that are not listed any more.
std::vector<SeenVersion> PassedVersions(const VersionHistory& history,
                                        Instant now);

// Adds a version that was listed at some time, as seen by this or another
// instance.
void AddSeenVersion(VersionHistory& history, const SeenVersion& seen);

// Whether endpoints of several versions have been listed within kResumeWindow.
bool IsMixed(const VersionHistory& history, const std::string& service,
             Instant now);

// The version of all endpoints that are listed; nothing if they have several,
// or if there are none.
std::optional<std::string> OnlyVersion(const VersionHistory& history,
                                       const std::string& service);

// Where a stream began: the endpoint to which its request was sent, and the
// lifetime of the endpoint that was listed then.
struct StreamOrigin {
  std::string m_endpoint;       // Empty in records of earlier releases.
  std::uint64_t m_born_ms = 0;  // Start of the lifetime, Unix time.
  // When the connection of the request was established. Known to the instance
  // that sent it only.
  std::optional<Instant> m_connected;
  // A lifetime that lives then is not one before that of the stream: when the
  // connection was established, or later.
  Instant m_since{};
};

struct BegunStream {
  std::string m_service;
  StreamVersion m_version;
  Instant m_ends{};             // When its caller no longer takes it up.
  bool m_is_corrected = false;  // Replaces an earlier record of the version.
  StreamOrigin m_origin;
};

// Whether the version of one stream is more certain than that of the other. A
// record does not replace one that is more certain.
bool IsMoreCertain(const BegunStream& stream, const BegunStream& other);

// Begun streams by the hash of the id of the attempt that began them.
struct StreamTable {
  std::unordered_map<std::uint64_t, BegunStream> m_streams;
  Instant m_swept{};  // When expired streams were removed last.
};

// Records a stream, or what has become known of it. Records may arrive in any
// order. Returns false if the table is full.
bool AddStream(StreamTable& table, std::uint64_t attempt,
               const BegunStream& stream, Instant now);

// Returns the stream that the attempt began, or null if it is not known.
const BegunStream* FindStream(const StreamTable& table, std::uint64_t attempt,
                              const std::string& service, Instant now);

// Instance that may hold records of streams.
struct RecordHolder {
  std::uint64_t m_hash = 0;  // Of its name.
  std::string m_zone;
};

// Instances that hold the record of a stream. The one that began it is often
// killed, and others with it.
inline constexpr std::size_t kRecordHolders = 3;

// Instances that are asked for a record: more than hold it, because those that
// have started since it was sent may have taken the place of its holders.
inline constexpr std::size_t kAskedInstances = 2 * kRecordHolders;

// Chooses the instances that hold the record of a stream, by rendezvous hashing
// and in as many availability zones as possible. Returns their indices.
std::vector<std::size_t> ChooseHolders(
    const std::vector<RecordHolder>& instances, std::uint64_t attempt,
    std::size_t count = kRecordHolders);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_STREAMVERSIONS_H_
