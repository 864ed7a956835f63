#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>
#include <random>
#include <trompeloeil.hpp>

#include "codec.h"
#include "journalcore.h"
#include "snapshot.h"

namespace comfreypaddle {
namespace {

using std::chrono::milliseconds;
using trompeloeil::_;

class MockLog : public LogStore {
 public:
  MAKE_MOCK2(Append, void(std::string, AppendCallback), override);
  MAKE_MOCK4(Read, void(std::uint64_t, std::uint32_t, Duration, ReadCallback),
             override);
};

template <typename Message>
struct RecordingPort : Port<Message> {
  void Post(Message message) override { m_messages.push_back(message); }

  // Returns the messages that match the predicate.
  template <typename Test>
  std::vector<Message> Select(Test test) const {
    std::vector<Message> found;
    for (const Message& message : m_messages) {
      if (test(message)) found.push_back(message);
    }
    return found;
  }

  std::vector<Message> m_messages;
};

// Contents of the simulated log: entry bodies from offset 1 on, and the first
// retained offset.
struct StoredLog {
  std::vector<std::string> m_bodies;
  std::uint64_t m_first = 1;

  schema::LogBatch ReadFrom(std::uint64_t from, std::uint32_t max) const {
    schema::LogBatch batch;
    batch.set_first_retained(m_first);
    batch.set_next_offset(m_bodies.size() + 1);
    for (std::uint64_t at = from; at <= m_bodies.size(); ++at) {
      if (batch.entries_size() == static_cast<int>(max)) break;
      schema::LogEntry& entry = *batch.add_entries();
      entry.set_offset(at);
      entry.set_body(m_bodies[at - 1]);
    }
    return batch;
  }
};

struct PendingRead {
  std::uint64_t m_from;
  std::uint32_t m_max;
  Duration m_wait;
  LogStore::ReadCallback m_end;
};

struct PendingAppend {
  std::string m_body;
  LogStore::AppendCallback m_end;
};

// JournalCore with a mock log and ports that record their messages.
struct Fixture {
  explicit Fixture(StoredLog& stored, std::uint64_t incarnation = 1,
                   BatchOptions batch = {}, const std::string& name = "a")
      : m_stored(stored) {
    JournalOptions options;
    options.m_self = {name, incarnation};
    options.m_batch = batch;
    options.m_snapshot_offsets = 10;
    m_core.emplace(options, m_log,
                   JournalPorts{&m_gateway, &m_admin, &m_duties, &m_peers},
                   JournalCore::Host{[this] { return m_now; },
                                     [this](Instant at) { m_next_tick = at; },
                                     [this] { m_stopped = true; }});
    m_core->Start();
  }

  void Advance(Duration span) {
    m_now += span;
    m_core->Tick();
  }

  // Answers the oldest pending read from the simulated log. Returns false if
  // there is none or a long poll has to wait.
  bool ServeRead() {
    if (m_reads.empty()) return false;
    const PendingRead read = m_reads.front();
    if (read.m_wait.count() > 0 && read.m_from > m_stored.m_bodies.size() &&
        m_confirmed_from == read.m_from) {
      return false;
    }
    if (read.m_wait.count() > 0) m_confirmed_from = read.m_from;
    m_reads.pop_front();
    const bool kept = read.m_from >= m_stored.m_first;
    read.m_end(kept ? LogError::kOk : LogError::kTrimmed,
               kept ? m_stored.ReadFrom(read.m_from, read.m_max)
                    : m_stored.ReadFrom(m_stored.m_bodies.size() + 1, 0));
    return true;
  }

  // Answers the oldest pending append with the error, after storing its batch
  // if store is set.
  void ServeAppend(LogError error = LogError::kOk, bool store = true) {
    REQUIRE_FALSE(m_appends.empty());
    const PendingAppend append = m_appends.front();
    m_appends.pop_front();
    if (store) m_stored.m_bodies.push_back(append.m_body);
    append.m_end(error, error == LogError::kOk ? m_stored.m_bodies.size() : 0);
  }

  // Advances the time and answers all calls until there is no more activity.
  void Settle() {
    for (int quiet = 0; quiet < 5; ++quiet) {
      Advance(milliseconds(30));
      while (!m_appends.empty()) {
        ServeAppend();
        quiet = 0;
      }
      while (ServeRead()) quiet = 0;
    }
  }

