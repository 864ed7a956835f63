#ifndef COMFREYPADDLE_STATE_H_
#define COMFREYPADDLE_STATE_H_

#include <map>
#include <string>
#include <variant>
#include <vector>

#include "claim.h"
#include "configstate.h"
#include "lease.h"
#include "order.h"
#include "record.h"
#include "suspect.h"
#include "usage.h"

namespace comfreypaddle {

// Offsets after which a writer that appended nothing is forgotten: a day at
// 240 appends a second.
inline constexpr std::uint64_t kWriterRetentionOffsets = 20'736'000;

// Last batch of a writer that took effect.
struct WriterProgress {
  std::uint64_t m_incarnation = 0;
  std::uint64_t m_sequence = 0;
  std::uint64_t m_offset = 0;
};

// Everything that the log's records add up to. Two processes that folded the
// same records have the same state but for the instants in leases and
// suspects, which are readings of their own clocks.
struct LogState {
  std::uint64_t m_next_offset = 1;  // First offset that is not folded yet.
  std::map<std::string, WriterProgress> m_writers;
  ConfigState m_config;
  LeaseTable m_leases;
  ClaimTable m_claims;
  UsageState m_usage;
  OrderBook m_orders;
  SuspectTable m_suspects;
};

// What the fold made of one record of the batch.
struct RecordResult {
  std::uint32_t m_index = 0;
  Position m_position = 0;
  Verdict m_verdict = Verdict::kStored;
  ConfigError m_error = ConfigError::kNone;
  Position m_version = 0;                 // As in ConfigAnswer.
  Outcome m_outcome = Outcome::kUnknown;  // As in ClaimAnswer.
  std::uint32_t m_status = 0;
};

// A claim or release took effect.
struct LeaseChange {
  std::string m_duty;
  Lease m_lease;
};

// An intent or an outcome took effect.
struct OrderChange {
  EndpointOrders m_orders;
};

// A usage window was closed.
struct UsageWindowClosed {
  ClosedWindow m_window;
};

// A closed window was reported.
struct UsageWindowReported {
  std::uint64_t m_window = 0;
};

// A usage flush is in the log, whether stored now or before, so that nobody
// needs to hold it any more. Flushes of an incarnation that is too old to tell
// are not counted, but holding them any longer would not change that.
struct UsageFlushStored {
  Writer m_instance;
  std::uint64_t m_sequence = 0;
};

// A crash or a completion changed the table of suspects.
struct SuspectChange {
  SuspectReport m_report;
};

using Effect = std::variant<RecordResult, TableChange, LeaseChange, OrderChange,
                            UsageWindowClosed, UsageWindowReported,
                            UsageFlushStored, SuspectChange>;

// Folds the batch at this offset, which must be the next one; read_at is when
// this process read it. Returns the effects in the order of the records; the
// fate of a record comes before its other effects. A batch that repeats an
// earlier one, or that a replaced process wrote, has no effects. Batches hold
// at most kRecordsPerOffset records; more are ignored.
std::vector<Effect> ApplyBatch(LogState& state, std::uint64_t offset,
                               const RecordBatch& batch, Instant read_at);

// Passes over an offset whose body is not a valid batch.
void SkipOffset(LogState& state, std::uint64_t offset);

// Effects that lead from one state to a later one taken from a snapshot:
// changes of tables, leases, orders, windows and suspects. Fates of records
// in between are not known.
std::vector<Effect> DiffStates(const LogState& from, const LogState& to);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_STATE_H_
