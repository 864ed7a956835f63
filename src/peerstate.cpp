#include "peerstate.h"

#include <algorithm>
#include <cmath>
#include <vector>

#include "base64.h"

namespace comfreypaddle {
namespace {

using std::chrono::milliseconds;

// Rounds up, so that no age is understated.
std::uint64_t ToMilliseconds(Duration age) {
  return static_cast<std::uint64_t>(
      std::chrono::ceil<milliseconds>(std::max(age, Duration(0))).count());
}

// Limited to one day, so that no input can overflow the clock.
Duration FromMilliseconds(std::uint64_t age_ms) {
  constexpr std::uint64_t kDayMs = 86'400'000;
  return milliseconds(std::min(age_ms, kDayMs));
}

double ServiceChange(const schema::WorkspaceService& now,
                     const ServiceDigestState& told) {
  const auto known = told.m_last_reported.find({now.fleet(), now.workspace()});
  if (known == told.m_last_reported.end()) return now.served() + now.waiting();
  return std::abs(now.served() - known->second.served()) +
         std::abs(now.waiting() - known->second.waiting());
}

}  // namespace

schema::PeerState EncodeReport(const PeerReport& report) {
  schema::PeerState state;
  state.set_instance(report.m_name);
  state.set_region(report.m_region);
  state.set_incarnation(report.m_incarnation);
  state.set_next_offset(report.m_next_offset);
  state.set_known_offset(report.m_known_offset);
  state.set_sequence(report.m_sequence);
  state.set_log_reachable(report.m_log_reachable);
  state.set_log_confirmed(report.m_log_age.has_value());
  if (report.m_log_age) state.set_log_age_ms(ToMilliseconds(*report.m_log_age));
  state.set_draining(report.m_draining);
  for (const LogReachableStatement& answers : report.m_regions) {
    schema::LogAnswersStatement& statement = *state.add_log_answers();
    statement.set_instance(answers.m_instance);
    statement.set_region(answers.m_region);
    statement.set_incarnation(answers.m_incarnation);
    statement.set_sequence(answers.m_sequence);
    statement.set_age_ms(ToMilliseconds(answers.m_age));
  }
  return state;
}

PeerReport DecodeReport(const schema::PeerState& state) {
  PeerReport report;
  report.m_name = state.instance();
  report.m_region = state.region();
  report.m_incarnation = state.incarnation();
  report.m_next_offset = state.next_offset();
  report.m_known_offset = state.known_offset();
  report.m_sequence = state.sequence();
  report.m_log_reachable = state.log_reachable();
  if (state.log_confirmed()) {
    report.m_log_age = FromMilliseconds(state.log_age_ms());
  }
  report.m_draining = state.draining();
  for (const schema::LogAnswersStatement& statement : state.log_answers()) {
    report.m_regions.push_back({statement.instance(), statement.region(),
                                statement.incarnation(), statement.sequence(),
                                FromMilliseconds(statement.age_ms())});
  }
  return report;
}

std::string SerializePeerState(const schema::PeerState& state) {
  return EncodeBase64(state.SerializeAsString());
}

std::optional<schema::PeerState> ParsePeerState(const std::string& text) {
  const auto bytes = DecodeBase64(text);
  schema::PeerState state;
  if (!bytes || !state.ParseFromString(*bytes)) return std::nullopt;
  if (state.instance().empty()) return std::nullopt;
  return state;
}

void AddServiceDigest(
    const google::protobuf::RepeatedPtrField<schema::WorkspaceService>& all,
    ServiceDigestState& told, schema::PeerState* state) {
  std::vector<std::pair<double, const schema::WorkspaceService*>> changed;
  for (const schema::WorkspaceService& service : all) {
    const double change = ServiceChange(service, told);
    if (change > 0.0) changed.emplace_back(change, &service);
  }
  std::sort(changed.begin(), changed.end(), std::greater<>());
  if (changed.size() > kMaxDigestServices) changed.resize(kMaxDigestServices);
  for (const auto& [change, service] : changed) {
    *state->add_services() = *service;
    told.m_last_reported[{service->fleet(), service->workspace()}] = *service;
  }
}

}  // namespace comfreypaddle
