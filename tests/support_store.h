#ifndef COMFREYPADDLE_TESTS_SUPPORT_STORE_H_
#define COMFREYPADDLE_TESTS_SUPPORT_STORE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "stream.h"
#include "types.h"

namespace comfreypaddle::testing {

// Service time of a call to the simulated store or duty interface.
inline constexpr Duration kStoreServiceTime = std::chrono::milliseconds(5);

// Discrete-event queue with a virtual clock.
class Schedule {
 public:
  Instant Now() const { return m_now; }
  void At(Instant when, std::function<void()> action);
  void After(Duration time, std::function<void()> action) {
    At(m_now + time, std::move(action));
  }
  void RunUntil(Instant end);

 private:
  struct Entry {
    Instant m_when;
    std::uint64_t m_order = 0;
    std::function<void()> m_action;
  };
  struct Later {
    bool operator()(const Entry& a, const Entry& b) const {
      return a.m_when != b.m_when ? a.m_when > b.m_when : a.m_order > b.m_order;
    }
  };

  Instant m_now{std::chrono::seconds(1000)};
  std::uint64_t m_next_order = 0;
  std::priority_queue<Entry, std::vector<Entry>, Later> m_entries;
};

// How the store treats an instance that it does not serve: it does not answer,
// or it refuses the call.
enum class StoreDenial { kSilent, kRefuses };

// Simulated store in virtual time. Streams retain all their records, and lose
// them only if the store is replaced by a copy.
class VirtualStore {
 public:
  explicit VirtualStore(Schedule& schedule) : m_schedule(schedule) {}

  // Appends a record of an external writer. An empty value removes the key.
  void Write(Stream stream, const std::string& key, const std::string& value);

  // Stops serving the instances from now on.
  void Deny(const std::set<std::string>& names, StoreDenial denial);
  void ServeAll() { m_denied.clear(); }
  bool Serves(const std::string& name) const {
    return m_denied.count(name) == 0;
  }

  // Replaces the store by a copy of itself of that age: the records written
  // since are gone, their offsets are given out again, and the era rises. The
  // newest records of external writers are written again after a delay.
  void Restore(Duration age, Duration rewrite_delay);

  // Number of records that one read returns at most.
  void SetMaxReadRecords(std::size_t records) { m_max_read_records = records; }

  // Names a lower era from now on, against the contract.
  void LowerEra() { --m_era; }

  // Port of one instance.
  std::unique_ptr<StreamPort> Connect(const std::string& name);

  const std::vector<StreamRecord>& Records(Stream stream) {
    return m_records[stream];
  }
  std::uint64_t Calls() const { return m_calls; }

 private:
  class Connection;
  struct WaitingRead {
    Stream m_stream = Stream::kConfiguration;
    std::uint64_t m_from = 0;
    std::string m_name;
    std::function<void(const ReadResult&)> m_done;
    bool m_ended = false;
  };

  // Returns whether the instance is denied. If so, schedules the failure: a
  // refusal after the service time, or the caller's timeout after limit.
  bool Denies(const std::string& name, Duration limit,
              const std::function<void(StoreFault)>& fail);
  AppendResult Append(const StreamAppend& append);
  ReadResult ReadFrom(Stream stream, std::uint64_t from);
  ReadResult ReadNewestOf(Stream stream);
  void ServeWaiting();
  // Removes the records written after an instant, and returns them.
  std::vector<StreamRecord> TakeRecordsSince(Stream stream, Instant since);

  Schedule& m_schedule;
  std::map<Stream, std::vector<StreamRecord>> m_records;
  // When each record was written.
  std::map<Stream, std::vector<Instant>> m_written;
  std::uint64_t m_era = 1;
  std::size_t m_max_read_records = 1U << 20U;
  std::set<std::string> m_denied;
  StoreDenial m_denial = StoreDenial::kSilent;
  std::vector<std::shared_ptr<WaitingRead>> m_waiting;
  std::uint64_t m_calls = 0;
};

}  // namespace comfreypaddle::testing

#endif  // COMFREYPADDLE_TESTS_SUPPORT_STORE_H_
