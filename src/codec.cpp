#include "codec.h"

#include <utility>

namespace comfreypaddle {
namespace {

constexpr std::int64_t kMicrosPerMilli = 1000;

std::string ToString(std::string_view name) { return std::string(name); }

// Converts an enumeration name to its value; an empty name gives the default.
// Describes the field and the name in error if the name is unknown.
template <typename E>
E ParseEnum(const std::string& name, E default_value, std::string_view field,
            std::string& error) {
  if (name.empty()) return default_value;
  const std::optional<E> value = FromName<E>(name);
  if (!value) error = std::string(field) + ": unknown value \"" + name + "\"";
  return value.value_or(default_value);
}

std::uint32_t ToMillis(Duration duration) {
  return static_cast<std::uint32_t>(duration.count() / kMicrosPerMilli);
}

Duration FromMillis(std::uint32_t millis) {
  return std::chrono::milliseconds(millis);
}

// Encodes each kind of resource into its field of the message.
struct ResourceEncoder {
  schema::Resource& m_out;

  void operator()(const Workspace& value) const {
    schema::Workspace& out = *m_out.mutable_workspace();
    out.set_name(value.m_name);
    out.set_weight(value.m_weight);
    out.set_queue_requests(value.m_queue_requests);
  }

  void operator()(const Key& value) const {
    schema::Key& out = *m_out.mutable_key();
    out.set_name(value.m_name);
    out.set_workspace(value.m_workspace);
    out.set_secret_sha256(value.m_secret_sha256);
  }

  void operator()(const Model& value) const {
    schema::Model& out = *m_out.mutable_model();
    out.set_name(value.m_name);
    out.set_version(value.m_version);
    out.set_weights(value.m_weights);
    out.set_kv_bytes_per_token(value.m_kv_bytes_per_token);
  }

  void operator()(const Adapter& value) const {
    schema::Adapter& out = *m_out.mutable_adapter();
    out.set_name(value.m_name);
    out.set_model(value.m_model);
    out.set_version(value.m_version);
    out.set_weights(value.m_weights);
  }

  void operator()(const Route& value) const {
    schema::Route& out = *m_out.mutable_route();
    out.set_name(value.m_name);
    out.set_model(value.m_model);
    out.set_path_prefix(value.m_path_prefix);
    out.set_fleet(value.m_fleet);
    out.set_open(value.m_open);
    out.set_repeatable(value.m_repeatable);
    for (const std::string& name : value.m_workspaces) out.add_workspaces(name);
    out.set_deadline_ms(ToMillis(value.m_deadline));
    out.set_priority(ToString(ToName(value.m_priority)));
    out.set_adapter(value.m_adapter);
  }

  void operator()(const Fleet& value) const {
    schema::Fleet& out = *m_out.mutable_fleet();
    out.set_name(value.m_name);
    out.set_kind(ToString(ToName(value.m_kind)));
    out.set_model(value.m_model);
    out.set_replicas(value.m_replicas);
    out.set_cheap_share(value.m_cheap_share);
    for (const std::string& zone : value.m_zones) out.add_zones(zone);
    out.set_concurrency(value.m_concurrency);
    out.set_prefill_share(value.m_prefill_share);
    out.set_prefill_tokens_per_s(value.m_prefill_tokens_per_s);
    out.set_decode_tokens_per_s(value.m_decode_tokens_per_s);
    out.set_min_replicas(value.m_min_replicas);
  }