  void SubmitWorkspace(const std::string& name, std::uint64_t ticket,
                       std::uint32_t timeout_ms = 0) {
    ConfigWrite write;
    write.m_token = name + std::to_string(ticket);
    write.m_name = name;
    write.m_resource = Workspace{name};
    SubmitRecord(write, ticket, timeout_ms);
  }

  void SubmitRecord(const Record& record, std::uint64_t ticket,
                    std::uint32_t timeout_ms = 0) {
    schema::JournalMessage message;
    schema::SubmitRecord& submit = *message.mutable_submit();
    submit.set_sender(schema::TASK_ADMIN);
    submit.set_ticket(ticket);
    submit.set_timeout_ms(timeout_ms);
    *submit.mutable_record() = EncodeRecord(record);
    m_core->Receive(message);
  }

  void SendUsage(std::uint64_t requests) {
    schema::JournalMessage message;
    schema::UsageDelta& delta = *message.mutable_usage()->add_deltas();
    delta.set_workspace("w");
    delta.set_target("r");
    delta.set_requests(requests);
    m_core->Receive(message);
  }

  // Returns "ticket:verdict " for each verdict sent to the admin task.
  std::string Verdicts() const {
    std::string text;
    for (const schema::AdminMessage& message : m_admin.m_messages) {
      if (!message.has_verdict()) continue;
      text += std::to_string(message.verdict().ticket()) + ":" +
              message.verdict().verdict() + " ";
    }
    return text;
  }

  std::string Snapshot() const { return EncodeSnapshot(m_core->State(), {}); }

