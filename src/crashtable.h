#ifndef COMFREYPADDLE_CRASHTABLE_H_
#define COMFREYPADDLE_CRASHTABLE_H_

#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

#include "types.h"

namespace comfreypaddle {

// Crashes of endpoints and what they are blamed on. Each instance keeps such a
// table; a request whose content has crashed several endpoints is refused.

// What a crash may be blamed on.
enum class SuspectKind {
  kRequest,     // Requests with the same caller, target and body.
  kPromptPart,  // Requests that share this part of their prompt.
};

template <>
struct EnumNames<SuspectKind> {
  static constexpr std::array<EnumName<SuspectKind>, 2> kTable{
      {{SuspectKind::kRequest, "request"},
       {SuspectKind::kPromptPart, "prompt_part"}}};
};

struct SuspectKey {
  SuspectKind m_kind = SuspectKind::kRequest;
  std::uint64_t m_hash = 0;

  bool operator<(const SuspectKey& other) const {
    return std::tie(m_kind, m_hash) < std::tie(other.m_kind, other.m_hash);
  }
};

// Crash of one lifetime of an endpoint.
struct CrashRecord {
  std::uint64_t m_id = 0;  // From CrashId.
  Instant m_at{};
  // A request with the suspect got past the start of its response after this
  // crash was known: the suspect did not cause it.
  bool m_cleared = false;
  // The process of the endpoint ended, and the suspect was at each crash of
  // that moment. A confirmed crash counts by itself.
  bool m_confirmed = false;
};

// A crash, and a suspect that it is blamed on or that was cleared of it.
struct CrashEntry {
  SuspectKey m_key;
  CrashRecord m_crash;
};

// Limits of the table. Callers can add a suspect with each part of the prompts
// that they have on a crashing endpoint. The longest prompts that a head of 16
// KB can name have some 2,700 parts: the rows are enough for several crashes
// with such prompts, so that a part that crashes endpoints is still there at
// the next crash.
inline constexpr std::size_t kMaxSuspectRows = 16384;
inline constexpr std::size_t kMaxCrashesPerSuspect = 16;

// Time after which a crash is forgotten.
inline constexpr Duration kCrashRetention = std::chrono::minutes(10);

struct SuspectRow {
  std::vector<CrashRecord> m_crashes;  // Each crash id is listed once.
  Instant m_probe_ends{};  // Of the last probe of this instance; not shared.
};

struct CrashTable {
  std::map<SuspectKey, SuspectRow> m_rows;
  Instant m_expired{};  // When old crashes were forgotten last.
};

// Id of the crash that ended this lifetime of the endpoint.
std::uint64_t CrashId(const std::string& endpoint, std::uint64_t born_ms);

// Time of the newest crash of the suspect.
Instant NewestCrash(const SuspectRow& row);

// Records the crash. Returns whether it was added. In a full table it takes the
// place of the suspects with the fewest crashes, or of the oldest of these; in
// a full row that of a cleared crash.
bool AddCrash(CrashTable& table, const SuspectKey& key,
              const CrashRecord& crash);

// Merges what another instance knows: a crash that is new, or that the suspect
// was cleared of a known one, or that a known one is confirmed. Instances that
// have merged the same crashes agree whatever the order. Returns whether
// anything changed.
bool MergeCrash(CrashTable& table, const CrashEntry& other);

// Crashes blamed on the suspect.
std::vector<CrashRecord> BlamedCrashes(const CrashTable& table,
                                       const SuspectKey& key);

// All crashes of the table, those of the suspects with the most blamed ones
// first, and of these the newest.
std::vector<CrashEntry> ListCrashes(const CrashTable& table);

// Of the prompt parts, those for which it matters whether the endpoint's
// process ended in this crash: the crash is blamed on the part and counts as
// one with others, and the part was at each crash of that moment. If the part
// was not at all of them, something else ended at least the others, and the
// crash stays one with them.
std::vector<SuspectKey> FindConfirmable(const CrashTable& table,
                                        const CrashRecord& crash,
                                        const std::vector<SuspectKey>& parts);

// Marks the crash with this id, if it is blamed on the suspect, as confirmed.
// Returns whether it was not before.
bool ConfirmCrash(CrashTable& table, const SuspectKey& key, std::uint64_t id);

// Hash of the crashes and of whether they are cleared or confirmed. Tables that
// agree have the same digest.
std::uint64_t DigestOf(const CrashTable& table);

// Forgets crashes older than kCrashRetention.
void ExpireCrashes(CrashTable& table, Instant now);

// Clears the suspect of all crashes known so far. Returns whether there were
// any.
bool ClearSuspect(CrashTable& table, const SuspectKey& key);

// Number of crashes blamed on the suspect.
std::size_t CountCrashes(const CrashTable& table, const SuspectKey& key);

// Whether the suspect is held to crash endpoints. A prompt part must have been
// at several crashes that are confirmed or some time apart: one incident that
// ends many connections at once, as when a link fails, says nothing of the
// parts that happened to be on them.
bool IsQuarantined(const CrashTable& table, const SuspectKey& key, Instant now);

// A quarantined prompt part is tried again with one request at a time, ever
// more rarely, so that a wrong decision ends and a right one costs few
// endpoints. Each part is tried by one instance, chosen by its hash among those
// in the list.
struct ProbeShare {
  std::uint32_t m_instances = 0;  // Zero: not known yet.
  std::uint32_t m_position = 0;   // Of this instance in the list.
};

// How a request with these suspects is handled.
enum class SuspectDecision {
  kSound,  // It runs.
  kProbe,  // It runs to try a quarantined prompt part again.
  kRefused,
};

template <>
struct EnumNames<SuspectDecision> {
  static constexpr std::array<EnumName<SuspectDecision>, 3> kTable{
      {{SuspectDecision::kSound, "sound"},
       {SuspectDecision::kProbe, "probe"},
       {SuspectDecision::kRefused, "refused"}}};
};

// Decides on a request. It is a probe only if all that quarantines it is due:
// otherwise a crash would be no evidence.
SuspectDecision CheckSuspects(const CrashTable& table,
                              const std::vector<SuspectKey>& keys,
                              const ProbeShare& share, Instant now);

// Records that a request with these suspects runs as a probe.
void BeginProbe(CrashTable& table, const std::vector<SuspectKey>& keys,
                Instant now);

// When a refused request may be worth sending again.
Instant NextProbe(const CrashTable& table, const std::vector<SuspectKey>& keys,
                  Instant now);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_CRASHTABLE_H_
