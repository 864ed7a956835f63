#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <utility>

#include "dutywindows.h"
#include "holder.h"

namespace comfreypaddle {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kStep = milliseconds(20);
constexpr std::size_t kProcesses = 3;
constexpr std::uint64_t kSeeds = 700;

// One-way time to the platform.
constexpr Duration kNetworkTime = milliseconds(30);

// Longest time that a call is held up before it is sent in full, unless it is
// broken off before.
constexpr int kMaxHeldUpMs = 1000;

// Fake store with one stream, which can be replaced by a copy that lacks the
// newest records. An append succeeds only if the stream ends at the expected
// offset.
struct RestoredStore {
  AppendResult Append(const StreamAppend& append) {
    AppendResult result;
    result.m_era = m_era;
    result.m_end = m_records.size();
    if (append.m_expected_end != m_records.size()) {
      result.m_fault = StoreFault::kCondition;
      return result;
    }
    result.m_offset = m_records.size();
    m_records.push_back({result.m_offset, "", append.m_value, false});
    result.m_end = m_records.size();
    return result;
  }

  ReadResult Read(std::uint64_t from) const {
    ReadResult result;
    result.m_era = m_era;
    if (from > m_records.size()) {
      result.m_fault = StoreFault::kTrimmed;
      return result;
    }
    result.m_records.assign(
        m_records.begin() + static_cast<std::ptrdiff_t>(from), m_records.end());
    result.m_next = m_records.size();
    return result;
  }

  void Restore(std::size_t lost) {
    m_records.resize(m_records.size() - std::min(lost, m_records.size()));
    ++m_era;
  }

  std::vector<StreamRecord> m_records;
  std::uint64_t m_era = 1;
};

constexpr Duration kWindow = seconds(1);
constexpr Duration kFixDelay = milliseconds(1200);

// A call to the platform, and when it arrives there. It reports a window if one
// is due.
struct Call {
  std::size_t m_machine = 0;
  std::uint64_t m_incarnation = 0;
  std::uint64_t m_fence = 0;
  Instant m_arrival{};
  std::optional<std::uint64_t> m_window;
  std::uint64_t m_requests = 0;
};

struct Process {
  HolderState m_holder;
  UsageAggregate m_usage;
  std::uint64_t m_accepted = 0;      // Newest window that it has reported.
  std::uint64_t m_usage_record = 0;  // Offset of its last usage record.
  bool m_era_known = false;
  Instant m_cut_until{};     // It does not reach the store.
  Instant m_paused_until{};  // It does not run.
  Instant m_calls_until{};   // Arrival of its last call; calls do not overlap.
};

// An append that takes effect late, or whose answer comes late.
struct SlowAppend {
  std::size_t m_machine = 0;
  std::uint64_t m_incarnation = 0;
  std::optional<StreamAppend> m_append;  // Has not taken effect.
  std::optional<AppendResult> m_answer;
  Instant m_at{};
};

// Instances that lose the store, are paused and restarted, and whose appends
// are lost, late or answered late, on a store that is replaced by copies of
// itself.
class History {
 public:
  explicit History(std::uint64_t seed) : m_random(seed) {
    for (std::size_t i = 0; i < kProcesses; ++i) StartProcess(i);
  }

  void Run(int steps) {
    for (int step = 0; step < steps; ++step) {
      m_now += kStep;
      RestoreStore();
      EndSlowAppends();
      for (std::size_t i = 0; i < kProcesses; ++i) RunProcess(i);
    }
    std::stable_sort(
        m_calls.begin(), m_calls.end(),
        [](const Call& a, const Call& b) { return a.m_arrival < b.m_arrival; });
  }

  const std::vector<Call>& Calls() const { return m_calls; }
  std::size_t Restores() const { return m_restores; }

 private:
  bool Chance(int one_in) { return m_random() % one_in == 0; }
  Duration UpTo(int ms) { return milliseconds(m_random() % ms); }

