#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "holder.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>

namespace comfreypaddle {
namespace {

using std::chrono::milliseconds;

constexpr Duration kStep = milliseconds(20);

// Store of one stream: appends take effect if the stream ends where they say.
struct ModelStore {
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

// An append that the store carries out some time after it was sent.
struct LateAppend {
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

struct Act {
  std::size_t m_instance = 0;
  std::uint64_t m_fence = 0;
  Instant m_at{};
};

// Runs instances whose reads fail, whose appends are late or unanswered and
// which stand still by turns, and records who may act.
std::vector<Act> RunHistory(const std::vector<int>& choices) {
  ModelStore store;
  std::vector<HolderState> instances;
  for (int i = 0; i < 3; ++i) instances.push_back(MakeHolder(i));
  std::vector<LateAppend> under_way;
  std::vector<Instant> frozen(instances.size());
  std::vector<Act> acts;
  Instant now(std::chrono::seconds(100));
  for (const int choice : choices) {
    now += kStep;
    for (auto at = under_way.begin(); at != under_way.end();) {
      if (now < at->m_at) {
        ++at;
        continue;
      }
      const AppendResult result = store.Append(at->m_append);
      if (at->m_answered) {
        OnDutyAppended(instances[at->m_instance], result, now);
      }
      at = under_way.erase(at);
    }
    for (std::size_t i = 0; i < instances.size(); ++i) {
      HolderState& state = instances[i];
      const int fate = (choice >> (4 * i)) & 15;
      if (fate == 15) frozen[i] = now + milliseconds(4000);
      if (now < frozen[i]) continue;
      if (MayAct(state, now)) acts.push_back({i, FenceOf(state), now});
      // One read in four fails.
      if (fate % 4 != 0) OnDutiesRead(state, store.Read(state.m_end), now, now);
      const auto append = NextDutyAppend(state, state.m_newest, false, now);
      if (!append) continue;
      const bool answered = fate % 5 != 0;
      const Duration delay = fate == 7 ? milliseconds(3000) : milliseconds(20);
      under_way.push_back({i, *append, now + delay, answered});
      // The caller of an unanswered append is told so by its time limit.
      if (!answered) {
        AppendResult lost;
        lost.m_fault = StoreFault::kUnanswered;
        OnDutyAppended(state, lost, now);
      }
    }
  }
  return acts;
}

// Guards against two holders at a time and against one fencing number for two.
TEST_CASE("one instance acts at a time, with rising fencing numbers") {
  rc::check("holders are apart under lost, late and unanswered calls", [] {
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

TEST_CASE("the duties are taken, kept, released and taken over") {
  ModelStore store;
  HolderState a = MakeHolder(0);
  HolderState b = MakeHolder(1);
  Instant now(std::chrono::seconds(100));
  const auto turn = [&](HolderState& state) {
    OnDutiesRead(state, store.Read(state.m_end), now, now);
    const auto append = NextDutyAppend(state, state.m_newest, false, now);
    if (append) OnDutyAppended(state, store.Append(*append), now);
  };
  turn(a);
  turn(a);
  CHECK(MayAct(a, now));
  for (int i = 0; i < 500; ++i) {
    now += kStep;
    turn(a);
    turn(b);
    CHECK(MayAct(a, now));
    CHECK_FALSE(IsHolder(b));
  }
  a.m_stopping = true;
  turn(a);
  CHECK_FALSE(IsHolder(a));
  for (int i = 0; i < 10; ++i) {
    now += kStep;
    turn(b);
  }
  CHECK(MayAct(b, now));
  CHECK(FenceOf(b) > 1);
}

// Guards against a holder that wakes from a suspension with an old lease.
TEST_CASE("a holder that stood still does not act on waking") {
  ModelStore store;
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
