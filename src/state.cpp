#include "state.h"

#include <algorithm>
#include <utility>

namespace comfreypaddle {
namespace {

// Offsets between expiry passes over writers and instances.
constexpr std::uint64_t kExpiryIntervalOffsets = 1024;

// Visitor that applies the records of a batch and collects their effects.
struct RecordApplier {
  LogState& m_state;
  const Writer& m_writer;
  std::uint64_t m_offset;
  Instant m_read_at;
  std::uint32_t m_index = 0;
  std::vector<Effect> m_effects = {};

  Position At() const { return MakePosition(m_offset, m_index); }

  RecordResult& AddResult(Verdict verdict) {
    RecordResult record_result;
    record_result.m_index = m_index;
    record_result.m_position = At();
    record_result.m_verdict = verdict;
    return std::get<RecordResult>(m_effects.emplace_back(record_result));
  }

  void operator()(std::monostate /*unknown*/) { AddResult(Verdict::kInvalid); }

  void operator()(const LeaseClaim& claim) {
    const Verdict verdict =
        ApplyLeaseClaim(m_state.m_leases, m_writer, claim, At(), m_read_at);
    AddResult(verdict);
    if (verdict != Verdict::kGranted) return;
    m_effects.emplace_back(
        LeaseChange{claim.m_duty, m_state.m_leases.m_leases.at(claim.m_duty)});
  }

  void operator()(const ConfigWrite& write) {
    const bool blocked = write.m_remove &&
                         write.m_kind == ResourceKind::kEndpoint &&
                         HasOpenOrder(m_state.m_orders, write.m_name);
    ConfigResult result = blocked
                              ? RejectConfigWrite(m_state.m_config, write,
                                                  ConfigError::kOrderOpen)
                              : ApplyConfigWrite(m_state.m_config, write, At());
    RecordResult& record_result = AddResult(result.m_answer.m_verdict);
    record_result.m_error = result.m_answer.m_error;
    record_result.m_version = result.m_answer.m_version;
    if (!result.m_change) return;
    if (write.m_kind == ResourceKind::kEndpoint) {
      write.m_remove ? RetireEndpoint(m_state.m_orders, write.m_name)
                     : RestoreEndpoint(m_state.m_orders, write.m_name);
    }
    m_effects.emplace_back(*std::move(result.m_change));
  }

  void operator()(const OrderIntent& intent) {
    const Verdict verdict =
        ApplyOrderIntent(m_state.m_orders, m_state.m_config.m_tables,
                         m_state.m_leases, m_writer, intent, At());
    AddResult(verdict);
    AddOrderChange(verdict, intent.m_endpoint);
  }

  void operator()(const OrderOutcome& outcome) {
    const Verdict verdict =
        ApplyOrderOutcome(m_state.m_orders, m_state.m_config.m_tables,
                          m_state.m_leases, m_writer, outcome);
    AddResult(verdict);
    AddOrderChange(verdict, outcome.m_endpoint);
  }

  void operator()(const RequestClaim& claim) {
    const ClaimResult answer =
        ApplyClaim(m_state.m_claims, m_writer, claim, At());
    RecordResult& record_result = AddResult(answer.m_verdict);
    record_result.m_outcome = answer.m_outcome;
    record_result.m_status = answer.m_status;
  }

  void operator()(const RequestOutcome& outcome) {
    AddResult(ApplyOutcome(m_state.m_claims, m_writer, outcome));
  }

  void operator()(const UsageFlush& flush) {
    const Verdict verdict = ApplyUsageFlush(m_state.m_usage, flush, m_offset);
    AddResult(verdict);
    if (verdict == Verdict::kInvalid) return;
    m_effects.emplace_back(
        UsageFlushStored{flush.m_instance, flush.m_sequence});
  }

  void operator()(const UsageClose& close) {
    const CloseResult result = ApplyUsageClose(
        m_state.m_usage, m_state.m_leases, m_writer, close, At());
    AddResult(result.m_verdict);
    if (result.m_window == nullptr) return;
    m_effects.emplace_back(UsageWindowClosed{*result.m_window});
  }

  void operator()(const UsageReported& reported) {
    const Verdict verdict = ApplyUsageReported(m_state.m_usage, reported);
    AddResult(verdict);
    if (verdict != Verdict::kAccepted) return;
    m_effects.emplace_back(UsageWindowReported{reported.m_window});
  }

  void operator()(const SuspectReport& report) {
    AddResult(Verdict::kStored);
    if (!ApplySuspectReport(m_state.m_suspects, report, m_read_at)) return;
    m_effects.emplace_back(SuspectChange{report});
  }

