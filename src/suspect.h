#ifndef COMFREYPADDLE_SUSPECT_H_
#define COMFREYPADDLE_SUSPECT_H_

#include <map>
#include <string>
#include <vector>

#include "record.h"

namespace comfreypaddle {

// How a request with a fingerprint is to be run.
enum class SuspectAction {
  kNormal,
  kIsolate,  // Alone on an endpoint, so that a crash tells whose fault it is.
  kRefuse,
};

template <>
struct EnumNames<SuspectAction> {
  static constexpr std::array<EnumName<SuspectAction>, 3> kTable{
      {{SuspectAction::kNormal, "normal"},
       {SuspectAction::kIsolate, "isolate"},
       {SuspectAction::kRefuse, "refuse"}}};
};

// Time after its last crash for which a fingerprint is remembered.
inline constexpr Duration kSuspectLifetime = std::chrono::hours(1);

// Fingerprints that are remembered; the one with the oldest crash goes first.
inline constexpr std::size_t kMaxSuspects = 20'000;

// Crash of an endpoint while the request ran there.
struct SuspectCrash {
  std::string m_endpoint;
  std::string m_crash_id;
};

// Request content that was running when endpoints crashed. A crash whose id is
// listed already is not added.
struct Suspect {
  std::vector<SuspectCrash> m_crashes;
  Instant m_last_crash{};
};

struct SuspectTable {
  std::map<std::uint64_t, Suspect> m_suspects;  // By fingerprint.
};

// Folds a report of a crash or, if it says so, of a completion. Returns
// whether the table changed.
bool ApplySuspectReport(SuspectTable& table, const SuspectReport& report,
                        Instant now);

// Notes that the request was running when the endpoint crashed. A second
// report of the same crash has no effect.
bool ReportCrash(SuspectTable& table, const SuspectReport& report, Instant now);

// Clears a request that completed at an endpoint other than the one that
// crashed: it was a bystander in the same batch. After two crashes the
// fingerprint stays refused. Returns whether it was cleared.
bool ReportCompletion(SuspectTable& table, std::uint64_t fingerprint,
                      const std::string& endpoint);

// Decides how the request runs: alone after one crash, not at all after two,
// be they of one endpoint that restarted.
SuspectAction ChooseSuspectAction(const SuspectTable& table,
                                  std::uint64_t fingerprint, Instant now);

// Forgets fingerprints whose last crash is older than kSuspectLifetime.
void ExpireSuspects(SuspectTable& table, Instant now);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_SUSPECT_H_
