#ifndef COMFREYPADDLE_CLAIM_H_
#define COMFREYPADDLE_CLAIM_H_

#include <array>
#include <deque>
#include <optional>
#include <unordered_map>

#include "record.h"

namespace comfreypaddle {

// Log offsets for which a claim is remembered. At 240 appends a second this is
// four hours; a key that comes back later is a new request.
inline constexpr std::uint64_t kClaimRetentionOffsets = 3'456'000;

// Claims of one workspace and of all workspaces together. When a bound is
// reached new claims are refused, because forgetting an older claim could let
// its request run again.
inline constexpr std::uint32_t kMaxWorkspaceClaims = 50'000;
inline constexpr std::size_t kMaxClaims = 400'000;

// 128-bit hash of workspace and idempotency key; the keys themselves would
// need several times the memory.
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
  std::uint64_t m_fingerprint = 0;  // Of the request's content.
  std::uint64_t m_owner = 0;        // Hash of the writer and request id.
  std::uint64_t m_workspace = 0;    // Hash of the workspace's name.
  // kUnknown until an outcome was recorded.
  Outcome m_outcome = Outcome::kUnknown;
  std::uint16_t m_status = 0;
};

// Order in which claims expire.
struct ClaimExpiry {
  Position m_position = 0;
  ClaimId m_id;
};

struct ClaimTable {
  std::unordered_map<ClaimId, Claim, ClaimIdHash> m_claims;
  std::unordered_map<std::uint64_t, std::uint32_t> m_workspace_claims;
  std::deque<ClaimExpiry> m_expiry_queue;  // Oldest first.
};

// Answer to a claim.
struct ClaimResult {
  // kGranted, kAlreadyClaimed, kConflict if the key was used for another
  // content, or kUnavailable if a bound is reached.
  Verdict m_verdict = Verdict::kUnavailable;
  Outcome m_outcome = Outcome::kUnknown;  // Of the request that has the key.
  std::uint32_t m_status = 0;
};

// Folds a claim: the first one wins. A key is taken over only after an
// outcome that says that the request did not run.
ClaimResult ApplyClaim(ClaimTable& table, const Writer& writer,
                       const RequestClaim& claim, Position position);

// Folds an outcome. Only the request that has the claim can give it, and a
// request that ran stays so. Returns kStored, kNotFound or kStale.
Verdict ApplyOutcome(ClaimTable& table, const Writer& writer,
                     const RequestOutcome& outcome);

// Forgets claims that are older than kClaimRetentionOffsets at this offset.
void ExpireClaims(ClaimTable& table, std::uint64_t offset);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_CLAIM_H_
