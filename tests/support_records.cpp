#include "support_records.h"

namespace comfreypaddle::testing {
namespace {

constexpr std::string_view kFleetName = "fleet";

Endpoint MakeEndpoint(const std::string& name, bool checks_fencing) {
  Endpoint endpoint;
  endpoint.m_name = name;
  endpoint.m_fleet = kFleetName;
  endpoint.m_availability_zone = "zone-a";
  endpoint.m_address = "192.0.2.1:8" + name.substr(1);
  endpoint.m_checks_fencing = checks_fencing;
  return endpoint;
}

Route MakeRoute(const std::string& name) {
  Route route;
  route.m_name = name;
  route.m_model = name;
  route.m_fleet = kFleetName;
  return route;
}

}  // namespace

ConfigWrite Put(const Resource& resource, Position expected_version) {
  ConfigWrite write;
  write.m_kind = KindOf(resource);
  write.m_name = NameOf(resource);
  write.m_expected_version = expected_version;
  write.m_token = "put-" + std::string(ToName(write.m_kind)) + "-" +
                  write.m_name + "-" + std::to_string(expected_version);
  write.m_resource = resource;
  return write;
}

ConfigWrite Remove(ResourceKind kind, const std::string& name,
                   Position expected_version) {
  ConfigWrite write;
  write.m_kind = kind;
  write.m_name = name;
  write.m_expected_version = expected_version;
  write.m_remove = true;
  write.m_token = "remove-" + std::string(ToName(kind)) + "-" + name + "-" +
                  std::to_string(expected_version);
  return write;
}

std::vector<ConfigWrite> BaseWrites() {
  Fleet fleet;
  fleet.m_name = kFleetName;
  fleet.m_model = "model";
  return {Put(Workspace{"w"}, 0), Put(Model{"model"}, 0), Put(fleet, 0)};
}

RecordBatch RecordGenerator::NextBatch(const LogState& state) {
  const int writer = Pick(3);
  if (Pick(30) == 0) {
    ++m_incarnations[writer];
    m_sequences[writer] = 0;
    m_flushes[writer] = 0;
  }
  RecordBatch batch;
  batch.m_writer = {std::string(1, static_cast<char>('a' + writer)),
                    m_incarnations[writer]};
  batch.m_sequence = ++m_sequences[writer];
  for (int i = Pick(5); i >= 0; --i) {
    batch.m_records.push_back(NextRecord(state, batch.m_writer));
  }
  return batch;
}

Record RecordGenerator::NextRecord(const LogState& state,
                                   const Writer& writer) {
  switch (Pick(8)) {
    case 0: {
      const std::string duty = Pick(2) == 0 ? "usage" : OrdersDuty(kFleetName);
      const Lease* lease = FindLease(state.m_leases, duty);
      LeaseClaim claim =
          MakeClaim(lease, duty, writer, {std::chrono::seconds(3)});
      claim.m_release = Pick(10) == 0;
      if (Pick(5) == 0) claim.m_supersedes = 1;
      return claim;
    }
    case 1:
      return NextOrder(state);
    case 2:
    case 3:
      return NextUsage(state, writer);
    case 4:
      return RequestClaim{"w", "key-" + std::to_string(Pick(6)),
                          Pick(6) == 0 ? 2U : 1U, "r"};
    case 5:
      return RequestOutcome{"w", "key-" + std::to_string(Pick(6)),
                            static_cast<Outcome>(Pick(3)), 200};
    case 6:
      return SuspectReport{static_cast<std::uint64_t>(Pick(4)),
                           "e" + std::to_string(Pick(3)),
                           "crash-" + std::to_string(Pick(9)), Pick(4) == 0};
    default:
      return NextWrite(state.m_config.m_tables);
  }
}

ConfigWrite RecordGenerator::NextWrite(const Tables& tables) {
  const std::string name = std::to_string(Pick(3));
  Resource resource;
  switch (Pick(5)) {
    case 0:
      resource = Workspace{"w" + name, 1.0 + Pick(3)};
      break;
    case 1:
      resource = Key{"k" + name, "w" + name, std::string(64, name[0])};
      break;
    case 2:
      resource = MakeRoute("r" + name);
      break;
    default:
      resource = MakeEndpoint("e" + name, name != "0");
      break;
  }
  Position version = FindVersion(tables, KindOf(resource), NameOf(resource));
  if (Pick(5) == 0) version = static_cast<Position>(Pick(3));
  return Pick(4) == 0 ? Remove(KindOf(resource), NameOf(resource), version)
                      : Put(resource, version);
}

Record RecordGenerator::NextOrder(const LogState& state) {
  const std::string endpoint = "e" + std::to_string(Pick(3));
  const std::string order = "o" + std::to_string(Pick(1000));
  const auto found = state.m_orders.m_endpoints.find(endpoint);
  if (found != state.m_orders.m_endpoints.end() && Pick(2) == 0) {
    return OrderOutcome{endpoint, found->second.m_intent.m_order_id,
                        OrderState::kDone};
  }
  const Lease* lease = FindLease(state.m_leases, OrdersDuty(kFleetName));
  const Position number = lease == nullptr ? 0 : lease->m_fencing_number;
  return OrderIntent{endpoint, order, number, OrderKind::kSetRole, "decode"};
}

Record RecordGenerator::NextUsage(const LogState& state, const Writer& writer) {
  const Lease* lease = FindLease(state.m_leases, kUsageDuty);
  const std::uint64_t window = state.m_usage.m_last_window;
  switch (Pick(6)) {
    case 0:
      return UsageClose{window + 1,
                        lease == nullptr ? 0 : lease->m_fencing_number};
    case 1:
      return UsageReported{window};
    default:
      break;
  }
  // Some flushes are repeated, as by a peer with a backup, and some are out of
  // order.
  const int instance = Pick(3);
  const std::string name(1, static_cast<char>('a' + instance));
  const std::uint64_t incarnation =
      name == writer.m_name ? writer.m_incarnation : m_incarnations[instance];
  const std::uint64_t sequence =
      Pick(3) == 0 ? m_flushes[instance] + 1 : ++m_flushes[instance];
  // The contents depend only on the sequence number, so that repetitions match.
  return UsageFlush{{name, incarnation},
                    sequence,
                    {{"w", "r" + std::to_string(sequence % 3), sequence,
                      10 * sequence, 100 * sequence}}};
}

}  // namespace comfreypaddle::testing
