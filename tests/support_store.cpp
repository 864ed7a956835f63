#include "support_store.h"

#include <algorithm>
#include <utility>

namespace comfreypaddle::testing {

namespace {

// Timeout of a store call, added to the wait time of a read.
constexpr Duration kStoreTimeout = std::chrono::milliseconds(1000);

}  // namespace

void Schedule::At(Instant when, std::function<void()> action) {
  m_entries.push({std::max(when, m_now), m_next_order++, std::move(action)});
}

void Schedule::RunUntil(Instant end) {
  while (!m_entries.empty() && m_entries.top().m_when <= end) {
    const Entry entry = m_entries.top();
    m_entries.pop();
    m_now = entry.m_when;
    entry.m_action();
  }
  m_now = end;
}

class VirtualStore::Connection : public StreamPort {
 public:
  Connection(VirtualStore& store, std::string name)
      : m_store(store), m_name(std::move(name)) {}

  void Append(StreamAppend append,
              std::function<void(const AppendResult&)> done) override {
    ++m_store.m_calls;
    const bool denied =
        m_store.Denies(m_name, kStoreTimeout, [done](StoreFault fault) {
          AppendResult result;
          result.m_fault = fault;
          done(result);
        });
    if (denied) return;
    m_store.m_schedule.After(kStoreServiceTime, [this, append, done] {
      done(m_store.Append(append));
      m_store.ServeWaiting();
    });
  }

  void Read(Stream stream, std::uint64_t from, Duration wait,
            std::function<void(const ReadResult&)> done) override {
    ++m_store.m_calls;
    if (DeniesRead(wait + kStoreTimeout, done)) return;
    auto read = std::make_shared<WaitingRead>();
    read->m_stream = stream;
    read->m_from = from;
    read->m_name = m_name;
    read->m_done = std::move(done);
    m_store.m_waiting.push_back(read);
    m_store.m_schedule.After(kStoreServiceTime,
                             [this] { m_store.ServeWaiting(); });
    m_store.m_schedule.After(wait + kStoreServiceTime, [this, read] {
      if (read->m_ended) return;
      read->m_ended = true;
      // The outage may have started while the read was held.
      if (DeniesRead(kStoreTimeout, read->m_done)) return;
      read->m_done(m_store.ReadFrom(read->m_stream, read->m_from));
    });
  }

  void ReadNewest(Stream stream,
                  std::function<void(const ReadResult&)> done) override {
    ++m_store.m_calls;
    if (DeniesRead(kStoreTimeout, done)) return;
    m_store.m_schedule.After(kStoreServiceTime, [this, stream, done] {
      done(m_store.ReadNewestOf(stream));
    });
  }

 private:
  bool DeniesRead(Duration limit,
                  const std::function<void(const ReadResult&)>& done) {
    return m_store.Denies(m_name, limit, [done](StoreFault fault) {
      ReadResult result;
      result.m_fault = fault;
      done(result);
    });
  }

