#ifndef COMFREYPADDLE_LIFETIME_H_
#define COMFREYPADDLE_LIFETIME_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "streamversions.h"
#include "types.h"

namespace comfreypaddle {

// Which lifetime of an endpoint began a stream, and so at which version. An
// endpoint may start again under its id and address with other software, and
// the list of endpoints shows that seconds later, or after an outage of the
// store. The version of a list entry therefore counts for a stream only once
// the endpoint itself has named the entry's lifetime after the connection of
// the stream was established: lifetimes follow each other, and a connection
// belongs to one of them. Nor do two entries of one version vouch for what was
// between them: a new version may have been withdrawn at once.

// What an endpoint has said of itself: a lifetime that lived all this time.
struct LifetimeSighting {
  std::uint64_t m_born_ms = 0;  // Its start, Unix time.
  Instant m_first_seen{};
  Instant m_last_seen{};
};

// The newest sighting of each endpoint, by its id.
struct LifetimeTable {
  std::map<std::string, LifetimeSighting, std::less<>> m_sightings;
};

// Records that the endpoint has named a lifetime, over a connection that was
// established at the first time, and asked at the last one.
void NoteLifetime(LifetimeTable& table, const std::string& endpoint,
                  const LifetimeSighting& sighting);

// Forgets the sightings of endpoints that are not listed and that no stream can
// depend on any more.
void ForgetLifetimes(
    LifetimeTable& table,
    const std::function<bool(const std::string& endpoint)>& is_listed,
    Instant now);

// Whether the endpoint has named a lifetime at this time or later.
bool IsSeenSince(const LifetimeTable& table, const std::string& endpoint,
                 Instant since);

// Lifetime that the list of endpoints names.
struct ListedLifetime {
  std::uint64_t m_born_ms = 0;
  std::string m_version;
};

// The lifetime that began a stream.
struct LifetimeVerdict {
  std::uint64_t m_born_ms = 0;  // Its start, or the best guess.
  StreamVersion m_version;
};

// Whether the version of the stream is known.
bool IsVersionKnown(const LifetimeVerdict& verdict);

// Judges which lifetime began a stream. `listed` is what the list names now, if
// it names the endpoint. An endpoint that names no start (zero) is taken for
// the listed lifetime. Starts are compared with each other only, and with no
// clock of this machine, as clocks may step.
LifetimeVerdict JudgeLifetime(const LifetimeTable& table,
                              const BegunStream& stream,
                              const std::optional<ListedLifetime>& listed);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_LIFETIME_H_
