#ifndef COMFREYPADDLE_STREAM_H_
#define COMFREYPADDLE_STREAM_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "relay.pb.h"
#include "types.h"

namespace comfreypaddle {

// Streams of the platform's store.
enum class Stream {
  kConfiguration,  // Written by the operators; keyed.
  kEndpoints,      // Written by the endpoints; keyed.
  kInstances,      // Addresses of the entry instances; keyed.
  kDuties,         // Leases and fixed usage windows.
  kUsage,          // Counts of the instances.
};

template <>
struct EnumNames<Stream> {
  static constexpr std::array<EnumName<Stream>, 5> kTable{
      {{Stream::kConfiguration, "configuration"},
       {Stream::kEndpoints, "endpoints"},
       {Stream::kInstances, "instances"},
       {Stream::kDuties, "duties"},
       {Stream::kUsage, "usage"}}};
};

// How a call to the store ended.
enum class StoreFault {
  kNone,
  kRefused,     // The store did nothing.
  kCondition,   // The stream does not end where the append expected.
  kRepeated,    // The producer's sequence number does not follow.
  kTrimmed,     // The records were deleted.
  kUnanswered,  // It may have been carried out, or may be later.
  kMalformed,   // The answer cannot be read.
};

template <>
struct EnumNames<StoreFault> {
  static constexpr std::array<EnumName<StoreFault>, 7> kTable{
      {{StoreFault::kNone, "none"},
       {StoreFault::kRefused, "refused"},
       {StoreFault::kCondition, "condition"},
       {StoreFault::kRepeated, "repeated"},
       {StoreFault::kTrimmed, "trimmed"},
       {StoreFault::kUnanswered, "unanswered"},
       {StoreFault::kMalformed, "malformed"}}};
};

struct StreamRecord {
  std::uint64_t m_offset = 0;
  std::string m_key;  // Keyed streams only.
  std::string m_value;
  bool m_removed = false;  // Keyed streams: the key has no value any more.
};

struct StreamAppend {
  Stream m_stream = Stream::kDuties;
  std::string m_key;
  std::string m_value;
  // Offset at which the stream has to end for the append to take effect.
  std::optional<std::uint64_t> m_expected_end;
  // With a producer the store carries out each sequence number once.
  std::string m_producer;
  std::uint64_t m_epoch = 0;
  std::uint64_t m_sequence = 0;
};

struct AppendResult {
  StoreFault m_fault = StoreFault::kNone;
  std::string m_detail;  // What the store or the connection said, for logs.
  std::uint64_t m_offset = 0;
  std::uint64_t m_end = 0;  // Also after kCondition.
};

struct ReadResult {
  StoreFault m_fault = StoreFault::kNone;
  std::string m_detail;  // What the store or the connection said, for logs.
  std::vector<StreamRecord> m_records;
  std::uint64_t m_next = 0;   // Offset after the last record read.
  std::uint64_t m_first = 0;  // Oldest record that is kept, after kTrimmed.
};

// The platform's store. Callbacks come in the owner's task, never from within
// the call that they belong to.
class StreamPort {
 public:
  virtual ~StreamPort() = default;

  virtual void Append(StreamAppend append,
                      std::function<void(const AppendResult&)> done) = 0;

  // Reads from the offset; waits for a record for at most this long.
  virtual void Read(Stream stream, std::uint64_t from, Duration wait,
                    std::function<void(const ReadResult&)> done) = 0;

  // Reads the newest record of each key of a keyed stream.
  virtual void ReadNewest(Stream stream,
                          std::function<void(const ReadResult&)> done) = 0;
};

// Forms of the records that others write. Unreadable ones give nothing.
class RecordDecoder {
 public:
  virtual ~RecordDecoder() = default;

  // Configuration of the deployment; nothing for records of another kind.
  virtual std::optional<schema::Catalog> DecodeCatalog(
      const StreamRecord& record) const = 0;

  virtual std::optional<schema::EndpointEntry> DecodeEndpoint(
      const StreamRecord& record) const = 0;
};

// How a call on behalf of a duty ended.
enum class DutyResult {
  kAccepted,
  kFenced,      // Another holder has used a higher fencing number.
  kRefused,     // Not carried out.
  kUnanswered,  // It may have been carried out, or may be later.
};

template <>
struct EnumNames<DutyResult> {
  static constexpr std::array<EnumName<DutyResult>, 4> kTable{
      {{DutyResult::kAccepted, "accepted"},
       {DutyResult::kFenced, "fenced"},
       {DutyResult::kRefused, "refused"},
       {DutyResult::kUnanswered, "unanswered"}}};
};

// Who makes a duty call.
struct DutyHolder {
  std::string m_name;
  std::uint64_t m_fencing_number = 0;
};

struct EndpointOrder {
  std::string m_service;
  std::string m_zone;
  std::uint32_t m_count = 0;
  bool m_cheap = false;
};

// Calls to the platform that one instance makes at a time.
class DutyPort {
 public:
  using Done = std::function<void(DutyResult)>;

  virtual ~DutyPort() = default;

  virtual void ReportUsage(const DutyHolder& holder,
                           const schema::FixedWindow& window, Done done) = 0;

  virtual void OrderEndpoints(const DutyHolder& holder,
                              const EndpointOrder& order, Done done) = 0;
};

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_STREAM_H_
