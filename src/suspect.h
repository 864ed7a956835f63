#ifndef COMFREYPADDLE_SUSPECT_H_
#define COMFREYPADDLE_SUSPECT_H_

#include <map>
#include <string>
#include <vector>

#include "record.h"

namespace comfreypaddle {

// How to run a request, given the crashes recorded for its fingerprint.
enum class SuspectAction {
  kNormal,
  kIsolate,  // Alone on an endpoint, so that a crash can be attributed.
  kRefuse,
};

template <>
struct EnumNames<SuspectAction> {
  static constexpr std::array<EnumName<SuspectAction>, 3> kTable{
      {{SuspectAction::kNormal, "normal"},
       {SuspectAction::kIsolate, "isolate"},
       {SuspectAction::kRefuse, "refuse"}}};
};

// Retention time of a fingerprint after its last crash.
inline constexpr Duration kSuspectLifetime = std::chrono::hours(1);

// Maximum number of fingerprints; the one with the oldest crash is evicted.
inline constexpr std::size_t kMaxSuspects = 20'000;

// Crash of an endpoint while the request ran there.
struct SuspectCrash {
  std::string m_endpoint;
  std::string m_crash_id;
};

// Crashes of endpoints that ran a request with this content. Each crash id is
// listed once.
struct Suspect {
  std::vector<SuspectCrash> m_crashes;
  Instant m_last_crash{};
};

struct SuspectTable {
  std::map<std::uint64_t, Suspect> m_suspects;  // By fingerprint.
};

// Applies a report of a crash or, if m_cleared is set, of a completion. Returns
// whether the table changed.
bool ApplySuspectReport(SuspectTable& table, const SuspectReport& report,
                        Instant now);

// Records that the request was running when the endpoint crashed. A crash that
// was reported before is not counted again. Returns whether it was added.
bool ReportCrash(SuspectTable& table, const SuspectReport& report, Instant now);

// Clears a request that completed at an endpoint other than the one that
// crashed: it was only in the same batch as the cause. After two crashes the
// fingerprint stays refused. Returns whether it was cleared.
bool ReportCompletion(SuspectTable& table, std::uint64_t fingerprint,
                      const std::string& endpoint);

// Decides how to run the request: isolated after one crash, refused after two,
// even if both are of one endpoint that restarted.
SuspectAction ChooseSuspectAction(const SuspectTable& table,
                                  std::uint64_t fingerprint, Instant now);

// Deletes fingerprints whose last crash is older than kSuspectLifetime.
void ExpireSuspects(SuspectTable& table, Instant now);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_SUSPECT_H_