  void StartProcess(std::size_t machine) {
    Process process;
    HolderOptions& options = process.m_holder.m_options;
    options.m_name = "i" + std::to_string(machine);
    options.m_incarnation = ++m_incarnations;
    options.m_claim_wait = milliseconds(60) * machine;
    process.m_usage.m_options.m_window = kWindow;
    process.m_usage.m_options.m_fix_delay = kFixDelay;
    process.m_usage.m_options.m_max_window_age = seconds(8);
    m_processes[machine] = process;
  }

  // Replaces the store by a copy; at times again within a second. A holder may
  // be paused over it, and a process may start after it.
  void RestoreStore() {
    const bool again = m_again_at && m_now >= *m_again_at;
    if (!again && !Chance(300)) return;
    m_again_at.reset();
    if (!again && Chance(3)) m_again_at = m_now + UpTo(1000);
    m_store.Restore(m_random() % (Chance(4) ? 1000 : 6));
    ++m_restores;
    for (std::size_t i = 0; i < kProcesses; ++i) {
      Process& process = m_processes[i];
      const int share = IsHolder(process.m_holder) ? 3 : 8;
      if (Chance(share)) process.m_paused_until = m_now + UpTo(5000);
      if (Chance(share)) StartProcess(i);
    }
  }

  void EndSlowAppends() {
    for (SlowAppend& slow : m_slow) {
      if (m_now < slow.m_at) continue;
      if (slow.m_append) m_store.Append(*std::exchange(slow.m_append, {}));
      Process& process = m_processes[slow.m_machine];
      if (!slow.m_answer || m_now < process.m_paused_until) continue;
      const AppendResult answer = *std::exchange(slow.m_answer, {});
      if (process.m_holder.m_options.m_incarnation == slow.m_incarnation) {
        OnAppended(process, answer);
      }
    }
    std::erase_if(m_slow, [](const SlowAppend& slow) {
      return !slow.m_append && !slow.m_answer;
    });
  }

  // Returns whether the answer belongs to the newest known era.
  bool Observe(Process& process, std::uint64_t era) {
    HolderState& holder = process.m_holder;
    if (process.m_era_known && era <= holder.m_era) return era == holder.m_era;
    process.m_era_known = true;
    OnDutyEra(holder, era, m_now);
    return true;
  }

  void OnAppended(Process& process, AppendResult answer) {
    if (answer.m_era && !Observe(process, *answer.m_era)) {
      answer.m_fault = StoreFault::kEraChanged;
    }
    OnDutyAppended(process.m_holder, answer, m_now);
  }

  void RunProcess(std::size_t machine) {
    Process& process = m_processes[machine];
    HolderState& holder = process.m_holder;
    if (m_now >= process.m_cut_until && Chance(300)) {
      process.m_cut_until = m_now + milliseconds(500) + UpTo(6000);
    }
    if (m_now < process.m_paused_until) return;
    const bool cut = m_now < process.m_cut_until;
    Act(machine);
    // Another instance names the era.
    if (Chance(50)) Observe(process, m_store.m_era);
    if (!cut) Read(process);
    if (Chance(5)) AddUsage(process);
    const DutyUpdate next =
        NextDutyRecord(holder, process.m_usage, process.m_accepted, {}, m_now);
    const auto append =
        NextDutyAppend(holder, next.m_record, next.m_changed, m_now);
    if (append) Append(machine, *append, cut);
  }

  // Adds requests to the newest windows, so that each process has other sums at
  // each time.
  void AddUsage(Process& process) {
    schema::UsageBatch batch;
    schema::UsageRecord* record = batch.add_records();
    record->set_instance("a");
    record->set_incarnation(1);
    record->set_sequence(++process.m_usage_record);
    const auto newest =
        static_cast<std::uint64_t>(m_now.time_since_epoch() / kWindow);
    for (std::uint64_t window = newest - 10; window <= newest; ++window) {
      schema::UsageCount* count = record->add_totals();
      count->set_window(window);
      count->set_workspace("w");
      count->set_requests(1 + m_random() % 1'000'000);
    }
    ReadResult result;
    result.m_records.push_back(
        {process.m_usage_record, "", batch.SerializeAsString(), false});
    result.m_next = process.m_usage_record + 1;
    AddUsageRecords(process.m_usage, result, m_now);
  }

