#ifndef COMFREYPADDLE_ALLOTMENT_H_
#define COMFREYPADDLE_ALLOTMENT_H_

#include <array>
#include <cstdint>
#include <map>
#include <set>
#include <string_view>

#include "types.h"

namespace comfreypaddle {

// A workspace may have an allotment: a rate and a burst, in tokens or requests,
// for all instances together. Each instance keeps the use that it admitted, as
// a sum that decays exponentially, and tells it to the others with its load.
// The sum over all instances is the fill of one leaky bucket that nobody has to
// own: it decays at the rate of the allotment when it is at its target level.
// Above that, all instances admit the same fraction of the demand, so that the
// allotment is used wherever the demand is.
//
// Instances that hear of only some others use the part of the allotment that
// belongs to their number. The parts of a divided fleet never add up to more
// than the whole, and a single instance without news has an equal part.

// Limit of a workspace.
struct AllotmentLimit {
  double m_rate = 0;   // Per second.
  double m_burst = 0;  // Beyond the rate.
};

// Window in which limits are checked, and what is tolerated in it.
struct AllotmentTolerance {
  Duration m_window = std::chrono::seconds(8);
  double m_overshoot = 0;  // Part of the limit.
  double m_slack = 0;      // Beyond that part.
};

// Use of a workspace by one or more instances.
struct WorkspaceUse {
  double m_recent = 0;  // Admitted and not yet decayed.
  double m_demand = 0;  // Asked for per second.
};

// Use by the lower half of the hash of the workspace's name.
using WorkspaceUseTable = std::map<std::uint32_t, WorkspaceUse>;

// Sums over a number of instances.
struct InstanceUses {
  std::uint32_t m_instances = 0;
  WorkspaceUseTable m_uses;
};

// What this instance keeps of a workspace.
struct AllotmentUse {
  WorkspaceUse m_own;  // At m_updated.
  Instant m_updated{};
  AllotmentLimit m_limit;  // As of the last request.
  std::uint64_t m_requests = 0;
  double m_admitted = 0;        // Total, without what was returned.
  std::uint64_t m_refused = 0;  // Requests.
  Instant m_logged_at{};        // Last log line on refusals.
};

struct AllotmentState {
  AllotmentTolerance m_tolerance;
  // Live instances including this one, and whether it is among them. Zero until
  // the list of instances is known.
  std::uint32_t m_instances = 0;
  bool m_is_listed = false;
  InstanceUses m_others;
  Instant m_heard_at{};  // When m_others arrived.
  std::map<std::uint32_t, AllotmentUse> m_uses;
};

enum class AllotmentOutcome {
  kAdmitted,
  kRefused,
  kNeverCovered,  // The request costs more than the allotment can cover.
};

template <>
struct EnumNames<AllotmentOutcome> {
  static constexpr std::array<EnumName<AllotmentOutcome>, 3> kTable{
      {{AllotmentOutcome::kAdmitted, "admitted"},
       {AllotmentOutcome::kRefused, "refused"},
       {AllotmentOutcome::kNeverCovered, "never_covered"}}};
};

struct AllotmentDecision {
  AllotmentOutcome m_outcome = AllotmentOutcome::kAdmitted;
  // Time until the use is at its target level and the share of this instance
  // covers the request.
  Duration m_retry_after{0};
};

// A request as far as its allotment is concerned.
struct AllotmentRequest {
  std::uint32_t m_workspace = 0;  // Lower half of the hash of its name.
  AllotmentLimit m_limit;
  double m_cost = 0;
  std::uint64_t m_seed = 0;  // Differs between requests.
};

// What is known of a workspace, for logs and metrics.
struct AllotmentView {
  double m_recent = 0;  // Of all instances.
  double m_demand = 0;  // Of all instances, per second.
  double m_target = 0;  // Level of m_recent above which requests are refused.
  double m_part = 0;    // Of the allotment that the known instances may use.
};

// Lower half of the hash of a workspace's name.
std::uint32_t WorkspaceHash(std::string_view name);

// Decides on a request, and counts it if it is admitted.
AllotmentDecision RequestAllotment(AllotmentState& state,
                                   const AllotmentRequest& request,
                                   Instant now);

// Returns the cost of a request that was admitted and did not run.
void ReturnAllotment(AllotmentState& state, std::uint32_t workspace,
                     double cost, Instant admitted_at, Instant now);

// Sets what the other instances use.
void SetOtherUses(AllotmentState& state, InstanceUses others, Instant now);

// Forgets the workspaces that are not among the limited ones and have had no
// request for some minutes.
void ForgetUnlimited(AllotmentState& state,
                     const std::set<std::uint32_t>& limited, Instant now);

// Uses of this instance that the others have to know.
InstanceUses UsesToShare(const AllotmentState& state, Instant now);

AllotmentView ViewAllotment(const AllotmentState& state,
                            std::uint32_t workspace, Instant now);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_ALLOTMENT_H_
