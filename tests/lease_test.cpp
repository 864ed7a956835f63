#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "lease.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <deque>
#include <optional>
#include <random>

#include "support_history.h"

namespace comfreypaddle {
namespace {

using std::chrono::milliseconds;
using testing::LeaseInterval;

constexpr std::string_view kDuty = "usage";
constexpr Duration kStep = milliseconds(10);

// The send margin covers orders in flight. Without it and without rank waits,
// only the drift allowance keeps two holders apart.
constexpr LeaseOptions kOptions{milliseconds(2000), Duration(0), Duration(0)};

LeaseClaim Claim(const std::string& holder, Position supersedes) {
  return {std::string(kDuty), holder, supersedes, milliseconds(1000), false};
}

TEST_CASE("the first claim that supersedes the current position wins") {
  LeaseTable table;
  const Writer a{"a", 1};
  const Writer b{"b", 1};
  CHECK(ApplyLeaseClaim(table, a, Claim("a", 0), 10, {}) == Verdict::kGranted);
  CHECK(ApplyLeaseClaim(table, b, Claim("b", 0), 11, {}) ==
        Verdict::kHeldByOther);
  CHECK(ApplyLeaseClaim(table, b, Claim("a", 10), 12, {}) == Verdict::kInvalid);
  CHECK(ApplyLeaseClaim(table, a, Claim("a", 10), 13, {}) == Verdict::kGranted);
  CHECK(FindLease(table, kDuty)->m_fencing_number == 10);
  CHECK(ApplyLeaseClaim(table, b, Claim("b", 13), 14, {}) == Verdict::kGranted);
  CHECK(HoldsLease(table, kDuty, b, 14));
  CHECK_FALSE(HoldsLease(table, kDuty, a, 10));
}

// Guards against a restarted process that uses its predecessor's fencing
// number.
TEST_CASE("a restarted holder gets a new fencing number") {
  LeaseTable table;
  ApplyLeaseClaim(table, {"a", 1}, Claim("a", 0), 10, {});
  ApplyLeaseClaim(table, {"a", 2}, Claim("a", 10), 11, {});
  CHECK(FindLease(table, kDuty)->m_fencing_number == 11);
}

TEST_CASE("a released lease has no holder and can be claimed at once") {
  LeaseTable table;
  const Writer a{"a", 1};
  ApplyLeaseClaim(table, a, Claim("a", 0), 10, {});
  const LeaseClaim release = MakeRelease(*FindLease(table, kDuty), kDuty);
  CHECK(ApplyLeaseClaim(table, {"b", 1}, release, 11, {}) == Verdict::kInvalid);
  CHECK(ApplyLeaseClaim(table, a, release, 12, {}) == Verdict::kGranted);
  const Lease& lease = *FindLease(table, kDuty);
  CHECK_FALSE(HoldsLease(table, kDuty, a, 10));
  CHECK_FALSE(MayAct(lease, a, {}, kOptions, {}));
  CHECK(NextClaimAt(&lease, {"b", 1}, {}, {}, 0, kOptions) == Instant{});
}

TEST_CASE("ranks of a duty are distinct and differ between duties") {
  const std::vector<std::string> members{"a", "b", "c", "d", "e"};
  std::set<std::size_t> ranks;
  std::set<std::string> first;
  for (const std::string& member : members) {
    ranks.insert(RankOf(kDuty, member, members));
    for (int fleet = 0; fleet < 20; ++fleet) {
      const std::string duty = OrdersDuty("f" + std::to_string(fleet));
      if (RankOf(duty, member, members) == 0) first.insert(member);
    }
  }
  CHECK(ranks == std::set<std::size_t>{0, 1, 2, 3, 4});
  CHECK(first.size() > 2);
}

// Simulated process. Its clock runs at its own rate.
struct Process {
  Writer m_self;
  double m_rate = 1.0;
  LeaseTable m_table;
  std::size_t m_next_entry = 0;
  Instant m_paused_until{};
  // Local time at which the claim was sent.
  std::optional<Instant> m_pending_since;
  Instant m_claimed_at{};
  Instant m_give_up_at{};

  Instant Local(Instant real) const {
    return Instant(Duration(static_cast<std::int64_t>(
        static_cast<double>(real.time_since_epoch().count()) * m_rate)));
  }
};

struct Entry {
  Instant m_stored_at;
  Writer m_writer;
  LeaseClaim m_claim;
};

// Simulation of the log and the processes, with random delays and pauses.
struct Simulation {
  explicit Simulation(std::uint32_t seed) : m_random(seed) {
    for (int i = 0; i < 3; ++i) {
      Process process;
      process.m_self = {std::string(1, static_cast<char>('a' + i)), 1};
      process.m_rate = std::uniform_real_distribution<>(0.98, 1.02)(m_random);
      m_processes.push_back(process);
    }
  }