  void operator()(const Endpoint& value) const {
    schema::Endpoint& out = *m_out.mutable_endpoint();
    out.set_name(value.m_name);
    out.set_fleet(value.m_fleet);
    out.set_availability_zone(value.m_availability_zone);
    out.set_region(value.m_region);
    out.set_address(value.m_address);
    out.set_endpoint_class(ToString(ToName(value.m_class)));
    out.set_checks_fencing(value.m_checks_fencing);
    out.set_role(ToString(ToName(value.m_role)));
    out.set_draining(value.m_draining);
    out.set_provided(value.m_provided);
  }
};

Workspace Decode(const schema::Workspace& in) {
  return {in.name(), in.weight() == 0.0 ? 1.0 : in.weight(),
          in.queue_requests()};
}

Key Decode(const schema::Key& in) {
  return {in.name(), in.workspace(), in.secret_sha256()};
}

Model Decode(const schema::Model& in) {
  return {in.name(), in.version(), in.weights(), in.kv_bytes_per_token()};
}

Adapter Decode(const schema::Adapter& in) {
  return {in.name(), in.model(), in.version(), in.weights()};
}

Route Decode(const schema::Route& in, std::string& error) {
  Route route;
  route.m_name = in.name();
  route.m_model = in.model();
  route.m_path_prefix = in.path_prefix();
  route.m_fleet = in.fleet();
  route.m_open = in.open();
  route.m_repeatable = in.repeatable();
  route.m_workspaces.assign(in.workspaces().begin(), in.workspaces().end());
  route.m_deadline = FromMillis(in.deadline_ms());
  route.m_priority =
      ParseEnum(in.priority(), Priority::kNormal, "priority", error);
  route.m_adapter = in.adapter();
  return route;
}

Fleet Decode(const schema::Fleet& in, std::string& error) {
  Fleet fleet;
  fleet.m_name = in.name();
  fleet.m_kind = ParseEnum(in.kind(), FleetKind::kEngine, "kind", error);
  fleet.m_model = in.model();
  fleet.m_replicas = in.replicas();
  fleet.m_cheap_share = in.cheap_share();
  fleet.m_zones.assign(in.zones().begin(), in.zones().end());
  fleet.m_concurrency = in.concurrency();
  fleet.m_prefill_share = in.prefill_share();
  fleet.m_prefill_tokens_per_s = in.prefill_tokens_per_s();
  fleet.m_decode_tokens_per_s = in.decode_tokens_per_s();
  fleet.m_min_replicas = in.min_replicas();
  return fleet;
}

Endpoint Decode(const schema::Endpoint& in, std::string& error) {
  Endpoint endpoint;
  endpoint.m_name = in.name();
  endpoint.m_fleet = in.fleet();
  endpoint.m_availability_zone = in.availability_zone();
  endpoint.m_region = in.region();
  endpoint.m_address = in.address();
  endpoint.m_class = ParseEnum(in.endpoint_class(), EndpointClass::kOnDemand,
                               "endpoint_class", error);
  endpoint.m_checks_fencing = in.checks_fencing();
  endpoint.m_role = ParseEnum(in.role(), EndpointRole::kMixed, "role", error);
  endpoint.m_draining = in.draining();
  endpoint.m_provided = in.provided();
  return endpoint;
}

// Encodes each kind of record into its field of the message.
struct RecordEncoder {
  schema::Record& m_out;

  void operator()(std::monostate /*unknown*/) const {}

  void operator()(const LeaseClaim& value) const {
    schema::LeaseClaim& out = *m_out.mutable_lease_claim();
    out.set_duty(value.m_duty);
    out.set_holder(value.m_holder);
    out.set_supersedes(value.m_supersedes);
    out.set_term_ms(ToMillis(value.m_term));
    out.set_release(value.m_release);
  }

  void operator()(const ConfigWrite& value) const {
    schema::ConfigWrite& out = *m_out.mutable_config_write();
    out.set_token(value.m_token);
    out.set_kind(ToString(ToName(value.m_kind)));
    out.set_name(value.m_name);
    out.set_expected_version(value.m_expected_version);
    out.set_remove(value.m_remove);
    if (value.m_remove) return;
    *out.mutable_resource() = EncodeResource(value.m_resource, 0);
  }

  void operator()(const OrderIntent& value) const {
    *m_out.mutable_order_intent() = EncodeOrderIntent(value);
  }

  void operator()(const OrderOutcome& value) const {
    schema::OrderOutcome& out = *m_out.mutable_order_outcome();
    out.set_endpoint(value.m_endpoint);
    out.set_order_id(value.m_order_id);
    out.set_state(ToString(ToName(value.m_state)));
  }

  void operator()(const RequestClaim& value) const {
    schema::RequestClaim& out = *m_out.mutable_request_claim();
    out.set_workspace(value.m_workspace);
    out.set_idempotency_key(value.m_idempotency_key);
    out.set_fingerprint(value.m_fingerprint);
    out.set_request_id(value.m_request_id);
  }

  void operator()(const RequestOutcome& value) const {
    schema::RequestOutcome& out = *m_out.mutable_request_outcome();
    out.set_workspace(value.m_workspace);
    out.set_idempotency_key(value.m_idempotency_key);
    out.set_outcome(ToString(ToName(value.m_outcome)));
    out.set_status(value.m_status);
    out.set_request_id(value.m_request_id);
  }

