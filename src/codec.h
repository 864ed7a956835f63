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

// Converts to and from the microseconds of the monotonic clock used in messages
// between tasks.
std::int64_t EncodeInstant(Instant instant);

Instant DecodeInstant(std::int64_t microseconds);

// Encodes a resource as in the API and the log, with the version as its
// resource_version.
schema::Resource EncodeResource(const Resource& resource, Position version);

// Decodes a resource. Returns nothing and describes the reason in error, if
// given, when the resource has no kind or an enumeration field has an unknown
// value. Empty enumeration fields take their defaults, and a weight of zero
// means 1.
std::optional<Resource> DecodeResource(const schema::Resource& message,
                                       std::string* error = nullptr);

schema::Record EncodeRecord(const Record& record);

// Decodes a record. Returns std::monostate if the record is invalid or its kind
// is unknown.
Record DecodeRecord(const schema::Record& message);

// Serializes a batch to the body of a log entry.
std::string SerializeBatch(const RecordBatch& batch);

// Parses the body of a log entry. Returns nothing if it is not a valid batch.
std::optional<RecordBatch> ParseBatch(std::string_view body);

// Conversions of the parts of records that messages between tasks also contain.
schema::UsageFlush EncodeUsageFlush(const UsageFlush& flush);
UsageFlush DecodeUsageFlush(const schema::UsageFlush& message);
schema::UsageDelta EncodeUsageDelta(const UsageDelta& delta);
UsageDelta DecodeUsageDelta(const schema::UsageDelta& message);
schema::OrderIntent EncodeOrderIntent(const OrderIntent& intent);
std::optional<OrderIntent> DecodeOrderIntent(
    const schema::OrderIntent& message);

// Encodes the effects of applied records as messages between tasks.
schema::RecordVerdict EncodeVerdict(const RecordResult& result,
                                    std::uint64_t ticket);
schema::TableChange EncodeTableChange(const TableChange& change);
schema::LeaseChange EncodeLeaseChange(const LeaseChange& change);
schema::OrderChange EncodeOrderChange(const OrderChange& change);
schema::UsageWindow EncodeUsageWindow(const ClosedWindow& window);
schema::SuspectChange EncodeSuspectChange(const SuspectChange& change);

// Decodes messages between tasks. Returns nothing if the message has an unknown
// value.
std::optional<TableChange> DecodeTableChange(
    const schema::TableChange& message);
LeaseChange DecodeLeaseChange(const schema::LeaseChange& message);
SuspectReport DecodeSuspectChange(const schema::SuspectChange& message);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_CODEC_H_
