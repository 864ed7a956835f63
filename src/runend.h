#ifndef COMFREYPADDLE_RUNEND_H_
#define COMFREYPADDLE_RUNEND_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "types.h"

namespace comfreypaddle {

// Decides whether a request may go on at another endpoint. Two endpoints must
// not work on it at a time, and an endpoint does not end its work because its
// connection has closed: it may be paused, compute without looking at its
// connections, or be cut off from the close. Every attempt beyond the first one
// is therefore allowed by a proof that the one before has ended.

// How the connection of an attempt stands.
enum class AttemptEnd {
  kOpen,         // A response may still arrive.
  kUnsent,       // No byte of the request has left.
  kNotExecuted,  // The endpoint said that it did not execute the request.
  kAnswered,     // The endpoint sent a complete response.
  kBroken,       // The connection was closed or reset from the other side.
  kAborted,      // This instance closed it: no valid response can follow.
};

template <>
struct EnumNames<AttemptEnd> {
  static constexpr std::array<EnumName<AttemptEnd>, 6> kTable{
      {{AttemptEnd::kOpen, "open"},
       {AttemptEnd::kUnsent, "unsent"},
       {AttemptEnd::kNotExecuted, "not_executed"},
       {AttemptEnd::kAnswered, "answered"},
       {AttemptEnd::kBroken, "broken"},
       {AttemptEnd::kAborted, "aborted"}}};
};

// Why an attempt is known to have ended, or need not have.
enum class EndProof {
  kNone,
  kUnsent,
  kNotExecuted,
  kAnswered,
  kGone,        // The endpoint broke the connection, and its process is gone.
  kAbsent,      // The endpoint reports what it runs, and the request is absent.
  kIdempotent,  // It may be repeated, also while it runs.
};

template <>
struct EnumNames<EndProof> {
  static constexpr std::array<EnumName<EndProof>, 7> kTable{
      {{EndProof::kNone, "none"},
       {EndProof::kUnsent, "unsent"},
       {EndProof::kNotExecuted, "not_executed"},
       {EndProof::kAnswered, "answered"},
       {EndProof::kGone, "gone"},
       {EndProof::kAbsent, "absent"},
       {EndProof::kIdempotent, "idempotent"}}};
};

// What is known of an attempt whose request may go on elsewhere.
struct AttemptEvidence {
  AttemptEnd m_end = AttemptEnd::kOpen;
  // The attempt may be repeated, also while it runs.
  bool m_is_idempotent = false;
  // Since the connection ended, nothing listened at the endpoint's address, or
  // another endpoint did.
  bool m_is_gone = false;
  bool m_is_absent = false;  // According to IsAbsentFromReports.
};

// Returns the proof that allows another attempt, or kNone. Silence proves
// nothing: while the connection is open the response may still arrive.
EndProof FindEndProof(const AttemptEvidence& evidence);

// What an endpoint says about its work.
struct WorkReport {
  std::uint32_t m_queued = 0;  // Requests that wait; they are not named.
  std::uint32_t m_active = 0;  // Requests that run.
  // Attempt ids of those that run; unset if the endpoint does not name them.
  std::optional<std::vector<std::string>> m_runs;
  // Start of the lifetime that answers, Unix time; unset if it does not say.
  std::optional<std::uint64_t> m_born_ms;
};

// Reports of an endpoint in which a request was absent.
struct AbsenceRecord {
  std::optional<Instant> m_first_at;  // When the first of them was received.
  bool m_is_proven = false;
};

// When an endpoint was asked for a report, and when it came.
struct ReportTimes {
  Instant m_asked{};
  Instant m_received{};
};

// Evaluates a report on an attempt whose connection has ended. `began` is when
// the first byte of the response arrived, if one did; else the request may wait
// unread at the endpoint, and only a second report, asked for after the state
// that the first one shows, proves that it does not.
void AddReport(AbsenceRecord& record, const WorkReport& report,
               const std::string& attempt, std::optional<Instant> began,
               const ReportTimes& times);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_RUNEND_H_