  void operator()(const UsageFlush& value) const {
    *m_out.mutable_usage_flush() = EncodeUsageFlush(value);
  }

  void operator()(const UsageClose& value) const {
    m_out.mutable_usage_close()->set_window(value.m_window);
    m_out.mutable_usage_close()->set_fencing_number(value.m_fencing_number);
  }

  void operator()(const UsageReported& value) const {
    m_out.mutable_usage_reported()->set_window(value.m_window);
  }

  void operator()(const SuspectReport& value) const {
    schema::SuspectReport& out = *m_out.mutable_suspect_report();
    out.set_fingerprint(value.m_fingerprint);
    out.set_endpoint(value.m_endpoint);
    out.set_crash_id(value.m_crash_id);
    out.set_cleared(value.m_cleared);
  }

  void operator()(const SnapshotPart& value) const {
    schema::SnapshotPart& out = *m_out.mutable_snapshot_part();
    out.set_covers(value.m_covers);
    out.set_part(value.m_part);
    out.set_parts(value.m_parts);
    out.set_data(value.m_data);
  }
};

Record DecodeLeaseClaim(const schema::LeaseClaim& in) {
  return LeaseClaim{in.duty(), in.holder(), in.supersedes(),
                    FromMillis(in.term_ms()), in.release()};
}

Record DecodeConfigWrite(const schema::ConfigWrite& in) {
  const std::optional<ResourceKind> kind = FromName<ResourceKind>(in.kind());
  if (!kind) return std::monostate();
  ConfigWrite write{in.token(),  *kind,      in.name(), in.expected_version(),
                    in.remove(), Workspace()};
  if (write.m_remove) return write;
  std::optional<Resource> resource = DecodeResource(in.resource());
  if (!resource) return std::monostate();
  write.m_resource = *std::move(resource);
  return write;
}

Record DecodeOrderOutcome(const schema::OrderOutcome& in) {
  const std::optional<OrderState> state = FromName<OrderState>(in.state());
  if (!state) return std::monostate();
  return OrderOutcome{in.endpoint(), in.order_id(), *state};
}

Record DecodeRequestOutcome(const schema::RequestOutcome& in) {
  const std::optional<Outcome> outcome = FromName<Outcome>(in.outcome());
  if (!outcome) return std::monostate();
  return RequestOutcome{in.workspace(), in.idempotency_key(), *outcome,
                        in.status(), in.request_id()};
}

}  // namespace

std::int64_t EncodeInstant(Instant instant) {
  return instant.time_since_epoch().count();
}

Instant DecodeInstant(std::int64_t microseconds) {
  return Instant(Duration(microseconds));
}

schema::Resource EncodeResource(const Resource& resource, Position version) {
  schema::Resource message;
  message.set_resource_version(version);
  std::visit(ResourceEncoder{message}, resource);
  return message;
}

std::optional<Resource> DecodeResource(const schema::Resource& message,
                                       std::string* error) {
  std::string detail;
  Resource resource;
  switch (message.body_case()) {
    case schema::Resource::kWorkspace:
      resource = Decode(message.workspace());
      break;
    case schema::Resource::kKey:
      resource = Decode(message.key());
      break;
    case schema::Resource::kModel:
      resource = Decode(message.model());
      break;
    case schema::Resource::kAdapter:
      resource = Decode(message.adapter());
      break;
    case schema::Resource::kRoute:
      resource = Decode(message.route(), detail);
      break;
    case schema::Resource::kFleet:
      resource = Decode(message.fleet(), detail);
      break;
    case schema::Resource::kEndpoint:
      resource = Decode(message.endpoint(), detail);
      break;
    case schema::Resource::BODY_NOT_SET:
      detail = "the resource is of no kind";
      break;
  }
  if (detail.empty()) return resource;
  if (error != nullptr) *error = detail;
  return std::nullopt;
}

schema::Record EncodeRecord(const Record& record) {
  schema::Record message;
  std::visit(RecordEncoder{message}, record);
  return message;
}

Record DecodeRecord(const schema::Record& message) {
  switch (message.body_case()) {
    case schema::Record::kLeaseClaim:
      return DecodeLeaseClaim(message.lease_claim());
    case schema::Record::kConfigWrite:
      return DecodeConfigWrite(message.config_write());
    case schema::Record::kOrderIntent: {
      auto intent = DecodeOrderIntent(message.order_intent());
      return intent ? Record(*std::move(intent)) : Record();
    }
    case schema::Record::kOrderOutcome:
      return DecodeOrderOutcome(message.order_outcome());
    case schema::Record::kRequestClaim: {
      const schema::RequestClaim& in = message.request_claim();
      return RequestClaim{in.workspace(), in.idempotency_key(),
                          in.fingerprint(), in.request_id()};
    }
    case schema::Record::kRequestOutcome:
      return DecodeRequestOutcome(message.request_outcome());
    case schema::Record::kUsageFlush:
      return DecodeUsageFlush(message.usage_flush());
    case schema::Record::kUsageClose:
      return UsageClose{message.usage_close().window(),
                        message.usage_close().fencing_number()};
    case schema::Record::kUsageReported:
      return UsageReported{message.usage_reported().window()};
    case schema::Record::kSuspectReport: {
      const schema::SuspectReport& in = message.suspect_report();
      return SuspectReport{in.fingerprint(), in.endpoint(), in.crash_id(),
                           in.cleared()};
    }
    case schema::Record::kSnapshotPart: {
      const schema::SnapshotPart& in = message.snapshot_part();
      return SnapshotPart{in.covers(), in.part(), in.parts(), in.data()};
    }
    case schema::Record::BODY_NOT_SET:
      break;
  }
  return std::monostate();
}

std::string SerializeBatch(const RecordBatch& batch) {
  schema::RecordBatch message;
  message.set_writer(batch.m_writer.m_name);
  message.set_incarnation(batch.m_writer.m_incarnation);
  message.set_sequence(batch.m_sequence);
  for (const Record& record : batch.m_records) {
    *message.add_records() = EncodeRecord(record);
  }
  return message.SerializeAsString();
}

std::optional<RecordBatch> ParseBatch(std::string_view body) {
  schema::RecordBatch message;
  if (!message.ParseFromArray(body.data(), static_cast<int>(body.size()))) {
    return std::nullopt;
  }
  if (message.writer().empty()) return std::nullopt;
  RecordBatch batch;
  batch.m_writer = {message.writer(), message.incarnation()};
  batch.m_sequence = message.sequence();
  batch.m_records.reserve(message.records().size());
  for (const schema::Record& record : message.records()) {
    batch.m_records.push_back(DecodeRecord(record));
  }
  return batch;
}

schema::UsageFlush EncodeUsageFlush(const UsageFlush& flush) {
  schema::UsageFlush message;
  message.set_instance(flush.m_instance.m_name);
  message.set_incarnation(flush.m_instance.m_incarnation);
  message.set_sequence(flush.m_sequence);
  for (const UsageDelta& delta : flush.m_deltas) {
    *message.add_deltas() = EncodeUsageDelta(delta);
  }
  return message;
}

UsageFlush DecodeUsageFlush(const schema::UsageFlush& message) {
  UsageFlush flush;
  flush.m_instance = {message.instance(), message.incarnation()};
  flush.m_sequence = message.sequence();
  flush.m_deltas.reserve(message.deltas().size());
  for (const schema::UsageDelta& delta : message.deltas()) {
    flush.m_deltas.push_back(DecodeUsageDelta(delta));
  }
  return flush;
}

schema::UsageDelta EncodeUsageDelta(const UsageDelta& delta) {
  schema::UsageDelta message;
  message.set_workspace(delta.m_workspace);
  message.set_target(delta.m_target);
  message.set_requests(delta.m_requests);
  message.set_prompt_tokens(delta.m_prompt_tokens);
  message.set_output_tokens(delta.m_output_tokens);
  return message;
}

UsageDelta DecodeUsageDelta(const schema::UsageDelta& message) {
  return {message.workspace(), message.target(), message.requests(),
          message.prompt_tokens(), message.output_tokens()};
}

schema::OrderIntent EncodeOrderIntent(const OrderIntent& intent) {
  schema::OrderIntent message;
  message.set_endpoint(intent.m_endpoint);
  message.set_order_id(intent.m_order_id);
  message.set_fencing_number(intent.m_fencing_number);
  message.set_kind(ToString(ToName(intent.m_kind)));
  message.set_argument(intent.m_argument);
  return message;
}

std::optional<OrderIntent> DecodeOrderIntent(
    const schema::OrderIntent& message) {
  const std::optional<OrderKind> kind = FromName<OrderKind>(message.kind());
  if (!kind) return std::nullopt;
  return OrderIntent{message.endpoint(), message.order_id(),
                     message.fencing_number(), *kind, message.argument()};
}

schema::RecordVerdict EncodeVerdict(const RecordResult& result,
                                    std::uint64_t ticket) {
  schema::RecordVerdict message;
  message.set_ticket(ticket);
  message.set_verdict(ToString(ToName(result.m_verdict)));
  message.set_position(result.m_position);
  message.set_current_version(result.m_version);
  message.set_outcome(ToString(ToName(result.m_outcome)));
  message.set_status(result.m_status);
  if (result.m_error != ConfigError::kNone) {
    message.set_reason(ToString(ToName(result.m_error)));
  }
  return message;
}

schema::TableChange EncodeTableChange(const TableChange& change) {
  schema::TableChange message;
  message.set_version(change.m_version);
  message.set_remove(change.m_remove);
  message.set_kind(ToString(ToName(change.m_kind)));
  message.set_name(change.m_name);
  *message.mutable_resource() =
      EncodeResource(change.m_resource, change.m_version);
  message.set_from_snapshot(change.m_from_snapshot);
  return message;
}

schema::LeaseChange EncodeLeaseChange(const LeaseChange& change) {
  schema::LeaseChange message;
  message.set_duty(change.m_duty);
  message.set_holder(change.m_lease.m_holder.m_name);
  message.set_incarnation(change.m_lease.m_holder.m_incarnation);
  message.set_fencing_number(change.m_lease.m_fencing_number);
  message.set_position(change.m_lease.m_position);
  message.set_term_ms(ToMillis(change.m_lease.m_term));
  message.set_read_us(EncodeInstant(change.m_lease.m_read_at));
  return message;
}

schema::OrderChange EncodeOrderChange(const OrderChange& change) {
  const EndpointOrders& orders = change.m_orders;
  schema::OrderChange message;
  *message.mutable_intent() = EncodeOrderIntent(orders.m_intent);
  message.set_position(orders.m_position);
  if (orders.m_open) return message;
  schema::OrderOutcome& outcome = *message.mutable_outcome();
  outcome.set_endpoint(orders.m_intent.m_endpoint);
  outcome.set_order_id(orders.m_intent.m_order_id);
  outcome.set_state(ToString(ToName(orders.m_state)));
  return message;
}

schema::UsageWindow EncodeUsageWindow(const ClosedWindow& window) {
  schema::UsageWindow message;
  message.set_window(window.m_window);
  message.set_position(window.m_position);
  message.set_fencing_number(window.m_fencing_number);
  for (const UsageDelta& delta : window.m_figures) {
    *message.add_figures() = EncodeUsageDelta(delta);
  }
  return message;
}

schema::SuspectChange EncodeSuspectChange(const SuspectChange& change) {
  schema::SuspectChange message;
  message.set_fingerprint(change.m_report.m_fingerprint);
  message.set_endpoint(change.m_report.m_endpoint);
  message.set_crash_id(change.m_report.m_crash_id);
  message.set_cleared(change.m_report.m_cleared);
  return message;
}

std::optional<TableChange> DecodeTableChange(
    const schema::TableChange& message) {
  const std::optional<ResourceKind> kind =
      FromName<ResourceKind>(message.kind());
  std::optional<Resource> resource = DecodeResource(message.resource());
  if (!kind || !resource) return std::nullopt;
  return TableChange{
      message.version(), message.remove(),     *kind,
      message.name(),    *std::move(resource), message.from_snapshot()};
}

LeaseChange DecodeLeaseChange(const schema::LeaseChange& message) {
  Lease lease;
  lease.m_holder = {message.holder(), message.incarnation()};
  lease.m_fencing_number = message.fencing_number();
  lease.m_position = message.position();
  lease.m_term = FromMillis(message.term_ms());
  lease.m_read_at = DecodeInstant(message.read_us());
  return {message.duty(), lease};
}

SuspectReport DecodeSuspectChange(const schema::SuspectChange& message) {
  return {message.fingerprint(), message.endpoint(), message.crash_id(),
          message.cleared()};
}

}  // namespace comfreypaddle
