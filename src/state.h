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

// Offsets for which the progress of an idle writer is kept: one day at 240
// appends per second.
inline constexpr std::uint64_t kWriterRetentionOffsets = 20'736'000;

// Last batch applied from a writer.
struct WriterProgress {
  std::uint64_t m_incarnation = 0;
  std::uint64_t m_sequence = 0;
  std::uint64_t m_offset = 0;
};

// Replicated state, built by applying the log's records in order. Processes
// that applied the same records have the same state, except for the instants
// in leases and suspects, which come from each process's own clock.
struct LogState {
  std::uint64_t m_next_offset = 1;  // First offset not applied yet.
  std::map<std::string, WriterProgress> m_writers;
  ConfigState m_config;
  LeaseTable m_leases;
  ClaimTable m_claims;
  UsageState m_usage;
  OrderTable m_orders;
  SuspectTable m_suspects;
};

// Result of applying one record of a batch.
struct RecordResult {
  std::uint32_t m_index = 0;
  Position m_position = 0;
  Verdict m_verdict = Verdict::kStored;
  ConfigError m_error = ConfigError::kNone;
  Position m_version = 0;                 // As in ConfigAnswer.
  Outcome m_outcome = Outcome::kUnknown;  // As in ClaimResult.
  std::uint32_t m_status = 0;
};

// A lease was claimed or released.
struct LeaseChange {
  std::string m_duty;
  Lease m_lease;
};

// An order intent or outcome was accepted.
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

// A usage flush is in the log, from this batch or an earlier one, so its
// backups can be dropped. Flushes of an incarnation too old for deduplication
// are not counted, and keeping their backups would not change that.
struct UsageFlushStored {
  Writer m_instance;
  std::uint64_t m_sequence = 0;
};

// A crash or completion report changed the suspect table.
struct SuspectChange {
  SuspectReport m_report;
};

using Effect = std::variant<RecordResult, TableChange, LeaseChange, OrderChange,
                            UsageWindowClosed, UsageWindowReported,
                            UsageFlushStored, SuspectChange>;

// Applies the batch at this offset, which must be the next one; read_at is the
// time at which this process read it. Returns the effects in record order; the
// result of a record precedes its other effects. A batch that repeats an
// earlier one, or that an older incarnation of the writer appended, has no
// effects. Records beyond kRecordsPerOffset are ignored.
std::vector<Effect> ApplyBatch(LogState& state, std::uint64_t offset,
                               const RecordBatch& batch, Instant read_at);

// Skips an offset whose body is not a valid batch.
void SkipOffset(LogState& state, std::uint64_t offset);

// Returns the effects that turn one state into a later one restored from a
// snapshot: changes of tables, leases, orders, windows and suspects. The
// results of the records in between are unknown.
std::vector<Effect> DiffStates(const LogState& from, const LogState& to);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_STATE_H_