  StoredLog& m_stored;
  MockLog m_log;
  std::deque<PendingRead> m_reads;
  std::deque<PendingAppend> m_appends;
  std::uint64_t m_confirmed_from = 0;
  std::unique_ptr<trompeloeil::expectation> m_on_read =
      NAMED_ALLOW_CALL(m_log, Read(_, _, _, _))
          .LR_SIDE_EFFECT(m_reads.push_back({_1, _2, _3, _4}));
  std::unique_ptr<trompeloeil::expectation> m_on_append =
      NAMED_ALLOW_CALL(m_log, Append(_, _))
          .LR_SIDE_EFFECT(m_appends.push_back({_1, _2}));
  RecordingPort<schema::GatewayMessage> m_gateway;
  RecordingPort<schema::AdminMessage> m_admin;
  RecordingPort<schema::DutiesMessage> m_duties;
  RecordingPort<schema::PeersMessage> m_peers;
  Instant m_now{std::chrono::seconds(1000)};
  Instant m_next_tick{};
  bool m_stopped = false;
  std::optional<JournalCore> m_core;
};

bool IsStatus(const schema::PeersMessage& message) {
  return message.has_log_status();
}

// Guards against a table change that is not sent to all tasks, and against a
// verdict that is sent before the write is read back.
TEST_CASE("an accepted write is sent to all tasks and answered") {
  StoredLog stored;
  Fixture f(stored);
  f.Settle();
  f.SubmitWorkspace("w", 7);
  f.ServeAppend();
  CHECK(f.Verdicts().empty());
  f.Settle();
  CHECK(f.Verdicts() == "7:accepted ");
  const auto is_change = [](const auto& m) { return m.has_table_change(); };
  CHECK(f.m_gateway.Select(is_change).size() == 1);
  CHECK(f.m_duties.Select(is_change).size() == 1);
  const auto changes = f.m_admin.Select(is_change);
  REQUIRE(changes.size() == 1);
  CHECK(changes[0].table_change().resource().workspace().name() == "w");
  CHECK(changes[0].table_change().version() == MakePosition(1, 0));
}

// Guards against applying a batch twice when it is stored, its answer is lost
// and the append is retried.
TEST_CASE("a batch without an answer is retried and applied once") {
  StoredLog stored;
  Fixture f(stored);
  f.Settle();
  f.SendUsage(5);
  const std::string body = f.m_appends.front().m_body;
  f.ServeAppend(LogError::kNoAnswer);
  f.Advance(milliseconds(100));
  REQUIRE(f.m_appends.size() == 1);
  CHECK(f.m_appends.front().m_body == body);
  f.ServeAppend();
  f.Settle();
  CHECK(stored.m_bodies.size() == 2);
  CHECK(f.m_core->State().m_usage.m_open.at({"w", "r"}).m_requests == 5);
}

// Guards against a lost answer that delays later records, such as a lease
// renewal, by the append timeout.
TEST_CASE("the next batch is sent once the previous one is read back") {
  StoredLog stored;
  Fixture f(stored);
  f.Settle();
  f.SubmitWorkspace("w", 1);
  const PendingAppend first = f.m_appends.front();
  f.m_appends.pop_front();
  stored.m_bodies.push_back(first.m_body);
  f.ServeRead();
  CHECK(f.Verdicts() == "1:accepted ");
  f.SubmitWorkspace("v", 2);
  f.Advance(milliseconds(30));
  REQUIRE(f.m_appends.size() == 1);
  first.m_end(LogError::kNoAnswer, 0);
  f.Advance(milliseconds(2000));
  CHECK(f.m_appends.size() == 1);
  f.Settle();
  CHECK(f.Verdicts() == "1:accepted 2:accepted ");
  CHECK(stored.m_bodies.size() == 2);
}

// Guards against the verdict not_stored for a record that the log may contain.
TEST_CASE("a record gets a correct verdict at its deadline") {
  StoredLog stored;
  Fixture f(stored);
  f.Settle();
  f.SubmitWorkspace("sent", 1, 200);
  REQUIRE(f.m_appends.size() == 1);
  f.SubmitWorkspace("waiting", 2, 200);
  f.Advance(milliseconds(300));
  CHECK(f.Verdicts() == "2:not_stored 1:unknown ");
  f.ServeAppend(LogError::kNoAnswer);
  f.Settle();
  CHECK(f.Verdicts() == "2:not_stored 1:unknown ");
  CHECK(f.m_core->State().m_config.m_tables.m_workspaces.size() == 1);
}

TEST_CASE("a rejected record returns to the queue and can expire") {
  StoredLog stored;
  Fixture f(stored);
  f.Settle();
  f.SubmitWorkspace("w", 1, 100);
  f.ServeAppend(LogError::kOutage, false);
  f.Advance(milliseconds(200));
  // The record may be retried before its deadline is checked or dropped, but
  // not both.
  CHECK(f.Verdicts() == "1:not_stored ");
  f.Settle();
  CHECK(stored.m_bodies.empty());
}

// Guards against exceeding the log's append rate.
TEST_CASE("records wait for the append in flight and the batch interval") {
  StoredLog stored;
  BatchOptions options;
  options.m_max_records = 3;
  Fixture f(stored, 1, options);
  f.Settle();
  for (std::uint64_t i = 0; i < 5; ++i) f.SubmitWorkspace("w", i);
  REQUIRE(f.m_appends.size() == 1);
  f.Advance(milliseconds(500));
  CHECK(f.m_appends.size() == 1);
  f.ServeAppend();
  REQUIRE(f.m_appends.size() == 1);
  CHECK(ParseBatch(f.m_appends.front().m_body)->m_records.size() == 3);
  f.ServeAppend();
  CHECK(f.m_appends.empty());
  f.Advance(milliseconds(25));
  CHECK(f.m_appends.size() == 1);
}

// Guards against an instance that cannot start, or starts with a different
// state, after the log has trimmed its oldest records.
TEST_CASE("a start from a snapshot gives the state of a full replay") {
  StoredLog stored;
  Fixture f(stored);
  f.Settle();
  for (std::uint64_t i = 0; i < 30; ++i) {
    f.SubmitWorkspace("w" + std::to_string(i), i);
    f.SendUsage(i);
    f.Settle();
  }
  schema::JournalMessage snapshot;
  snapshot.mutable_write_snapshot();
  f.m_core->Receive(snapshot);
  f.Settle();
  f.SubmitWorkspace("last", 99);
  f.Settle();
  stored.m_first = stored.m_bodies.size() - 5;

  Fixture late(stored, 2);
  late.Settle();
  CHECK(late.Snapshot() == f.Snapshot());
  const auto changes = late.m_admin.Select(
      [](const schema::AdminMessage& m) { return m.has_table_change(); });
  REQUIRE(changes.size() == 31);
  CHECK(changes.front().table_change().from_snapshot());
  CHECK_FALSE(changes.back().table_change().from_snapshot());
}

// Guards against stale resources in the tables. The resources were removed
// while the instance was disconnected for longer than the log retains its
// records.
TEST_CASE("an instance that fell behind restores a snapshot") {
  StoredLog stored;
  Fixture f(stored);
  f.Settle();
  f.SubmitWorkspace("old", 1);
  f.Settle();
  Fixture behind(stored, 2);
  behind.Settle();
  ConfigWrite removal{
      "t", ResourceKind::kWorkspace, "old", MakePosition(1, 0), true, {}};
  f.SubmitRecord(removal, 2);
  f.Settle();
  f.SubmitWorkspace("new", 3);
  f.Settle();
  schema::JournalMessage snapshot;
  snapshot.mutable_write_snapshot();
  f.m_core->Receive(snapshot);
  f.Settle();
  stored.m_first = stored.m_bodies.size();
  behind.Settle();
  CHECK(behind.Snapshot() == f.Snapshot());
  Tables copy;
  for (const schema::GatewayMessage& message : behind.m_gateway.m_messages) {
    if (!message.has_table_change()) continue;
    CHECK(ApplyChange(copy, *DecodeTableChange(message.table_change())));
  }
  CHECK(copy.m_workspaces.count("old") == 0);
  CHECK(copy.m_workspaces.count("new") == 1);
}

TEST_CASE("a trimmed log without a snapshot does not give a wrong state") {
  StoredLog stored;
  Fixture f(stored);
  f.Settle();
  for (std::uint64_t i = 0; i < 30; ++i) {
    f.SubmitWorkspace("w" + std::to_string(i), i);
    f.Settle();
  }
  stored.m_first = 20;
  Fixture late(stored, 2);
  late.Settle();
  CHECK(late.m_core->State().m_config.m_tables.m_workspaces.empty());
  CHECK_FALSE(late.m_peers.Select(IsStatus).back().log_status().caught_up());
}

// Guards against a confirmation time later than the time at which the log was
// known to end at the reported offset.
TEST_CASE("the log's end is confirmed as of the time the read was sent") {
  StoredLog stored;
  Fixture f(stored);
  f.ServeRead();
  const Instant sent = f.m_now;
  f.m_now += milliseconds(300);
  f.ServeRead();
  const auto status = f.m_peers.Select(IsStatus).back().log_status();
  CHECK(status.confirmed_us() == EncodeInstant(sent));
  CHECK(status.caught_up());
  CHECK(status.reachable());
  const PendingRead read = f.m_reads.front();
  f.m_reads.pop_front();
  read.m_end(LogError::kNoAnswer, {});
  const auto failed = f.m_peers.Select(IsStatus).back().log_status();
  CHECK_FALSE(failed.reachable());
  CHECK(failed.confirmed_us() == EncodeInstant(sent));
}

// Guards against skipping an entry when entries are relayed by a peer.
TEST_CASE("relayed entries are applied only up to a gap") {
  StoredLog stored;
  Fixture origin(stored);
  origin.Settle();
  for (std::uint64_t i = 0; i < 4; ++i) {
    origin.SubmitWorkspace("w" + std::to_string(i), i);
    origin.Settle();
  }
  StoredLog empty;
  Fixture f(empty, 2);
  f.Settle();
  schema::JournalMessage wanted;
  wanted.mutable_records_wanted()->set_from(1);
  wanted.mutable_records_wanted()->set_limit(100);
  origin.m_core->Receive(wanted);
  schema::LogBatch batch = origin.m_peers
                               .Select([](const schema::PeersMessage& m) {
                                 return m.has_records_found();
                               })
                               .back()
                               .records_found()
                               .batch();
  REQUIRE(batch.entries_size() == 4);
  batch.mutable_entries()->DeleteSubrange(2, 1);
  schema::JournalMessage relayed;
  *relayed.mutable_relayed()->mutable_batch() = batch;
  f.m_core->Receive(relayed);
  CHECK(f.m_core->State().m_next_offset == 3);
}

// Guards against usage that is counted twice when a peer submits its backup.
TEST_CASE("usage is backed up by peers until it is stored, and counted once") {
  StoredLog stored;
  Fixture f(stored);
  f.Settle();
  f.SendUsage(3);
  const auto pending = f.m_peers.Select(
      [](const schema::PeersMessage& m) { return m.has_usage_pending(); });
  REQUIRE(pending.size() == 1);
  f.Settle();
  const auto is_stored = [](const schema::PeersMessage& m) {
    return m.has_usage_stored();
  };
  CHECK(f.m_peers.Select(is_stored).size() == 1);
  schema::JournalMessage held;
  *held.mutable_held_usage() = pending[0].usage_pending();
  f.m_core->Receive(held);
  f.Settle();
  CHECK(f.m_peers.Select(is_stored).size() == 2);
  CHECK(stored.m_bodies.size() == 1);
  CHECK(f.m_core->State().m_usage.m_open.at({"w", "r"}).m_requests == 3);
}

// Guards against a paused process that continues to write after it was replaced
// by a process with a higher incarnation.
TEST_CASE("records of a replaced process get the verdict stale") {
  StoredLog stored;
  Fixture old(stored, 1);
  old.Settle();
  Fixture replacement(stored, 2);
  replacement.Settle();
  replacement.SubmitWorkspace("w", 1);
  replacement.Settle();
  old.SubmitWorkspace("w", 2);
  old.Settle();
  CHECK(old.Verdicts() == "2:stale ");
}

// Guards against a holder that counts its lease term from a time after its
// claim was first sent.
TEST_CASE("a lease change contains the first send time of the claim") {
  StoredLog stored;
  Fixture f(stored);
  f.Settle();
  const Instant sent = f.m_now;
  f.SubmitRecord(LeaseClaim{"usage", "a", 0, milliseconds(3000), false}, 1);
  f.ServeAppend(LogError::kNoAnswer);
  f.Advance(milliseconds(100));
  f.ServeAppend();
  f.Settle();
  const auto changes = f.m_duties.Select(
      [](const schema::DutiesMessage& m) { return m.has_lease_change(); });
  REQUIRE(changes.size() == 1);
  CHECK(changes[0].lease_change().sent_us() == EncodeInstant(sent));
  CHECK(changes[0].lease_change().incarnation() == 1);
}

// Ends the oldest pending append with one of the possible results.
void EndAppend(Fixture& f, int kind) {
  switch (kind) {
    case 0:
      return f.ServeAppend(LogError::kNoAnswer, true);
    case 1:
      return f.ServeAppend(LogError::kNoAnswer, false);
    case 2:
      return f.ServeAppend(LogError::kOutage, false);
    case 3:
      return f.ServeAppend(LogError::kNotSent, false);
    default:
      return f.ServeAppend();
  }
}

// Guards against missing, duplicate or wrong verdicts when answers are lost and
// appends are retried, and against instances whose states differ afterwards.
TEST_CASE("every record gets one correct verdict for any append results") {
  CHECK(rc::check([](std::uint32_t seed) {
    std::mt19937 random(seed);
    const auto pick = [&random](int below) {
      return std::uniform_int_distribution<>(0, below - 1)(random);
    };
    StoredLog stored;
    Fixture fixtures[2] = {Fixture(stored, 1), Fixture(stored, 2, {}, "b")};
    std::uint64_t ticket = 0;
    std::map<std::uint64_t, std::string> names;
    for (int step = 0; step < 200; ++step) {
      Fixture& f = fixtures[pick(2)];
      switch (pick(5)) {
        case 0:
          ++ticket;
          names[ticket] = "w" + std::to_string(ticket);
          f.SubmitWorkspace(names[ticket], ticket, 100 + pick(400));
          break;
        case 1:
          if (!f.m_appends.empty()) EndAppend(f, pick(8));
          break;
        case 2:
          f.ServeRead();
          break;
        default:
          f.Advance(milliseconds(pick(60)));
      }
    }
    for (int round = 0; round < 20; ++round) {
      for (Fixture& f : fixtures) f.Settle();
    }
    RC_ASSERT(fixtures[0].Snapshot() == fixtures[1].Snapshot());
    const Tables& tables = fixtures[0].m_core->State().m_config.m_tables;
    std::map<std::uint64_t, std::string> verdicts;
    for (const Fixture& f : fixtures) {
      for (const schema::AdminMessage& message : f.m_admin.m_messages) {
        if (!message.has_verdict()) continue;
        const schema::RecordVerdict& verdict = message.verdict();
        RC_ASSERT(verdicts.emplace(verdict.ticket(), verdict.verdict()).second);
      }
    }
    RC_ASSERT(verdicts.size() == names.size());
    for (const auto& [number, verdict] : verdicts) {
      const bool exists = tables.m_workspaces.count(names[number]) != 0;
      if (verdict == "accepted") RC_ASSERT(exists);
      if (verdict == "not_stored") RC_ASSERT(!exists);
      RC_ASSERT(verdict == "accepted" || verdict == "not_stored" ||
                verdict == "unknown");
    }
  }));
}

TEST_CASE("a stop waits until the submitted records are stored") {
  StoredLog stored;
  Fixture f(stored);
  f.Settle();
  f.SendUsage(1);
  schema::JournalMessage stop;
  stop.mutable_stop();
  f.m_core->Receive(stop);
  CHECK_FALSE(f.m_stopped);
  f.Settle();
  CHECK(f.m_stopped);
}

}  // namespace
}  // namespace comfreypaddle
