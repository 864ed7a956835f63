#ifndef COMFREYPADDLE_CODEC_H_
#define COMFREYPADDLE_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "configstate.h"
#include "messages.pb.h"
#include "record.h"
#include "records.pb.h"
#include "resources.pb.h"
#include "state.h"

namespace comfreypaddle {

// Microseconds of the monotonic clock, as messages between tasks carry them.
std::int64_t EncodeInstant(Instant instant);

Instant DecodeInstant(std::int64_t microseconds);

// Resource in the form of the API and the log. The version goes into
// resource_version.
schema::Resource EncodeResource(const Resource& resource, Position version);

// Plain form of a resource. Returns nothing if it is of no kind or holds an
// unknown name of an enumerated value; mistake, if given, then says which.
// Empty names of enumerated values take the defaults, a weight of zero is 1.
std::optional<Resource> DecodeResource(const schema::Resource& message,
                                       std::string* mistake = nullptr);

schema::Record EncodeRecord(const Record& record);

// Plain form of a record; std::monostate for an unknown kind or a record that
// does not decode.
Record DecodeRecord(const schema::Record& message);

// Body of one append.
std::string SerializeBatch(const RecordBatch& batch);

// Batch of a log entry, or nothing if the body is not a batch.
std::optional<RecordBatch> ParseBatch(std::string_view body);

// Forms of parts of records that messages between tasks carry as well.
schema::UsageFlush EncodeUsageFlush(const UsageFlush& flush);
UsageFlush DecodeUsageFlush(const schema::UsageFlush& message);
schema::UsageDelta EncodeUsageDelta(const UsageDelta& delta);
UsageDelta DecodeUsageDelta(const schema::UsageDelta& message);
schema::OrderIntent EncodeOrderIntent(const OrderIntent& intent);
std::optional<OrderIntent> DecodeOrderIntent(
    const schema::OrderIntent& message);

// Effects of the fold in the form of messages between tasks.
schema::RecordVerdict EncodeFate(const RecordResult& fate,
                                 std::uint64_t ticket);
schema::TableChange EncodeTableChange(const TableChange& change);
schema::LeaseChange EncodeLeaseChange(const LeaseChange& change);
schema::OrderChange EncodeOrderChange(const OrderChange& change);
schema::UsageWindow EncodeUsageWindow(const ClosedWindow& window);
schema::SuspectChange EncodeSuspectChange(const SuspectChange& change);

// Plain forms for the tasks that receive them. Nothing for messages that this
// version cannot read.
std::optional<TableChange> DecodeTableChange(
    const schema::TableChange& message);
LeaseChange DecodeLeaseChange(const schema::LeaseChange& message);
SuspectReport DecodeSuspectChange(const schema::SuspectChange& message);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_CODEC_H_