  // A snapshot repeats this state; only a starting process reads it.
  void operator()(const SnapshotPart& /*part*/) { AddResult(Verdict::kStored); }

  void AddOrderChange(Verdict verdict, const std::string& endpoint) {
    if (verdict != Verdict::kAccepted) return;
    m_effects.emplace_back(
        OrderChange{m_state.m_orders.m_endpoints.at(endpoint)});
  }
};

// Returns whether the batch is newer than all earlier ones of its writer, and
// records it as the writer's last one if so.
bool AdvanceWriter(LogState& state, std::uint64_t offset,
                   const RecordBatch& batch) {
  WriterProgress& progress = state.m_writers[batch.m_writer.m_name];
  const auto last = std::make_pair(progress.m_incarnation, progress.m_sequence);
  const auto next =
      std::make_pair(batch.m_writer.m_incarnation, batch.m_sequence);
  if (next <= last) return false;
  progress = {batch.m_writer.m_incarnation, batch.m_sequence, offset};
  return true;
}

// Expiry depends only on offsets, so that all instances agree. Suspects expire
// by the local clock because no replicated decision depends on them.
void ExpireOldEntries(LogState& state, std::uint64_t offset, Instant read_at) {
  ExpireClaims(state.m_claims, offset);
  if (offset % kExpiryIntervalOffsets != 0) return;
  ExpireUsageInstances(state.m_usage, offset);
  ExpireSuspects(state.m_suspects, read_at);
  std::erase_if(state.m_writers, [offset](const auto& row) {
    return row.second.m_offset + kWriterRetentionOffsets < offset;
  });
}

void DiffOrders(const OrderTable& from, const OrderTable& to,
                std::vector<Effect>& effects) {
  for (const auto& [name, orders] : to.m_endpoints) {
    const auto found = from.m_endpoints.find(name);
    if (found != from.m_endpoints.end() &&
        found->second.m_position == orders.m_position &&
        found->second.m_open == orders.m_open) {
      continue;
    }
    effects.emplace_back(OrderChange{orders});
  }
}

void DiffUsage(const UsageState& from, const UsageState& to,
               std::vector<Effect>& effects) {
  for (const auto& [number, window] : to.m_unreported) {
    if (from.m_unreported.count(number) != 0) continue;
    effects.emplace_back(UsageWindowClosed{window});
  }
  for (const auto& [number, window] : from.m_unreported) {
    if (to.m_unreported.count(number) != 0) continue;
    effects.emplace_back(UsageWindowReported{number});
  }
}

void DiffSuspects(const SuspectTable& from, const SuspectTable& to,
                  std::vector<Effect>& effects) {
  for (const auto& [fingerprint, suspect] : to.m_suspects) {
    if (from.m_suspects.count(fingerprint) != 0) continue;
    for (const SuspectCrash& crash : suspect.m_crashes) {
      effects.emplace_back(SuspectChange{
          {fingerprint, crash.m_endpoint, crash.m_crash_id, false}});
    }
  }
}

}  // namespace

std::vector<Effect> ApplyBatch(LogState& state, std::uint64_t offset,
                               const RecordBatch& batch, Instant read_at) {
  SkipOffset(state, offset);
  ExpireOldEntries(state, offset, read_at);
  if (!AdvanceWriter(state, offset, batch)) return {};
  RecordApplier applier{state, batch.m_writer, offset, read_at};
  for (const Record& record : batch.m_records) {
    if (applier.m_index >= kRecordsPerOffset) break;
    std::visit(applier, record);
    ++applier.m_index;
  }
  return std::move(applier.m_effects);
}

void SkipOffset(LogState& state, std::uint64_t offset) {
  state.m_next_offset = offset + 1;
}

std::vector<Effect> DiffStates(const LogState& from, const LogState& to) {
  std::vector<Effect> effects;
  for (TableChange& change :
       DiffTables(from.m_config.m_tables, to.m_config.m_tables)) {
    effects.emplace_back(std::move(change));
  }
  for (const auto& [duty, lease] : to.m_leases.m_leases) {
    const Lease* known = FindLease(from.m_leases, duty);
    if (known != nullptr && known->m_position == lease.m_position) continue;
    effects.emplace_back(LeaseChange{duty, lease});
  }
  DiffOrders(from.m_orders, to.m_orders, effects);
  DiffUsage(from.m_usage, to.m_usage, effects);
  DiffSuspects(from.m_suspects, to.m_suspects, effects);
  return effects;
}

}  // namespace comfreypaddle
