#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "state.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <set>

#include "codec.h"
#include "snapshot.h"
#include "support_history.h"
#include "support_records.h"

namespace comfreypaddle {
namespace {

using testing::RecordGenerator;

constexpr int kBatchCount = 150;

// Log with one batch per offset.
using Log = std::vector<RecordBatch>;

Instant ReadTime(std::uint64_t offset) {
  return Instant(std::chrono::milliseconds(offset));
}

std::vector<Effect> ApplyNext(LogState& state, const RecordBatch& batch) {
  const std::uint64_t offset = state.m_next_offset;
  return ApplyBatch(state, offset, batch, ReadTime(offset));
}

std::string Snapshot(const LogState& state) {
  return EncodeSnapshot(state, ReadTime(1000));
}

// Generates a log whose records refer to the state before them.
Log MakeLog(RecordGenerator& source, LogState& state) {
  Log log;
  RecordBatch base{{"operator", 1}, 1, {}};
  for (ConfigWrite& write : testing::BaseWrites()) {
    base.m_records.emplace_back(std::move(write));
  }
  log.push_back(base);
  ApplyNext(state, base);
  for (int i = 0; i < kBatchCount; ++i) {
    log.push_back(source.NextBatch(state));
    ApplyNext(state, log.back());
  }
  return log;
}

// Guards against generated records that mostly have no effect, which would make
// the properties below vacuous.
TEST_CASE("the generated records have every kind of effect") {
  std::set<std::size_t> kinds;
  std::set<Verdict> verdicts;
  for (std::uint32_t seed = 0; seed < 20; ++seed) {
    RecordGenerator source(seed);
    LogState state;
    const Log log = MakeLog(source, state);
    LogState replayed;
    for (const RecordBatch& batch : log) {
      for (const Effect& effect : ApplyNext(replayed, batch)) {
        kinds.insert(effect.index());
        const auto* result = std::get_if<RecordResult>(&effect);
        if (result != nullptr) verdicts.insert(result->m_verdict);
      }
    }
  }
  CHECK(kinds.size() == std::variant_size_v<Effect>);
  CHECK(verdicts.size() >= 12);
}

// Guards against decisions that depend on anything but the log, and against a
// codec that drops part of a record.
TEST_CASE("two replicas that apply the same bytes have the same state") {
  CHECK(rc::check([](std::uint32_t seed) {
    RecordGenerator source(seed);
    LogState state;
    const Log log = MakeLog(source, state);
    LogState other;
    for (const RecordBatch& batch : log) {
      ApplyNext(other, ParseBatch(SerializeBatch(batch)).value());
    }
    RC_ASSERT(Snapshot(state) == Snapshot(other));
  }));
}

// Guards against applying an append twice when it was retried, at once or much
// later, after its answer was lost.
TEST_CASE("repeated appends have no effect") {
  CHECK(rc::check([](std::uint32_t seed) {
    RecordGenerator source(seed);
    LogState state;
    const Log log = MakeLog(source, state);
    LogState repeated;
    LogState once;
    for (std::size_t i = 0; i < log.size(); ++i) {
      ApplyNext(repeated, log[i]);
      ApplyNext(once, log[i]);
      if (source.Pick(4) != 0) continue;
      const std::size_t earlier = i - source.Pick(static_cast<int>(i) + 1);
      RC_ASSERT(ApplyNext(repeated, log[earlier]).empty());
      SkipOffset(once, once.m_next_offset);
    }
    RC_ASSERT(Snapshot(repeated) == Snapshot(once));
  }));
}

TEST_CASE("a batch of a replaced process has no effect") {
  LogState state;
  const auto batch = [](std::uint64_t incarnation, std::uint64_t sequence) {
    return RecordBatch{
        {"a", incarnation}, sequence, {testing::Put(Workspace{"w"}, 0)}};
  };
  CHECK(ApplyNext(state, batch(1, 5)).size() == 2);
  CHECK(ApplyNext(state, batch(2, 1)).size() == 1);
  CHECK(ApplyNext(state, batch(1, 6)).empty());
}

// Guards against an instance that decides differently after starting from a
// snapshot.
TEST_CASE("a state restored from a snapshot continues like the full one") {
  CHECK(rc::check([](std::uint32_t seed) {
    RecordGenerator source(seed);
    LogState state;
    const Log log = MakeLog(source, state);
    const std::size_t prefix_size = source.Pick(kBatchCount);
    LogState full;
    for (std::size_t i = 0; i < prefix_size; ++i) ApplyNext(full, log[i]);
    const Instant now = ReadTime(full.m_next_offset);
    std::string data;
    for (const SnapshotPart& part :
         SplitSnapshot(EncodeSnapshot(full, now), full.m_next_offset)) {
      data += part.m_data;
    }
    LogState restored = DecodeSnapshot(data, now).value();
    RC_ASSERT(Snapshot(restored) == Snapshot(full));
    for (std::size_t i = prefix_size; i < log.size(); ++i) {
      const auto effects = ApplyNext(restored, log[i]);
      RC_ASSERT(effects.size() == ApplyNext(full, log[i]).size());
    }
    RC_ASSERT(Snapshot(restored) == Snapshot(full));
  }));
}

// Guards against configuration that reverts (G14) and against table copies that
// diverge from the replicated state.
TEST_CASE("accepted configuration stays until a later write replaces it") {
  CHECK(rc::check([](std::uint32_t seed) {
    RecordGenerator source(seed);
    LogState state;
    const Log log = MakeLog(source, state);
    LogState applied;
    Tables copy;
    std::map<std::pair<ResourceKind, std::string>, Position> in_force;
    Position newest = 0;
    for (const RecordBatch& batch : log) {
      for (const Effect& effect : ApplyNext(applied, batch)) {
        const auto* change = std::get_if<TableChange>(&effect);
        if (change == nullptr) continue;
        RC_ASSERT(change->m_version > newest);
        newest = change->m_version;
        RC_ASSERT(ApplyChange(copy, *change));
        RC_ASSERT(!ApplyChange(copy, *change) || change->m_remove);
        in_force[{change->m_kind, change->m_name}] =
            change->m_remove ? 0 : change->m_version;
      }
      for (const auto& [key, version] : in_force) {
        RC_ASSERT(FindVersion(applied.m_config.m_tables, key.first,
                              key.second) == version);
        RC_ASSERT(FindVersion(copy, key.first, key.second) == version);
      }
    }
    const Tables& tables = applied.m_config.m_tables;
    RC_ASSERT(copy.m_key_by_secret == tables.m_key_by_secret);
    RC_ASSERT(copy.m_route_by_model == tables.m_route_by_model);
  }));
}

// Guards against usage windows that differ between instances (G8), and against
// usage that is lost or counted twice.
TEST_CASE("every stored flush is counted in one window") {
  CHECK(rc::check([](std::uint32_t seed) {
    RecordGenerator source(seed);
    LogState state;
    const Log log = MakeLog(source, state);
    LogState applied;
    std::vector<testing::ReportedUsage> reports;
    std::set<std::tuple<std::string, std::uint64_t, std::uint64_t>> stored;
    std::uint64_t expected = 0;
    for (const RecordBatch& batch : log) {
      for (const Effect& effect : ApplyNext(applied, batch)) {
        if (const auto* flush = std::get_if<UsageFlushStored>(&effect)) {
          const bool is_new =
              stored
                  .insert({flush->m_instance.m_name,
                           flush->m_instance.m_incarnation, flush->m_sequence})
                  .second;
          if (is_new) expected += flush->m_sequence;
        }
        const auto* closed = std::get_if<UsageWindowClosed>(&effect);
        if (closed == nullptr) continue;
        const ClosedWindow& window = closed->m_window;
        reports.push_back({batch.m_writer, window.m_window, window.m_position,
                           window.m_fencing_number, window.m_figures});
      }
    }
    RC_ASSERT(testing::CheckUsageHistory(reports).empty());
    std::uint64_t counted = 0;
    for (const auto& report : reports) {
      for (const UsageDelta& d : report.m_figures) counted += d.m_requests;
    }
    for (const auto& [key, sum] : applied.m_usage.m_open) {
      counted += sum.m_requests;
    }
    RC_ASSERT(counted == expected);
  }));
}

// Guards against orders from a process that lost its lease (G3) and against two
// open orders at one endpoint (G1).
TEST_CASE("each endpoint has one open order of the tenure in force") {
  CHECK(rc::check([](std::uint32_t seed) {
    RecordGenerator source(seed);
    LogState state;
    const Log log = MakeLog(source, state);
    LogState applied;
    std::set<std::string> open;
    std::map<std::string, int> orders_to_unfenced;
    for (const RecordBatch& batch : log) {
      for (const Effect& effect : ApplyNext(applied, batch)) {
        const auto* change = std::get_if<OrderChange>(&effect);
        if (change == nullptr) continue;
        const std::string& name = change->m_orders.m_intent.m_endpoint;
        if (!change->m_orders.m_open) {
          RC_ASSERT(open.erase(name) == 1U);
          continue;
        }
        RC_ASSERT(open.insert(name).second);
        if (name == "e0") RC_ASSERT(++orders_to_unfenced[name] == 1);
      }
    }
  }));
}

}  // namespace
}  // namespace comfreypaddle
