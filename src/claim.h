#ifndef COMFREYPADDLE_CLAIM_H_
#define COMFREYPADDLE_CLAIM_H_

#include <array>
#include <deque>
#include <optional>
#include <unordered_map>

#include "record.h"

namespace comfreypaddle {

// Retention of claims in log offsets. At 240 appends a second this is four
// hours; a key reused later counts as a new request.
inline constexpr std::uint64_t kClaimRetentionOffsets = 3'456'000;

// Maximum number of claims per workspace and in total. At a limit, new claims
// are refused, because evicting an older claim could let its request run again.
inline constexpr std::uint32_t kMaxWorkspaceClaims = 50'000;
inline constexpr std::size_t kMaxClaims = 400'000;

// 128-bit hash of workspace and idempotency key. Storing the keys would take
// several times the memory.
struct ClaimId {
  std::uint64_t m_high = 0;
  std::uint64_t m_low = 0;

  friend bool operator==(const ClaimId&, const ClaimId&) = default;
};

struct ClaimIdHash {
  std::size_t operator()(const ClaimId& id) const { return id.m_low; }
};

// Claim of an idempotency key.
struct Claim {
  Position m_position = 0;
  std::uint64_t m_fingerprint = 0;  // Hash of the request's content.
  std::uint64_t m_owner = 0;        // Hash of the writer and the request id.
  std::uint64_t m_workspace = 0;    // Hash of the workspace's name.
  // kUnknown until an outcome is recorded.
  Outcome m_outcome = Outcome::kUnknown;
  std::uint16_t m_status = 0;
};

// Entry of the expiry queue.
struct ClaimExpiry {
  Position m_position = 0;
  ClaimId m_id;
};

// Claims of idempotency keys, rebuilt from the log.
struct ClaimTable {
  std::unordered_map<ClaimId, Claim, ClaimIdHash> m_claims;
  std::unordered_map<std::uint64_t, std::uint32_t> m_workspace_claims;
  std::deque<ClaimExpiry> m_expiry_queue;  // Oldest first.
};

// Result of ApplyClaim.
struct ClaimResult {
  // kGranted, kAlreadyClaimed, kConflict if the key was used with other
  // content, or kUnavailable if a limit is reached.
  Verdict m_verdict = Verdict::kUnavailable;
  Outcome m_outcome = Outcome::kUnknown;  // Of the request that holds the key.
  std::uint32_t m_status = 0;
};

// Applies a claim from the log: the first one wins. A key can be claimed again
// only after an outcome stating that the request did not run.
ClaimResult ApplyClaim(ClaimTable& table, const Writer& writer,
                       const RequestClaim& claim, Position position);

// Applies an outcome from the log. Only the request that holds the claim can
// set it, and it cannot be changed afterwards. Returns kStored, kNotFound or
// kStale.
Verdict ApplyOutcome(ClaimTable& table, const Writer& writer,
                     const RequestOutcome& outcome);

// Removes claims that are older than kClaimRetentionOffsets at this offset.
void ExpireClaims(ClaimTable& table, std::uint64_t offset);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_CLAIM_H_
