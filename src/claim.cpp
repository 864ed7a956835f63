#include "claim.h"

#include <xxhash.h>

namespace comfreypaddle {
namespace {

std::uint64_t HashText(const std::string& text) {
  return XXH3_64bits(text.data(), text.size());
}

// A process may have two requests with the same key at once, so the owner of a
// claim is identified by the request as well as the process.
std::uint64_t HashOwner(const Writer& writer, const std::string& request_id) {
  const std::string text = writer.m_name + '\0' + request_id;
  return XXH3_64bits_withSeed(text.data(), text.size(), writer.m_incarnation);
}

// Names contain no zero byte, so the concatenation is unambiguous.
ClaimId MakeId(const std::string& workspace, const std::string& key) {
  const std::string text = workspace + '\0' + key;
  const XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
  return {hash.high64, hash.low64};
}

bool IsLimitReached(const ClaimTable& table, std::uint64_t workspace) {
  if (table.m_claims.size() >= kMaxClaims) return true;
  const auto found = table.m_workspace_claims.find(workspace);
  return found != table.m_workspace_claims.end() &&
         found->second >= kMaxWorkspaceClaims;
}

void RemoveClaim(ClaimTable& table, const ClaimExpiry& age) {
  const auto found = table.m_claims.find(age.m_id);
  // A claim that replaced an older one has its own expiry entry.
  if (found == table.m_claims.end() ||
      found->second.m_position != age.m_position) {
    return;
  }
  const auto count = table.m_workspace_claims.find(found->second.m_workspace);
  if (count != table.m_workspace_claims.end() && --count->second == 0) {
    table.m_workspace_claims.erase(count);
  }
  table.m_claims.erase(found);
}

Claim MakeClaim(const Writer& writer, const RequestClaim& claim,
                std::uint64_t workspace, Position position) {
  Claim entry;
  entry.m_position = position;
  entry.m_fingerprint = claim.m_fingerprint;
  entry.m_owner = HashOwner(writer, claim.m_request_id);
  entry.m_workspace = workspace;
  return entry;
}

}  // namespace

ClaimResult ApplyClaim(ClaimTable& table, const Writer& writer,
                       const RequestClaim& claim, Position position) {
  const ClaimId id = MakeId(claim.m_workspace, claim.m_idempotency_key);
  const std::uint64_t workspace = HashText(claim.m_workspace);
  const auto found = table.m_claims.find(id);
  if (found != table.m_claims.end()) {
    Claim& current = found->second;
    if (current.m_fingerprint != claim.m_fingerprint) {
      return {Verdict::kConflict, current.m_outcome, current.m_status};
    }
    if (current.m_outcome != Outcome::kNotRun) {
      return {Verdict::kAlreadyClaimed, current.m_outcome, current.m_status};
    }
    current = MakeClaim(writer, claim, workspace, position);
    table.m_expiry_queue.push_back({position, id});
    return {Verdict::kGranted, Outcome::kUnknown, 0};
  }
  if (IsLimitReached(table, workspace)) {
    return {Verdict::kUnavailable, Outcome::kNotRun, 0};
  }
  table.m_claims.emplace(id, MakeClaim(writer, claim, workspace, position));
  ++table.m_workspace_claims[workspace];
  table.m_expiry_queue.push_back({position, id});
  return {Verdict::kGranted, Outcome::kUnknown, 0};
}

Verdict ApplyOutcome(ClaimTable& table, const Writer& writer,
                     const RequestOutcome& outcome) {
  const auto found = table.m_claims.find(
      MakeId(outcome.m_workspace, outcome.m_idempotency_key));
  if (found == table.m_claims.end()) return Verdict::kNotFound;
  Claim& claim = found->second;
  if (claim.m_owner != HashOwner(writer, outcome.m_request_id) ||
      claim.m_outcome != Outcome::kUnknown) {
    return Verdict::kStale;
  }
  claim.m_outcome = outcome.m_outcome;
  claim.m_status = static_cast<std::uint16_t>(outcome.m_status);
  return Verdict::kStored;
}

void ExpireClaims(ClaimTable& table, std::uint64_t offset) {
  while (!table.m_expiry_queue.empty() &&
         table.m_expiry_queue.front().m_position / kRecordsPerOffset +
                 kClaimRetentionOffsets <
             offset) {
    RemoveClaim(table, table.m_expiry_queue.front());
    table.m_expiry_queue.pop_front();
  }
}

}  // namespace comfreypaddle
