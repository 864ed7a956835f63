#include "snapshot.h"

#include <algorithm>
#include <utility>

#include "codec.h"
#include "snapshot.pb.h"

namespace comfreypaddle {
namespace {

void EncodeWriters(const LogState& state, schema::Snapshot& out) {
  for (const auto& [name, mark] : state.m_writers) {
    schema::SnapshotWriter& writer = *out.add_writers();
    writer.set_name(name);
    writer.set_incarnation(mark.m_incarnation);
    writer.set_sequence(mark.m_sequence);
    writer.set_offset(mark.m_offset);
  }
}

void DecodeWriters(const schema::Snapshot& in, LogState& state) {
  for (const schema::SnapshotWriter& writer : in.writers()) {
    state.m_writers[writer.name()] = {writer.incarnation(), writer.sequence(),
                                      writer.offset()};
  }
}

void EncodeConfig(const ConfigState& config, schema::Snapshot& out) {
  out.set_config_version(config.m_tables.m_version);
  for (const EnumName<ResourceKind>& row : EnumNames<ResourceKind>::kTable) {
    for (const auto& found : ListResources(config.m_tables, row.m_value)) {
      *out.add_resources() = EncodeResource(found.m_value, found.m_version);
    }
  }
  for (const std::string& token : config.m_token_order) {
    const TokenAnswer& kept = config.m_answers.at(token);
    schema::SnapshotToken& entry = *out.add_tokens();
    entry.set_token(token);
    entry.set_kind(std::string(ToName(kept.m_kind)));
    entry.set_name(kept.m_name);
    entry.set_expected_version(kept.m_expected_version);
    entry.set_remove(kept.m_remove);
    entry.set_verdict(std::string(ToName(kept.m_answer.m_verdict)));
    entry.set_fault(std::string(ToName(kept.m_answer.m_error)));
    entry.set_version(kept.m_answer.m_version);
  }
}

bool DecodeResources(const schema::Snapshot& in, Tables& tables) {
  std::vector<TableChange> changes;
  for (const schema::Resource& message : in.resources()) {
    std::optional<Resource> resource = DecodeResource(message);
    if (!resource) return false;
    const ResourceKind kind = KindOf(*resource);
    std::string name = NameOf(*resource);
    changes.push_back({message.resource_version(), false, kind, std::move(name),
                       *std::move(resource)});
  }
  std::sort(changes.begin(), changes.end(),
            [](const TableChange& a, const TableChange& b) {
              return a.m_version < b.m_version;
            });
  for (const TableChange& change : changes) ApplyChange(tables, change);
  tables.m_version = in.config_version();
  return true;
}

bool DecodeTokens(const schema::Snapshot& in, ConfigState& config) {
  for (const schema::SnapshotToken& entry : in.tokens()) {
    const auto kind = FromName<ResourceKind>(entry.kind());
    const auto verdict = FromName<Verdict>(entry.verdict());
    const auto fault = FromName<ConfigError>(entry.fault());
    if (!kind || !verdict || !fault) return false;
    config.m_answers[entry.token()] = {*kind,
                                       entry.name(),
                                       entry.expected_version(),
                                       entry.remove(),
                                       {*verdict, *fault, entry.version()}};
    config.m_token_order.push_back(entry.token());
  }
  return true;
}

void EncodeLeases(const LeaseTable& table, schema::Snapshot& out) {
  for (const auto& [duty, lease] : table.m_leases) {
    schema::SnapshotLease& entry = *out.add_leases();
    entry.set_duty(duty);
    entry.set_holder(lease.m_holder.m_name);
    entry.set_incarnation(lease.m_holder.m_incarnation);
    entry.set_fencing_number(lease.m_fencing_number);
    entry.set_position(lease.m_position);
    entry.set_term_us(static_cast<std::uint64_t>(lease.m_term.count()));
  }
}

void DecodeLeases(const schema::Snapshot& in, Instant now, LeaseTable& table) {
  for (const schema::SnapshotLease& entry : in.leases()) {
    table.m_leases[entry.duty()] = {
        {entry.holder(), entry.incarnation()},
        entry.fencing_number(),
        entry.position(),
        Duration(static_cast<std::int64_t>(entry.term_us())),
        now};
  }
}

void EncodeClaims(const ClaimTable& table, schema::Snapshot& out) {
  for (const ClaimExpiry& age : table.m_expiry_queue) {
    const auto found = table.m_claims.find(age.m_id);
    // Skip outdated entries of claims that were replaced.
    if (found == table.m_claims.end() ||
        found->second.m_position != age.m_position) {
      continue;
    }
    const Claim& claim = found->second;
    schema::SnapshotClaim& entry = *out.add_claims();
    entry.set_id_high(age.m_id.m_high);
    entry.set_id_low(age.m_id.m_low);
    entry.set_position(claim.m_position);
    entry.set_fingerprint(claim.m_fingerprint);
    entry.set_owner(claim.m_owner);
    entry.set_workspace(claim.m_workspace);
    entry.set_outcome(static_cast<std::uint32_t>(claim.m_outcome));
    entry.set_status(claim.m_status);
  }
}

void DecodeClaims(const schema::Snapshot& in, ClaimTable& table) {
  table.m_claims.reserve(in.claims().size());
  for (const schema::SnapshotClaim& entry : in.claims()) {
    const ClaimId id{entry.id_high(), entry.id_low()};
    Claim& claim = table.m_claims[id];
    claim.m_position = entry.position();
    claim.m_fingerprint = entry.fingerprint();
    claim.m_owner = entry.owner();
    claim.m_workspace = entry.workspace();
    claim.m_outcome = static_cast<Outcome>(entry.outcome());
    claim.m_status = static_cast<std::uint16_t>(entry.status());
    ++table.m_workspace_claims[claim.m_workspace];
    table.m_expiry_queue.push_back({claim.m_position, id});
  }
}

void EncodeUsage(const UsageState& usage, schema::Snapshot& out) {
  for (const auto& [name, instance] : usage.m_instances) {
    schema::SnapshotUsageInstance& entry = *out.add_usage_instances();
    entry.set_name(name);
    entry.set_first_incarnation(instance.m_first_incarnation);
    entry.set_last_offset(instance.m_last_offset);
    for (const auto& [incarnation, set] : instance.m_seen) {
      schema::SnapshotSequences& seen = *entry.add_seen();
      seen.set_incarnation(incarnation);
      seen.set_floor(set.m_floor);
      for (const std::uint64_t sequence : set.m_above) seen.add_above(sequence);
    }
  }
  for (const auto& [key, sum] : usage.m_open) {
    *out.add_usage_open() =
        EncodeUsageDelta({key.first, key.second, sum.m_requests,
                          sum.m_prompt_tokens, sum.m_output_tokens});
  }
  for (const auto& [number, window] : usage.m_unreported) {
    schema::SnapshotWindow& entry = *out.add_unreported();
    entry.set_window(number);
    entry.set_position(window.m_position);
    entry.set_fencing_number(window.m_fencing_number);
    for (const UsageDelta& delta : window.m_figures) {
      *entry.add_figures() = EncodeUsageDelta(delta);
    }
  }
  out.set_last_window(usage.m_last_window);
}

void DecodeUsage(const schema::Snapshot& in, UsageState& usage) {
  for (const schema::SnapshotUsageInstance& entry : in.usage_instances()) {
    UsageInstance& instance = usage.m_instances[entry.name()];
    instance.m_first_incarnation = entry.first_incarnation();
    instance.m_last_offset = entry.last_offset();
    for (const schema::SnapshotSequences& seen : entry.seen()) {
      SequenceSet& set = instance.m_seen[seen.incarnation()];
      set.m_floor = seen.floor();
      set.m_above.insert(seen.above().begin(), seen.above().end());
    }
  }
  for (const schema::UsageDelta& delta : in.usage_open()) {
    usage.m_open[{delta.workspace(), delta.target()}] = {
        delta.requests(), delta.prompt_tokens(), delta.output_tokens()};
  }
  for (const schema::SnapshotWindow& entry : in.unreported()) {
    ClosedWindow& window = usage.m_unreported[entry.window()];
    window.m_window = entry.window();
    window.m_position = entry.position();
    window.m_fencing_number = entry.fencing_number();
    for (const schema::UsageDelta& delta : entry.figures()) {
      window.m_figures.push_back(DecodeUsageDelta(delta));
    }
  }
  usage.m_last_window = in.last_window();
}

void EncodeOrders(const OrderTable& book, schema::Snapshot& out) {
  for (const auto& [name, orders] : book.m_endpoints) {
    schema::SnapshotOrders& entry = *out.add_orders();
    *entry.mutable_intent() = EncodeOrderIntent(orders.m_intent);
    entry.set_position(orders.m_position);
    entry.set_open(orders.m_open);
    entry.set_state(std::string(ToName(orders.m_state)));
    entry.set_count(orders.m_count);
  }
  for (const std::string& name : book.m_retired) {
    out.add_retired_endpoints(name);
  }
}

bool DecodeOrders(const schema::Snapshot& in, OrderTable& book) {
  for (const schema::SnapshotOrders& entry : in.orders()) {
    auto intent = DecodeOrderIntent(entry.intent());
    const auto state = FromName<OrderState>(entry.state());
    if (!intent || !state) return false;
    const std::string name = intent->m_endpoint;
    book.m_endpoints[name] = {*std::move(intent), entry.position(),
                              entry.open(), *state, entry.count()};
  }
  book.m_retired.assign(in.retired_endpoints().begin(),
                        in.retired_endpoints().end());
  return true;
}

void EncodeSuspects(const SuspectTable& table, Instant now,
                    schema::Snapshot& out) {
  for (const auto& [fingerprint, suspect] : table.m_suspects) {
    schema::SnapshotSuspect& entry = *out.add_suspects();
    entry.set_fingerprint(fingerprint);
    for (const SuspectCrash& crash : suspect.m_crashes) {
      entry.add_endpoints(crash.m_endpoint);
      entry.add_crash_ids(crash.m_crash_id);
    }
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
        now - suspect.m_last_crash);
    entry.set_age_ms(
        static_cast<std::uint64_t>(std::max<std::int64_t>(age.count(), 0)));
  }
}

void DecodeSuspects(const schema::Snapshot& in, Instant now,
                    SuspectTable& table) {
  for (const schema::SnapshotSuspect& entry : in.suspects()) {
    Suspect& suspect = table.m_suspects[entry.fingerprint()];
    suspect.m_last_crash = now - std::chrono::milliseconds(entry.age_ms());
    const int count = std::min(entry.endpoints_size(), entry.crash_ids_size());
    for (int i = 0; i < count; ++i) {
      suspect.m_crashes.push_back({entry.endpoints(i), entry.crash_ids(i)});
    }
  }
}

}  // namespace

