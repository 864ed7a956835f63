#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "holder.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <optional>
#include <random>

namespace comfreypaddle {
namespace {

using std::chrono::milliseconds;

constexpr Duration kStep = milliseconds(20);

// Fake store with one stream. An append succeeds only if the stream ends at the
// expected offset.
struct FakeStore {
  std::vector<StreamRecord> m_records;

  AppendResult Append(const StreamAppend& append) {
    AppendResult result;
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
    for (std::uint64_t i = from; i < m_records.size(); ++i) {
      result.m_records.push_back(m_records[i]);
    }
    result.m_next = std::max<std::uint64_t>(from, m_records.size());
    return result;
  }
};

// An append that the store applies after a delay.
struct DelayedAppend {
  std::size_t m_instance = 0;
  StreamAppend m_append;
  Instant m_at{};
  bool m_answered = false;
};

HolderState MakeHolder(int index) {
  HolderState state;
  state.m_options.m_name = "i" + std::to_string(index);
  state.m_options.m_incarnation = 1;
  state.m_options.m_claim_wait = milliseconds(60 * index);
  return state;
}

// A call to the platform, and when it arrives there.
struct Act {
  std::size_t m_instance = 0;
  std::uint64_t m_fence = 0;
  Instant m_at{};
  Instant m_arrival{};
};

// One-way time to the platform.
constexpr Duration kNetworkTime = milliseconds(30);

// Longest time that a call is held up before it is sent in full, unless it is
// broken off before.
constexpr int kMaxHeldUpMs = 1000;

// Simulates instances whose reads fail, whose appends are delayed or not
// answered and which are suspended at times. Returns when each of them could
// act.
std::vector<Act> RunHistory(const std::vector<int>& choices) {
  FakeStore store;
  std::vector<HolderState> instances;
  for (int i = 0; i < 3; ++i) instances.push_back(MakeHolder(i));
  std::vector<DelayedAppend> in_flight;
  std::vector<Instant> suspended_until(instances.size());
  std::vector<Act> acts;
  Instant now(std::chrono::seconds(100));
  for (const int choice : choices) {
    now += kStep;
    for (auto entry = in_flight.begin(); entry != in_flight.end();) {
      if (now < entry->m_at) {
        ++entry;
        continue;
      }
      const AppendResult result = store.Append(entry->m_append);
      if (entry->m_answered) {
        OnDutyAppended(instances[entry->m_instance], result, now);
      }
      entry = in_flight.erase(entry);
    }
    for (std::size_t i = 0; i < instances.size(); ++i) {
      HolderState& state = instances[i];
      const int event = (choice >> (4 * i)) & 15;
      if (event == 15) suspended_until[i] = now + milliseconds(4000);
      if (now < suspended_until[i]) continue;
      if (MayAct(state, now)) {
        const Duration held_up =
            milliseconds(choice * 7 % kMaxHeldUpMs * (event % 2));
        const Duration left = CallTimeLeft(state, now);
        if (held_up <= left) {
          acts.push_back(
              {i, FencingNumberOf(state), now, now + held_up + kNetworkTime});
        }
      }
      // One in four reads fails.
      if (event % 4 != 0)
        OnDutiesRead(state, store.Read(state.m_end), now, now);
      const auto append = NextDutyAppend(state, state.m_newest, false, now);
      if (!append) continue;
      const bool answered = event % 5 != 0;
      const Duration delay = event == 7 ? milliseconds(3000) : milliseconds(20);
      in_flight.push_back({i, *append, now + delay, answered});
      // An unanswered append ends in a timeout.
      if (!answered) {
        AppendResult lost;
        lost.m_fault = StoreFault::kUnanswered;
        OnDutyAppended(state, lost, now);
      }
    }
  }
  return acts;
}

// Guards against two holders at the same time and against two holders with the
// same fencing number.
TEST_CASE("one instance acts at a time, with rising fencing numbers") {
  rc::check("holders do not overlap under lost, late and unanswered calls", [] {
    const auto choices =
        *rc::gen::container<std::vector<int>>(600, rc::gen::inRange(0, 4096));
    const std::vector<Act> acts = RunHistory(choices);
    std::map<std::uint64_t, std::size_t> holders;
    std::uint64_t newest = 0;
    for (const Act& act : acts) {
      const auto [place, fresh] =
          holders.try_emplace(act.m_fence, act.m_instance);
      RC_ASSERT(place->second == act.m_instance);
      RC_ASSERT(act.m_fence >= newest);
      newest = act.m_fence;
    }
  });
}

// Simulates instances that lose the store for some seconds each, whose last
// append is lost, applied unanswered or applied late, and that make a call
// whenever they may. Calls are held up for up to one second.
std::vector<Act> RunStoreCuts(std::uint64_t seed) {
  std::mt19937_64 random(seed);
  const auto chance = [&random](int one_in) { return random() % one_in == 0; };
  FakeStore store;
  std::vector<HolderState> instances;
  for (int i = 0; i < 3; ++i) instances.push_back(MakeHolder(i));
  std::vector<Instant> cut_until(instances.size());
  std::vector<DelayedAppend> late;
  std::vector<Act> acts;
  Instant now(std::chrono::seconds(100));
  for (int step = 0; step < 3000; ++step) {
    now += kStep;
    for (DelayedAppend& append : late) {
      if (append.m_answered || now < append.m_at) continue;
      append.m_answered = true;
      store.Append(append.m_append);
    }
    for (std::size_t i = 0; i < instances.size(); ++i) {
      HolderState& state = instances[i];
      if (now >= cut_until[i] && chance(300)) {
        cut_until[i] = now + milliseconds(500 + random() % 6000);
      }
      const bool cut = now < cut_until[i];
      if (MayAct(state, now)) {
        const Duration held_up = milliseconds(random() % kMaxHeldUpMs);
        const Instant arrival = now + held_up + kNetworkTime;
        if (held_up <= CallTimeLeft(state, now)) {
          acts.push_back({i, FencingNumberOf(state), now, arrival});
        }
      }
      if (!cut) OnDutiesRead(state, store.Read(state.m_end), now, now);
      const auto append = NextDutyAppend(state, state.m_newest, false, now);
      if (!append) continue;
      AppendResult result;
      result.m_fault = StoreFault::kUnanswered;
      if (!cut) {
        result = store.Append(*append);
      } else if (chance(3)) {
        store.Append(*append);
      } else if (chance(2)) {
        late.push_back({i, *append, now + milliseconds(random() % 12'000)});
      }
      OnDutyAppended(state, result, now);
    }
  }
  return acts;
}

// Guards against orders of two holders that cross on the way to a platform that
// does not check fencing numbers: a lower number after a higher one, or turns
// A, B, A within one lease.
TEST_CASE("calls arrive with rising fencing numbers and without turns") {
  const Duration lease = HolderOptions{}.m_lease;
  std::size_t takeovers = 0;
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    CAPTURE(seed);
    std::vector<Act> acts = RunStoreCuts(seed);
    std::stable_sort(acts.begin(), acts.end(), [](const Act& a, const Act& b) {
      return a.m_arrival < b.m_arrival;
    });
    std::uint64_t newest = 0;
    std::map<std::size_t, Instant> last;  // Arrival by instance.
    std::optional<std::size_t> holder;
    int crossed = 0;
    int turns = 0;
    for (const Act& act : acts) {
      if (act.m_fence < newest) ++crossed;
      newest = std::max(newest, act.m_fence);
      const bool turn = holder && *holder != act.m_instance;
      takeovers += turn ? 1 : 0;
      if (turn && last.count(act.m_instance) != 0 &&
          act.m_arrival - last[act.m_instance] < lease) {
        ++turns;
      }
      holder = act.m_instance;
      last[act.m_instance] = act.m_arrival;
    }
    CHECK(crossed == 0);
    CHECK(turns == 0);
  }
  CHECK(takeovers > 200);
}

TEST_CASE("the duties are taken, kept, released and taken over") {
  FakeStore store;
  HolderState a = MakeHolder(0);
  HolderState b = MakeHolder(1);
  Instant now(std::chrono::seconds(100));
  const auto run_once = [&](HolderState& state) {
    OnDutiesRead(state, store.Read(state.m_end), now, now);
    const auto append = NextDutyAppend(state, state.m_newest, false, now);
    if (append) OnDutyAppended(state, store.Append(*append), now);
  };
  run_once(a);
  run_once(a);
  CHECK(MayAct(a, now));
  for (int i = 0; i < 500; ++i) {
    now += kStep;
    run_once(a);
    run_once(b);
    CHECK(MayAct(a, now));
    CHECK_FALSE(IsHolder(b));
  }
  a.m_stopping = true;
  run_once(a);
  CHECK_FALSE(IsHolder(a));
  for (int i = 0; i < 10; ++i) {
    now += kStep;
    run_once(b);
  }
  CHECK(MayAct(b, now));
  CHECK(FencingNumberOf(b) > 1);
}

// Guards against a holder that acts on an expired lease after a suspension.
TEST_CASE("a holder that was suspended does not act on an expired lease") {
  FakeStore store;
  HolderState a = MakeHolder(0);
  Instant now(std::chrono::seconds(100));
  for (int i = 0; i < 3; ++i) {
    OnDutiesRead(a, store.Read(a.m_end), now, now);
    const auto append = NextDutyAppend(a, a.m_newest, false, now);
    if (append) OnDutyAppended(a, store.Append(*append), now);
  }
  CHECK(MayAct(a, now));
  CHECK_FALSE(MayAct(a, now + milliseconds(2600)));
}

}  // namespace
}  // namespace comfreypaddle