  VirtualStore& m_store;
  std::string m_name;
};

std::unique_ptr<StreamPort> VirtualStore::Connect(const std::string& name) {
  return std::make_unique<Connection>(*this, name);
}

bool VirtualStore::Denies(const std::string& name, Duration limit,
                          const std::function<void(StoreFault)>& fail) {
  if (Serves(name)) return false;
  const bool silent = m_denial == StoreDenial::kSilent;
  m_schedule.After(silent ? limit : kStoreServiceTime, [fail, silent] {
    fail(silent ? StoreFault::kUnanswered : StoreFault::kRefused);
  });
  return true;
}

void VirtualStore::Write(Stream stream, const std::string& key,
                         const std::string& value) {
  StreamAppend append;
  append.m_stream = stream;
  append.m_key = key;
  append.m_value = value;
  Append(append);
  ServeWaiting();
}

void VirtualStore::Deny(const std::set<std::string>& names,
                        StoreDenial denial) {
  m_denied = names;
  m_denial = denial;
}

AppendResult VirtualStore::Append(const StreamAppend& append) {
  std::vector<StreamRecord>& records = m_records[append.m_stream];
  AppendResult result;
  result.m_era = m_era;
  result.m_end = records.size();
  if (append.m_expected_end && *append.m_expected_end != records.size()) {
    result.m_fault = StoreFault::kCondition;
    return result;
  }
  StreamRecord record;
  record.m_offset = records.size();
  record.m_key = append.m_key;
  record.m_value = append.m_value;
  record.m_removed = append.m_value.empty();
  result.m_offset = record.m_offset;
  records.push_back(std::move(record));
  m_written[append.m_stream].push_back(m_schedule.Now());
  result.m_end = records.size();
  return result;
}

ReadResult VirtualStore::ReadFrom(Stream stream, std::uint64_t from) {
  ReadResult result;
  result.m_era = m_era;
  const std::vector<StreamRecord>& records = m_records[stream];
  if (from > records.size()) {
    result.m_fault = StoreFault::kTrimmed;
    return result;
  }
  const std::uint64_t end =
      std::min<std::uint64_t>(records.size(), from + m_max_read_records);
  for (std::uint64_t i = from; i < end; ++i) {
    result.m_records.push_back(records[i]);
  }
  result.m_next = end;
  return result;
}

ReadResult VirtualStore::ReadNewestOf(Stream stream) {
  std::map<std::string, StreamRecord> newest;
  for (const StreamRecord& record : m_records[stream]) {
    if (record.m_removed) {
      newest.erase(record.m_key);
    } else {
      newest[record.m_key] = record;
    }
  }
  ReadResult result;
  result.m_era = m_era;
  result.m_next = m_records[stream].size();
  for (auto& [key, record] : newest) result.m_records.push_back(record);
  return result;
}

std::vector<StreamRecord> VirtualStore::TakeRecordsSince(Stream stream,
                                                         Instant since) {
  std::vector<StreamRecord>& records = m_records[stream];
  std::vector<Instant>& written = m_written[stream];
  const auto kept =
      std::upper_bound(written.begin(), written.end(), since) - written.begin();
  std::vector<StreamRecord> taken(records.begin() + kept, records.end());
  records.erase(records.begin() + kept, records.end());
  written.erase(written.begin() + kept, written.end());
  return taken;
}

void VirtualStore::Restore(Duration age, Duration rewrite_delay) {
  const Instant since = m_schedule.Now() - age;
  for (const Stream stream :
       {Stream::kInstances, Stream::kDuties, Stream::kUsage, Stream::kVersions,
        Stream::kBegunStreams, Stream::kSuspects}) {
    TakeRecordsSince(stream, since);
  }
  for (const Stream stream : {Stream::kConfiguration, Stream::kEndpoints}) {
    std::map<std::string, std::string> newest;  // Value by key.
    for (const StreamRecord& record : TakeRecordsSince(stream, since)) {
      newest[record.m_key] = record.m_value;
    }
    for (const auto& [key, value] : newest) {
      m_schedule.After(rewrite_delay, [this, stream, key = key, value = value] {
        Write(stream, key, value);
      });
    }
  }
  ++m_era;
  ServeWaiting();
}

void VirtualStore::ServeWaiting() {
  const std::vector<std::shared_ptr<WaitingRead>> waiting =
      std::exchange(m_waiting, {});
  for (const std::shared_ptr<WaitingRead>& read : waiting) {
    if (read->m_ended) continue;
    // A read from beyond the end is answered at once, too.
    const bool has_answer = m_records[read->m_stream].size() != read->m_from;
    if (!has_answer || !Serves(read->m_name)) {
      m_waiting.push_back(read);
      continue;
    }
    read->m_ended = true;
    m_schedule.After(kStoreServiceTime, [this, read] {
      read->m_done(ReadFrom(read->m_stream, read->m_from));
    });
  }
}

}  // namespace comfreypaddle::testing