  void Read(Process& process) {
    HolderState& holder = process.m_holder;
    const std::uint64_t from = holder.m_end;
    const std::uint64_t era = holder.m_era;
    const ReadResult result = m_store.Read(from);
    Observe(process, *result.m_era);
    if (era != holder.m_era && from != 0) return;
    if (result.m_fault != StoreFault::kNone) return;
    OnDutiesRead(holder, result, m_now, m_now);
  }

  void Append(std::size_t machine, const StreamAppend& append, bool cut) {
    Process& process = m_processes[machine];
    const std::uint64_t incarnation = process.m_holder.m_options.m_incarnation;
    if (!cut && Chance(5)) {
      const AppendResult answer = m_store.Append(append);
      m_slow.push_back({machine, incarnation, {}, answer, m_now + UpTo(1000)});
      return;
    }
    AppendResult result;
    result.m_fault = StoreFault::kUnanswered;
    if (!cut) {
      result = m_store.Append(append);
    } else if (Chance(3)) {
      m_store.Append(append);
    } else if (Chance(2)) {
      m_slow.push_back(
          {machine, incarnation, append, {}, m_now + UpTo(12'000)});
    }
    OnAppended(process, result);
  }

  void Act(std::size_t machine) {
    Process& process = m_processes[machine];
    const HolderState& holder = process.m_holder;
    if (m_now < process.m_calls_until || !MayAct(holder, m_now)) return;
    const Duration held_up = UpTo(kMaxHeldUpMs);
    if (held_up > CallTimeLeft(holder, m_now)) return;
    process.m_calls_until = m_now + held_up + kNetworkTime;
    Call call{machine, holder.m_options.m_incarnation, FencingNumberOf(holder),
              process.m_calls_until};
    for (const schema::FixedWindow& window : holder.m_newest.fixed()) {
      if (window.window() <= process.m_accepted) continue;
      call.m_window = window.window();
      call.m_requests = window.counts(0).requests();
      // One in four reports arrives but is not answered.
      if (!Chance(4)) process.m_accepted = window.window();
      break;
    }
    m_calls.push_back(call);
  }

  std::mt19937_64 m_random;
  RestoredStore m_store;
  std::array<Process, kProcesses> m_processes;
  std::uint64_t m_incarnations = 0;
  std::vector<SlowAppend> m_slow;
  std::optional<Instant> m_again_at;
  std::size_t m_restores = 0;
  std::vector<Call> m_calls;
  Instant m_now{seconds(100)};
};

// Number of calls that arrive with a lower fencing number than an earlier one,
// that share their number with another process, and that come back to a machine
// within a lease of its last call, after a call of another one.
struct Violations {
  int m_crossed = 0;
  int m_shared = 0;
  int m_turns = 0;
};

Violations CheckCalls(const std::vector<Call>& calls) {
  const Duration lease = HolderOptions{}.m_lease;
  Violations found;
  std::map<std::uint64_t, std::uint64_t> holders;  // Incarnation by number.
  std::map<std::size_t, Instant> last;             // Arrival by machine.
  std::optional<std::size_t> holder;
  std::uint64_t newest = 0;
  for (const Call& call : calls) {
    const auto place = holders.try_emplace(call.m_fence, call.m_incarnation);
    if (place.first->second != call.m_incarnation) ++found.m_shared;
    if (call.m_fence < newest) ++found.m_crossed;
    newest = std::max(newest, call.m_fence);
    const bool turn = holder && *holder != call.m_machine;
    if (turn && last.count(call.m_machine) != 0 &&
        call.m_arrival - last[call.m_machine] < lease) {
      ++found.m_turns;
    }
    holder = call.m_machine;
    last[call.m_machine] = call.m_arrival;
  }
  return found;
}

// Guards against two holders with one fencing number, and against calls with a
// lower number or in turns A, B, A within a lease, when the store loses claims
// and gives their offsets out again.
TEST_CASE("fencing numbers are never given out again by a restored store") {
  std::size_t restores = 0;
  std::set<std::size_t> holders;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    History history(seed);
    history.Run(3000);
    const Violations found = CheckCalls(history.Calls());
    CHECK(found.m_shared == 0);
    CHECK(found.m_crossed == 0);
    CHECK(found.m_turns == 0);
    restores += history.Restores();
    for (const Call& call : history.Calls()) holders.insert(call.m_machine);
  }
  CHECK(restores > 10 * kSeeds);
  CHECK(holders.size() == kProcesses);
}

// Guards against a usage window that is reported twice with different counts,
// because the store lost the record that fixed it.
TEST_CASE("a window is reported with one set of counts over restores") {
  std::size_t reported = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    History history(seed);
    history.Run(3000);
    std::map<std::uint64_t, std::uint64_t> counts;  // By window.
    int changed = 0;
    for (const Call& call : history.Calls()) {
      if (!call.m_window) continue;
      const auto [place, first] =
          counts.try_emplace(*call.m_window, call.m_requests);
      if (place->second != call.m_requests) ++changed;
    }
    CHECK(changed == 0);
    reported += counts.size();
  }
  // The histories have 60 windows each. Most are reported although the store is
  // restored every few seconds.
  CHECK(reported > 30 * kSeeds);
}

// Returns a record of another instance that fixed a window.
schema::DutyRecord FixedRecord(std::uint64_t window, std::uint64_t requests) {
  schema::DutyRecord record;
  record.set_holder("other");
  record.set_incarnation(1);
  record.set_era(1);
  schema::FixedWindow* fixed = record.add_fixed();
  fixed->set_window(window);
  schema::UsageCount* count = fixed->add_counts();
  count->set_workspace("w");
  count->set_requests(requests);
  return record;
}

// Guards against a window that is never reported, or with other counts, because
// the store lost the record that fixed it although an instance has read it, or
// because the platform rejected a fencing number.
TEST_CASE("a fixed window stays known when its record is lost") {
  Instant now(seconds(100));
  RestoredStore store;
  StreamAppend append;
  schema::DutyRecord claim_record = FixedRecord(90, 7);
  claim_record.clear_fixed();
  append.m_expected_end = 0;
  append.m_value = claim_record.SerializeAsString();
  store.Append(append);
  append.m_expected_end = 1;
  append.m_value = FixedRecord(90, 7).SerializeAsString();
  store.Append(append);
  HolderState holder;
  holder.m_options.m_name = "i0";
  UsageAggregate usage;
  usage.m_options.m_window = kWindow;
  usage.m_options.m_fix_delay = kFixDelay;
  OnDutyEra(holder, 1, now);
  OnDutiesRead(holder, store.Read(0), now, now);
  SUBCASE("the store is restored") {
    store.Restore(1);
    OnDutyEra(holder, 2, now);
  }
  SUBCASE("the platform rejects the fencing number") {
    OnFencingRejected(holder, now);
  }
  now += seconds(4);
  // The second read is empty, which proves that the newest record is known.
  OnDutiesRead(holder, store.Read(holder.m_end), now, now);
  OnDutiesRead(holder, store.Read(holder.m_end), now, now);
  now += seconds(1);
  const auto next = NextDutyRecord(holder, usage, 0, {}, now);
  const auto claim = NextDutyAppend(holder, next.m_record, false, now);
  REQUIRE(claim);
  OnDutyAppended(holder, store.Append(*claim), now);
  CHECK(IsHolder(holder));
  REQUIRE(holder.m_newest.fixed_size() == 1);
  CHECK(holder.m_newest.fixed(0).window() == 90);
  CHECK(holder.m_newest.fixed(0).counts(0).requests() == 7);
  // The windows that lost records may have fixed are abandoned.
  const auto settled =
      LastSettledWindow(usage, (now - seconds(5)).time_since_epoch());
  CHECK((holder.m_newest.abandoned() >= settled) == (holder.m_era == 2));
}

}  // namespace
}  // namespace comfreypaddle
