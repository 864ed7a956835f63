#ifndef COMFREYPADDLE_RECORD_H_
#define COMFREYPADDLE_RECORD_H_

#include <string>
#include <variant>
#include <vector>

#include "types.h"

namespace comfreypaddle {

// Any resource that operators create. The alternatives are in the order of
// ResourceKind.
using Resource =
    std::variant<Workspace, Key, Model, Adapter, Route, Fleet, Endpoint>;

// What the fold of the log made of a record, or what the journal knows about
// a record that was submitted.
enum class Verdict {
  kAccepted,        // The configuration write or the order record counts.
  kConflict,        // Another version of the resource is in force.
  kInvalid,         // The record contradicts the tables or the schema.
  kRepeated,        // The log held the record already.
  kNotFound,        // The record names something that does not exist.
  kUnavailable,     // A bound is reached or the log does not answer.
  kGranted,         // The lease or the idempotency key is the writer's.
  kHeldByOther,     // Another process holds the lease.
  kAlreadyClaimed,  // Another request holds the idempotency key.
  kStored,          // The record is in the log and needs no decision.
  kNotStored,       // The record was never sent.
  kUnknown,         // The record was sent; whether it is stored is not known.
  kStale,           // The record's authority is no longer in force.
  kBusy,            // The endpoint has an open order.
  kSpent,           // The endpoint has had the only order that it takes.
};

template <>
struct EnumNames<Verdict> {
  static constexpr std::array<EnumName<Verdict>, 15> kTable{
      {{Verdict::kAccepted, "accepted"},
       {Verdict::kConflict, "conflict"},
       {Verdict::kInvalid, "invalid"},
       {Verdict::kRepeated, "repeated"},
       {Verdict::kNotFound, "not_found"},
       {Verdict::kUnavailable, "unavailable"},
       {Verdict::kGranted, "granted"},
       {Verdict::kHeldByOther, "held_by_other"},
       {Verdict::kAlreadyClaimed, "already_claimed"},
       {Verdict::kStored, "stored"},
       {Verdict::kNotStored, "not_stored"},
       {Verdict::kUnknown, "unknown"},
       {Verdict::kStale, "stale"},
       {Verdict::kBusy, "busy"},
       {Verdict::kSpent, "spent"}}};
};

// Process that writes to the log. A process that starts again under the same
// name has a higher incarnation and is another writer.
struct Writer {
  std::string m_name;
  std::uint64_t m_incarnation = 0;

  friend bool operator==(const Writer&, const Writer&) = default;
};

struct LeaseClaim {
  std::string m_duty;
  std::string m_holder;
  // Position of the claim or release that this one replaces; zero for the
  // first.
  Position m_supersedes = 0;
  Duration m_term{0};
  bool m_release = false;
};

struct ConfigWrite {
  std::string m_token;  // The same token again is the same write.
  ResourceKind m_kind = ResourceKind::kWorkspace;
  std::string m_name;
  Position m_expected_version = 0;  // Zero if it must not exist.
  bool m_remove = false;
  Resource m_resource;  // Without meaning when m_remove is set.
};

struct OrderIntent {
  std::string m_endpoint;
  std::string m_order_id;
  Position m_fencing_number = 0;
  OrderKind m_kind = OrderKind::kLoadModel;
  std::string m_argument;
};

struct OrderOutcome {
  std::string m_endpoint;
  std::string m_order_id;
  OrderState m_state = OrderState::kUnknown;
};

struct RequestClaim {
  std::string m_workspace;
  std::string m_idempotency_key;
  std::uint64_t m_fingerprint = 0;
  std::string m_request_id;
};

struct RequestOutcome {
  std::string m_workspace;
  std::string m_idempotency_key;
  Outcome m_outcome = Outcome::kUnknown;
  std::uint32_t m_status = 0;
};

struct UsageDelta {
  std::string m_workspace;
  std::string m_target;  // Route name.
  std::uint64_t m_requests = 0;
  std::uint64_t m_prompt_tokens = 0;
  std::uint64_t m_output_tokens = 0;

  friend bool operator==(const UsageDelta&, const UsageDelta&) = default;
};

// Usage of one instance since its last flush. The writer of the record may be
// a peer that held the flush.
struct UsageFlush {
  Writer m_instance;
  std::uint64_t m_sequence = 0;  // Starts at 1 for each incarnation.
  std::vector<UsageDelta> m_deltas;
};

struct UsageClose {
  std::uint64_t m_window = 0;
  Position m_fencing_number = 0;
};

struct UsageReported {
  std::uint64_t m_window = 0;
};

struct SuspectReport {
  std::uint64_t m_fingerprint = 0;
  std::string m_endpoint;
  std::string m_crash_id;
  // True if the request completed at the endpoint, which clears it.
  bool m_cleared = false;
};

struct SnapshotPart {
  std::uint64_t m_covers = 0;  // First offset that the snapshot leaves out.
  std::uint32_t m_part = 0;
  std::uint32_t m_parts = 0;
  std::string m_data;
};

// Record of the log. std::monostate stands for a record of a kind that this
// version does not know; it keeps its place in the batch and has no effect.
using Record =
    std::variant<std::monostate, LeaseClaim, ConfigWrite, OrderIntent,
                 OrderOutcome, RequestClaim, RequestOutcome, UsageFlush,
                 UsageClose, UsageReported, SuspectReport, SnapshotPart>;

// One append. A batch that was appended twice has the same sequence number.
struct RecordBatch {
  Writer m_writer;
  std::uint64_t m_sequence = 0;
  std::vector<Record> m_records;
};

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_RECORD_H_
