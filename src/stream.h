#ifndef COMFREYPADDLE_STREAM_H_
#define COMFREYPADDLE_STREAM_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "relay.pb.h"
#include "types.h"

namespace comfreypaddle {

// Streams of the platform's store.
enum class Stream {
  kConfiguration,  // Written by operators; keyed.
  kEndpoints,      // Written by endpoints; keyed.
  kInstances,      // Addresses of the entry instances; keyed.
  kDuties,         // Leases and finalized usage windows.
  kUsage,          // Usage counts of the instances.
  kVersions,       // Software versions of the listed endpoints; keyed.
  kBegunStreams,   // Streams that began at endpoints of mixed services.
  kSuspects,       // Requests that are refused for crashes; keyed.
};

template <>
struct EnumNames<Stream> {
  static constexpr std::array<EnumName<Stream>, 8> kTable{
      {{Stream::kConfiguration, "configuration"},
       {Stream::kEndpoints, "endpoints"},
       {Stream::kInstances, "instances"},
       {Stream::kDuties, "duties"},
       {Stream::kUsage, "usage"},
       {Stream::kVersions, "versions"},
       {Stream::kBegunStreams, "begun_streams"},
       {Stream::kSuspects, "suspects"}}};
};

// Error of a call to the store.
enum class StoreFault {
  kNone,
  kRefused,     // Rejected without effect.
  kCondition,   // The stream does not end at the expected offset.
  kRepeated,    // Unexpected sequence number of the producer.
  kTrimmed,     // The records are no longer retained.
  kUnanswered,  // The call may have taken effect or may still do so.
  kMalformed,   // The answer cannot be parsed.
  kEraChanged,  // The store was replaced by a copy of itself meanwhile.
};

template <>
struct EnumNames<StoreFault> {
  static constexpr std::array<EnumName<StoreFault>, 8> kTable{
      {{StoreFault::kNone, "none"},
       {StoreFault::kRefused, "refused"},
       {StoreFault::kCondition, "condition"},
       {StoreFault::kRepeated, "repeated"},
       {StoreFault::kTrimmed, "trimmed"},
       {StoreFault::kUnanswered, "unanswered"},
       {StoreFault::kMalformed, "malformed"},
       {StoreFault::kEraChanged, "era_changed"}}};
};

// Position in a stream. A store that comes back from a copy of itself gives
// offsets out again, so that an offset counts only within its era.
struct StreamPosition {
  std::uint64_t m_era = 0;
  std::uint64_t m_offset = 0;

  friend bool operator==(const StreamPosition&,
                         const StreamPosition&) = default;
  friend bool operator<(const StreamPosition& a, const StreamPosition& b) {
    return std::tie(a.m_era, a.m_offset) < std::tie(b.m_era, b.m_offset);
  }
  friend bool operator>(const StreamPosition& a, const StreamPosition& b) {
    return b < a;
  }
  friend bool operator<=(const StreamPosition& a, const StreamPosition& b) {
    return !(b < a);
  }
  friend bool operator>=(const StreamPosition& a, const StreamPosition& b) {
    return !(a < b);
  }
};

struct StreamRecord {
  std::uint64_t m_offset = 0;
  std::string m_key;  // Only in keyed streams.
  std::string m_value;
  bool m_removed = false;  // Only in keyed streams: the key was deleted.
};

struct StreamAppend {
  Stream m_stream = Stream::kDuties;
  std::string m_key;
  std::string m_value;
  // If set, the append takes effect only if the stream ends at this offset.
  std::optional<std::uint64_t> m_expected_end;
};

// What all answers of the store have in common.
struct StoreAnswer {
  StoreFault m_fault = StoreFault::kNone;
  std::string m_detail;  // What the store or the connection said, for logs.
  // Era of the store that answered; nothing if no answer named one.
  std::optional<std::uint64_t> m_era;
};

struct AppendResult : StoreAnswer {
  std::uint64_t m_offset = 0;
  std::uint64_t m_end = 0;  // Also set with kCondition.
};

struct ReadResult : StoreAnswer {
  std::vector<StreamRecord> m_records;
  std::uint64_t m_next = 0;   // Offset after the last record read.
  std::uint64_t m_first = 0;  // First retained offset, set with kTrimmed.
};

// Interface of the platform's store. Callbacks run in the owner's task, but
// never from within the call that they belong to.
class StreamPort {
 public:
  virtual ~StreamPort() = default;

  virtual void Append(StreamAppend append,
                      std::function<void(const AppendResult&)> done) = 0;

  // Reads from the offset on. Waits for a record for at most the given time.
  virtual void Read(Stream stream, std::uint64_t from, Duration wait,
                    std::function<void(const ReadResult&)> done) = 0;

  // Reads the newest record of each key of a keyed stream.
  virtual void ReadNewest(Stream stream,
                          std::function<void(const ReadResult&)> done) = 0;
};

// Decodes the records written by operators and endpoints. Returns nothing for
// invalid ones.
class RecordDecoder {
 public:
  virtual ~RecordDecoder() = default;

  // Returns the deployment's configuration, or nothing for other kinds of
  // records.
  virtual std::optional<schema::Catalog> DecodeCatalog(
      const StreamRecord& record) const = 0;

  virtual std::optional<schema::EndpointEntry> DecodeEndpoint(
      const StreamRecord& record) const = 0;
};

// Result of a call made by the holder of a duty.
enum class DutyResult {
  kAccepted,
  kFenced,      // Another holder has used a higher number.
  kRefused,     // Rejected without effect.
  kUnanswered,  // The call may have taken effect or may still do so.
};

template <>
struct EnumNames<DutyResult> {
  static constexpr std::array<EnumName<DutyResult>, 4> kTable{
      {{DutyResult::kAccepted, "accepted"},
       {DutyResult::kFenced, "fenced"},
       {DutyResult::kRefused, "refused"},
       {DutyResult::kUnanswered, "unanswered"}}};
};

// Holder of a duty that makes a call.
struct DutyHolder {
  std::string m_name;
  std::uint64_t m_fencing_number = 0;
  // Time after which the call must not reach the platform any more.
  Duration m_time_left{0};
};

struct CountOrder {
  std::string m_service;
  std::string m_zone;
  std::uint32_t m_count = 0;
  bool m_cheap = false;
};

// Interface of the platform calls that only the holder of a duty may make.
class DutyPort {
 public:
  using Done = std::function<void(DutyResult)>;

  virtual ~DutyPort() = default;

  virtual void ReportUsage(const DutyHolder& holder,
                           const schema::FixedWindow& window, Done done) = 0;

  virtual void OrderEndpoints(const DutyHolder& holder, const CountOrder& order,
                              Done done) = 0;
};

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_STREAM_H_
