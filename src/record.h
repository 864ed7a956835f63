#ifndef COMFREYPADDLE_RECORD_H_
#define COMFREYPADDLE_RECORD_H_

#include <string>
#include <variant>
#include <vector>

#include "types.h"

namespace comfreypaddle {

// Configuration resource created by operators. The alternatives are in the
// order of ResourceKind.
using Resource =
    std::variant<Workspace, Key, Model, Adapter, Route, Fleet, Endpoint>;

// Result of applying a record of the log, or what the journal knows about a
// submitted record.
enum class Verdict {
  kAccepted,        // The configuration write or order took effect.
  kConflict,        // The resource has another version.
  kInvalid,         // The record violates the tables or the schema.
  kRepeated,        // The log already contained the record.
  kNotFound,        // The record refers to something unknown.
  kUnavailable,     // A limit is reached or the log does not answer.
  kGranted,         // The writer got the lease or idempotency key.
  kHeldByOther,     // Another process holds the lease.
  kAlreadyClaimed,  // Another request has the idempotency key.
  kStored,          // The record is in the log; nothing to decide.
  kNotStored,       // The record was never sent.
  kUnknown,         // The record was sent and may be stored.
  kStale,           // The writer's lease or incarnation is outdated.
  kBusy,            // The endpoint has an open order.
  kSpent,           // The endpoint already got its only order.
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

// Process that writes to the log. A restarted process has the same name and a
// higher incarnation, which makes it another writer.
struct Writer {
  std::string m_name;
  std::uint64_t m_incarnation = 0;

  friend bool operator==(const Writer&, const Writer&) = default;
};

struct LeaseClaim {
  std::string m_duty;
  std::string m_holder;
  // Position of the claim or release that this one replaces, zero if there is
  // none.
  Position m_supersedes = 0;
  Duration m_term{0};
  bool m_release = false;
};

struct ConfigWrite {
  std::string m_token;  // Idempotency token.
  ResourceKind m_kind = ResourceKind::kWorkspace;
  std::string m_name;
  Position m_expected_version = 0;  // Zero if the resource must not exist.
  bool m_remove = false;
  Resource m_resource;  // Unused if m_remove is set.
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
  std::string m_request_id;  // As in the claim.
};

struct UsageDelta {
  std::string m_workspace;
  std::string m_target;  // Route name.
  std::uint64_t m_requests = 0;
  std::uint64_t m_prompt_tokens = 0;
  std::uint64_t m_output_tokens = 0;

  friend bool operator==(const UsageDelta&, const UsageDelta&) = default;
};

// Usage of an instance since its last flush. The record may be written by a
// peer that kept a backup of the flush.
struct UsageFlush {
  Writer m_instance;
  std::uint64_t m_sequence = 0;  // Starts at 1 in each incarnation.
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
  // Set if the request completed on the endpoint, which clears the suspicion.
  bool m_cleared = false;
};

struct SnapshotPart {
  std::uint64_t m_covers = 0;  // First offset that is not included.
  std::uint32_t m_part = 0;
  std::uint32_t m_parts = 0;
  std::string m_data;
};

// Record of the log. std::monostate represents a record of a kind unknown to
// this version; it keeps its index in the batch and has no effect.
using Record =
    std::variant<std::monostate, LeaseClaim, ConfigWrite, OrderIntent,
                 OrderOutcome, RequestClaim, RequestOutcome, UsageFlush,
                 UsageClose, UsageReported, SuspectReport, SnapshotPart>;

// Contents of a log entry. A retried append repeats the sequence number.
struct RecordBatch {
  Writer m_writer;
  std::uint64_t m_sequence = 0;
  std::vector<Record> m_records;
};

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_RECORD_H_
