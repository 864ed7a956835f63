#include "resumption.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "eventlog.h"
#include "finish.h"
#include "lifetimecheck.h"
#include "relayattempt.h"
#include "streambinding.h"
#include "streamcodec.h"

namespace comfreypaddle {

namespace {

// Time after its arrival for which a request waits until the version of its
// stream is known: others that have a record are asked, the endpoint that began
// it names its lifetime, and the list of endpoints the version of that. Its
// caller leaves after two seconds.
constexpr Duration kMaxResolveTime = std::chrono::milliseconds(1500);

void LogTakeUp(const RelayState& state, const RelayCall& call,
               TakeUpOutcome outcome, std::string_view source) {
  LogLine line("stream_taken_up");
  line.Add("request", call.m_metadata.m_attempt)
      .Add("resumes", call.m_metadata.m_resumed_attempt)
      .Add("after_event", call.m_last_event
                              ? static_cast<std::int64_t>(*call.m_last_event)
                              : -1)
      .Add("service", call.m_service)
      .Add("version", call.m_query.m_version ? TextOf(*call.m_query.m_version)
                                             : std::string())
      .Add("source", source)
      .Add("outcome", ToName(outcome))
      .AddMs("after_ms", state.m_clock() - call.m_arrived);
  if (!call.m_record) return;
  const BegunStream& stream = call.m_record->m_stream;
  const LifetimeVerdict verdict = JudgeStream(state, stream);
  const VersionCertainty recorded = stream.m_version.m_certainty;
  line.Add("recorded_version", TextOf(stream.m_version))
      .Add("recorded_endpoint", stream.m_origin.m_endpoint)
      .Add("recorded_born_ms",
           static_cast<std::int64_t>(stream.m_origin.m_born_ms))
      .Add("was_proven", recorded != VersionCertainty::kUnproven ? 1 : 0)
      .Add("proof", ToName(verdict.m_version.m_certainty))
      .Add("born_ms", static_cast<std::int64_t>(verdict.m_born_ms));
}

// Goes on with a request whose stream has a settled version.
void GoOn(RelayState& state, RelayCall& call, const StreamVersion& version,
          std::string_view source) {
  call.m_query.m_version = version;
  const TakeUpOutcome outcome = IsVersionGone(state.m_balance, call.m_query)
                                    ? TakeUpOutcome::kVersionGone
                                    : TakeUpOutcome::kGoesOn;
  ++state.m_counters.m_taken_up[outcome];
  LogTakeUp(state, call, outcome, source);
  call.m_record.reset();
  // It may wait for an endpoint like a new request.
  call.m_queue_deadline =
      std::min(call.m_queue_deadline + (state.m_clock() - call.m_arrived),
               call.m_deadline);
  DispatchCall(state, call);
}

// Refuses to guess: a stream that goes on at another version is corrupt, and a
// caller that is refused can ask for a new one.
void RefuseUnknown(RelayState& state, RelayCall& call,
                   std::string_view source) {
  ++state.m_counters.m_taken_up[TakeUpOutcome::kVersionUnknown];
  LogTakeUp(state, call, TakeUpOutcome::kVersionUnknown, source);
  FinishFailed(state, call, EndReason::kVersionUnknown);
}

// Goes on with a request whose stream has a record, if what is known by now
// proves its version. Returns whether the request waits on.
bool Resolve(RelayState& state, RelayCall& call) {
  const BegunStream& stream = call.m_record->m_stream;
  const LifetimeVerdict verdict = JudgeStream(state, stream);
  if (IsSettled(verdict.m_version)) {
    GoOn(state, call, verdict.m_version, std::string(call.m_record->m_source));
    return false;
  }
  const bool may_come =
      FindEndpoint(state.m_balance, stream.m_origin.m_endpoint) != nullptr &&
      state.m_clock() < call.m_record->m_ends;
  if (may_come) return true;
  RefuseUnknown(state, call, std::string(call.m_record->m_source));
  return false;
}

// Goes on with a request at the version of a record. Records of earlier
// releases name no endpoint and count as they are.
void ResolveRecord(RelayState& state, RelayCall& call,
                   const BegunStream& stream, const std::string& source) {
  if (stream.m_origin.m_endpoint.empty()) {
    StreamVersion version = stream.m_version;
    if (HasName(version)) version.m_certainty = VersionCertainty::kProven;
    GoOn(state, call, version, source);
    return;
  }
  call.m_stage = CallStage::kResolving;
  call.m_record =
      TakenUpRecord{stream, source, call.m_arrived + kMaxResolveTime};
  const bool is_unproven =
      stream.m_version.m_certainty == VersionCertainty::kUnproven;
  if (!Resolve(state, call) || !is_unproven) return;
  const std::string& endpoint = stream.m_origin.m_endpoint;
  CheckLifetime(state, endpoint,
                FindEndpoint(state.m_balance, endpoint)->m_address,
                CheckUrgency::kNow);
}

// Whether an endpoint of the service has begun a lifetime that the list does
// not show yet.
bool HasOutdatedEndpoint(const RelayState& state, const std::string& service) {
  const auto& endpoints = state.m_balance.m_endpoints;
  return std::any_of(
      endpoints.begin(), endpoints.end(), [&service](const auto& entry) {
        return entry.second.m_service == service && entry.second.m_is_outdated;
      });
}

// Ids of the requests that wait for the version of their record.
std::vector<std::uint64_t> ResolvingCalls(const RelayState& state) {
  std::vector<std::uint64_t> ids;
  for (const auto& [id, call] : state.m_calls) {
    if (call->m_stage == CallStage::kResolving && call->m_record) {
      ids.push_back(id);
    }
  }
  std::sort(ids.begin(), ids.end());
  return ids;
}

}  // namespace

bool IsTakenUp(const RelayCall& call) {
  return IsResumable(call) && (call.m_metadata.m_last_event ||
                               !call.m_metadata.m_resumed_attempt.empty());
}

void TakeUpStream(RelayState& state, RelayCall& call) {
  const Instant now = state.m_clock();
  const std::uint64_t attempt = StreamOf(call);
  const BegunStream* known =
      FindStream(state.m_streams, attempt, call.m_service, now);
  if (known != nullptr) {
    ResolveRecord(state, call, BegunStream(*known), "this_instance");
    return;
  }
  call.m_stage = CallStage::kResolving;
  schema::StreamQuestion question;
  question.set_request(call.m_id);
  question.set_caller_attempt(call.m_metadata.m_attempt);
  if (!call.m_metadata.m_resumed_attempt.empty()) {
    question.set_attempt(attempt);
  }
  question.set_service(call.m_service);
  state.m_ask_stream(question);
}

void OnStreamAnswer(RelayState& state, const schema::StreamAnswer& answer) {
  RelayCall* call = FindRelayCall(state, answer.request());
  if (call == nullptr || call->m_stage != CallStage::kResolving ||
      call->m_record) {
    return;
  }
  if (const auto stream = RecordOf(answer, state.m_clock())) {
    ResolveRecord(state, *call, *stream, answer.instance());
    return;
  }
  const bool is_mixed =
      answer.is_mixed() ||
      IsMixed(state.m_versions, call->m_service, state.m_clock()) ||
      HasOutdatedEndpoint(state, call->m_service);
  if (is_mixed || !answer.has_only_version()) {
    RefuseUnknown(state, *call, "none");
    return;
  }
  GoOn(state, *call, {answer.only_version(), VersionCertainty::kProven},
       "only_version");
}

void ResolveTakenUp(RelayState& state) {
  for (const std::uint64_t id : ResolvingCalls(state)) {
    RelayCall* call = FindRelayCall(state, id);
    if (call != nullptr) Resolve(state, *call);
  }
}

void RefuseTakenUp(RelayState& state, const std::string& endpoint,
                   Instant asked) {
  for (const std::uint64_t id : ResolvingCalls(state)) {
    RelayCall* call = FindRelayCall(state, id);
    if (call == nullptr) continue;
    const BegunStream& stream = call->m_record->m_stream;
    const bool is_for_it =
        stream.m_origin.m_endpoint == endpoint &&
        stream.m_origin.m_since <= asked &&
        stream.m_version.m_certainty == VersionCertainty::kUnproven;
    if (is_for_it) {
      RefuseUnknown(state, *call, std::string(call->m_record->m_source));
    }
  }
}

}  // namespace comfreypaddle