std::string EncodeSnapshot(const LogState& state, Instant now) {
  schema::Snapshot out;
  out.set_next_offset(state.m_next_offset);
  EncodeWriters(state, out);
  EncodeConfig(state.m_config, out);
  EncodeLeases(state.m_leases, out);
  EncodeClaims(state.m_claims, out);
  EncodeUsage(state.m_usage, out);
  EncodeOrders(state.m_orders, out);
  EncodeSuspects(state.m_suspects, now, out);
  return out.SerializeAsString();
}

std::optional<LogState> DecodeSnapshot(std::string_view data, Instant now) {
  schema::Snapshot in;
  if (!in.ParseFromArray(data.data(), static_cast<int>(data.size()))) {
    return std::nullopt;
  }
  LogState state;
  state.m_next_offset = in.next_offset();
  DecodeWriters(in, state);
  if (!DecodeResources(in, state.m_config.m_tables)) return std::nullopt;
  if (!DecodeTokens(in, state.m_config)) return std::nullopt;
  DecodeLeases(in, now, state.m_leases);
  DecodeClaims(in, state.m_claims);
  DecodeUsage(in, state.m_usage);
  if (!DecodeOrders(in, state.m_orders)) return std::nullopt;
  DecodeSuspects(in, now, state.m_suspects);
  return state;
}