  int RandomBelow(int below) {
    return std::uniform_int_distribution<>(0, below - 1)(m_random);
  }

  void Run(Duration length) {
    for (; m_now < Instant(length); m_now += kStep) {
      StoreClaims();
      for (Process& process : m_processes) RunProcess(process);
    }
  }

  void StoreClaims() {
    std::erase_if(m_in_flight, [this](const Entry& entry) {
      if (entry.m_stored_at > m_now) return false;
      m_log.push_back(entry);
      return true;
    });
  }

  void RunProcess(Process& process) {
    if (process.m_paused_until > m_now) return;
    if (RandomBelow(400) == 0) {
      process.m_paused_until = m_now + milliseconds(RandomBelow(3000));
      return;
    }
    // A process that resumes checks its lease against the clock before it reads
    // the log or acts.
    NoteIfHolder(process);
    if (RandomBelow(2) == 0) ReadLog(process);
    SendClaim(process);
  }

  void NoteIfHolder(const Process& process) {
    const Lease* lease = FindLease(process.m_table, kDuty);
    if (lease == nullptr ||
        !MayAct(*lease, process.m_self, process.m_claimed_at, kOptions,
                process.Local(m_now))) {
      return;
    }
    m_held.push_back({process.m_self, std::string(kDuty),
                      lease->m_fencing_number, m_now, m_now + Duration(1)});
  }

  void ReadLog(Process& process) {
    for (; process.m_next_entry < m_log.size(); ++process.m_next_entry) {
      const Entry& entry = m_log[process.m_next_entry];
      const Verdict verdict =
          ApplyLeaseClaim(process.m_table, entry.m_writer, entry.m_claim,
                          process.m_next_entry + 1, process.Local(m_now));
      if (!(entry.m_writer == process.m_self) || !process.m_pending_since) {
        continue;
      }
      if (verdict == Verdict::kGranted) {
        process.m_claimed_at = *process.m_pending_since;
      }
      process.m_pending_since.reset();
    }
  }

  void SendClaim(Process& process) {
    const Instant local = process.Local(m_now);
    const Lease* lease = FindLease(process.m_table, kDuty);
    const std::size_t rank = RankOf(kDuty, process.m_self.m_name, {"a", "b"});
    if (process.m_pending_since ||
        local < NextClaimAt(lease, process.m_self, process.m_claimed_at, {},
                            rank, kOptions)) {
      return;
    }
    process.m_pending_since = local;
    const Duration delay =
        milliseconds(RandomBelow(3) == 0 ? RandomBelow(4000) : RandomBelow(10));
    m_in_flight.push_back({m_now + delay, process.m_self,
                           MakeClaim(lease, kDuty, process.m_self, kOptions)});
  }

  std::mt19937 m_random;
  Instant m_now{};
  std::vector<Process> m_processes;
  std::vector<Entry> m_in_flight;
  std::vector<Entry> m_log;
  std::vector<LeaseInterval> m_held;
};

// Merges consecutive spans of one process and fencing number.
std::vector<LeaseInterval> Merge(const std::vector<LeaseInterval>& spans) {
  std::vector<LeaseInterval> merged;
  for (const LeaseInterval& span : spans) {
    if (!merged.empty() && merged.back().m_holder == span.m_holder &&
        merged.back().m_fencing_number == span.m_fencing_number) {
      merged.back().m_to = span.m_to;
    } else {
      merged.push_back(span);
    }
  }
  return merged;
}

// Guards against two holders at the same time (G3, G7) under pauses, slow
// appends, slow reads and clock rates that are off by up to 2%.
TEST_CASE("no two processes hold a lease at once") {
  std::set<std::string> holders;
  CHECK(rc::check([&holders](std::uint32_t seed) {
    Simulation simulation(seed);
    simulation.Run(std::chrono::seconds(30));
    RC_ASSERT(testing::CheckLeaseHistory(Merge(simulation.m_held)).empty());
    RC_ASSERT(!simulation.m_held.empty());
    for (const LeaseInterval& span : simulation.m_held) {
      holders.insert(span.m_holder.m_name);
    }
  }));
  CHECK(holders.size() == 3);
}

}  // namespace
}  // namespace comfreypaddle