std::vector<SnapshotPart> SplitSnapshot(const std::string& data,
                                        std::uint64_t covers) {
  std::vector<SnapshotPart> parts;
  for (std::size_t start = 0; start == 0 || start < data.size();
       start += kSnapshotPartBytes) {
    const auto index = static_cast<std::uint32_t>(parts.size());
    parts.push_back({covers, index, 0, data.substr(start, kSnapshotPartBytes)});
  }
  for (SnapshotPart& part : parts) {
    part.m_parts = static_cast<std::uint32_t>(parts.size());
  }
  return parts;
}

void CollectParts(SnapshotCollector& collector, const RecordBatch& batch) {
  for (const Record& record : batch.m_records) {
    const auto* part = std::get_if<SnapshotPart>(&record);
    if (part == nullptr) continue;
    const SnapshotCollector::Key key{part->m_covers, batch.m_writer.m_name,
                                     batch.m_writer.m_incarnation};
    auto& parts = collector.m_parts[key];
    parts[part->m_part] = *part;
    if (parts.size() < part->m_parts) continue;
    // A complete snapshot supersedes the older ones.
    collector.m_parts.erase(collector.m_parts.begin(),
                            collector.m_parts.find(key));
  }
}

std::optional<std::string> NewestSnapshot(const SnapshotCollector& collector,
                                          std::uint64_t covers_at_least) {
  for (auto it = collector.m_parts.rbegin(); it != collector.m_parts.rend();
       ++it) {
    const auto& parts = it->second;
    if (std::get<0>(it->first) < covers_at_least) break;
    if (parts.size() != parts.begin()->second.m_parts) continue;
    std::string data;
    for (const auto& [index, part] : parts) data += part.m_data;
    return data;
  }
  return std::nullopt;
}

}  // namespace comfreypaddle
