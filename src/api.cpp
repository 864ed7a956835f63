#include "api.h"

#include <glog/logging.h>

#include <algorithm>
#include <charconv>
#include <optional>
#include <utility>
#include <vector>

#include "forward.h"
#include "json.h"
#include "loop.h"
#include "sha256.h"
#include "sse.h"

namespace comfreypaddle {

namespace {

constexpr std::string_view kPrefix = "/api/v1/";

// Changes kept for watches: one day at 5,900 a day.
constexpr std::size_t kMaxWatchHistory = 6000;

constexpr std::size_t kMaxTokenBytes = 128;

constexpr int kOk = 200;

HttpFields JsonHeaders() { return {{"Content-Type", "application/json"}}; }

void AnswerJson(ApiState& state, std::uint64_t request,
                const google::protobuf::Message& message) {
  state.m_callers->Respond(request, kOk, JsonHeaders(), ToJson(message) + "\n");
}

void AnswerProblem(ApiState& state, std::uint64_t request, ProblemCode code,
                   Outcome outcome, const std::string& detail) {
  ProblemResponse answer = MakeProblem({code, outcome, detail});
  state.m_callers->Respond(request, answer.m_status,
                           std::move(answer.m_headers),
                           std::move(answer.m_body));
}

std::optional<std::uint64_t> ParseNumber(std::string_view text) {
  std::uint64_t value = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return value;
}

// Path after the API prefix, split at the first slash.
struct ResourcePath {
  std::string m_kind;
  std::string m_name;  // Empty for the list.
};

ResourcePath SplitPath(std::string_view path) {
  path.remove_prefix(kPrefix.size());
  const std::size_t slash = path.find('/');
  if (slash == std::string_view::npos) return {std::string(path), {}};
  return {std::string(path.substr(0, slash)),
          std::string(path.substr(slash + 1))};
}

const schema::Resource* FindResource(const ApiState& state,
                                     const ResourcePath& path) {
  const auto kind = state.m_resources.find(path.m_kind);
  if (kind == state.m_resources.end()) return nullptr;
  const auto found = kind->second.find(path.m_name);
  return found == kind->second.end() ? nullptr : &found->second;
}

bool IsAuthorized(const ApiState& state, const HttpRequest& request) {
  if (state.m_settings.m_token_sha256.empty()) return true;
  return Sha256Hex(BearerKey(request)) == state.m_settings.m_token_sha256;
}

void HandleList(ApiState& state, const HttpRequest& request,
                const ResourcePath& path) {
  schema::ResourceList list;
  list.set_resource_version(state.m_version);
  for (const auto& [name, resource] : state.m_resources[path.m_kind]) {
    *list.add_items() = resource;
  }
  AnswerJson(state, request.m_id, list);
}

void HandleGet(ApiState& state, const HttpRequest& request,
               const ResourcePath& path) {
  if (path.m_name.empty()) {
    HandleList(state, request, path);
    return;
  }
  const schema::Resource* resource = FindResource(state, path);
  if (resource == nullptr) {
    AnswerProblem(state, request.m_id, ProblemCode::kNotFound, Outcome::kNotRun,
                  "There is no such resource.");
    return;
  }
  AnswerJson(state, request.m_id, *resource);
}

// Submits the write; it is answered once it is read back from the log.
void SubmitWrite(ApiState& state, const HttpRequest& request,
                 const ResourcePath& path, schema::Resource resource,
                 bool remove) {
  const std::uint64_t ticket = state.m_next_ticket++;
  std::string token(FindField(request.m_headers, "x-request-token"));
  if (token.empty()) {
    // The operator cannot retry a write that was sent without a token.
    token = state.m_status.name() + "-" +
            std::to_string(state.m_status.incarnation()) + "-" +
            std::to_string(ticket);
  }
  schema::JournalMessage message;
  schema::SubmitRecord* submit = message.mutable_submit();
  submit->set_sender(schema::TASK_ADMIN);
  submit->set_ticket(ticket);
  submit->set_timeout_ms(static_cast<std::uint32_t>(
      state.m_settings.m_write_timeout.count() / 1000));
  schema::ConfigWrite* write = submit->mutable_record()->mutable_config_write();
  write->set_token(token);
  write->set_kind(path.m_kind);
  write->set_name(path.m_name);
  write->set_expected_version(resource.resource_version());
  write->set_remove(remove);
  if (!remove) *write->mutable_resource() = resource;
  LOG(INFO) << "configuration write kind=" << path.m_kind
            << " name=" << path.m_name << " remove=" << remove
            << " expected_version=" << resource.resource_version()
            << " token=" << token;
  state.m_pending_writes[ticket] = {request.m_id, std::move(resource), remove};
  state.m_journal->Post(std::move(message));
}

// Returns whether a write may be submitted now; if not, answers the request.
bool CheckWrite(ApiState& state, const HttpRequest& request,
                const ResourcePath& path) {
  if (path.m_name.empty()) {
    AnswerProblem(state, request.m_id, ProblemCode::kMethodNotAllowed,
                  Outcome::kNotRun, "Lists can only be read.");
    return false;
  }
  if (FindField(request.m_headers, "x-request-token").size() > kMaxTokenBytes) {
    AnswerProblem(state, request.m_id, ProblemCode::kBadRequest,
                  Outcome::kNotRun,
                  "X-Request-Token has more than 128 characters.");
    return false;
  }
  if (state.m_status.draining()) {
    AnswerProblem(state, request.m_id, ProblemCode::kDraining, Outcome::kNotRun,
                  "This instance is being stopped.");
    return false;
  }
  if (!state.m_writes_open || !state.m_status.log_reachable()) {
    AnswerProblem(state, request.m_id, ProblemCode::kLogUnavailable,
                  Outcome::kNotRun,
                  "This instance reaches neither the log nor its peers well "
                  "enough to accept configuration.");
    return false;
  }
  return true;
}

void HandlePut(ApiState& state, const HttpRequest& request,
               const ResourcePath& path) {
  if (!CheckWrite(state, request, path)) return;
  schema::Resource resource;
  if (auto parse_error =
          FromJson(request.m_body, UnknownFields::kReject, &resource)) {
    AnswerProblem(state, request.m_id, ProblemCode::kInvalidResource,
                  Outcome::kNotRun,
                  "The body is not a resource: " + *parse_error);
    return;
  }
  SubmitWrite(state, request, path, std::move(resource), false);
}

void HandleDelete(ApiState& state, const HttpRequest& request,
                  const ResourcePath& path) {
  if (!CheckWrite(state, request, path)) return;
  const auto version =
      ParseNumber(FindField(request.m_query, "resource_version"));
  if (!version) {
    AnswerProblem(state, request.m_id, ProblemCode::kBadRequest,
                  Outcome::kNotRun,
                  "The query parameter resource_version is missing.");
    return;
  }
  schema::Resource resource;
  const schema::Resource* current = FindResource(state, path);
  if (current != nullptr) resource = *current;
  resource.set_resource_version(*version);
  SubmitWrite(state, request, path, std::move(resource), true);
}

std::string FormatWatchEvent(const schema::WatchEvent& event) {
  return FormatSseEvent({}, event.resource().resource_version(), ToJson(event));
}

void HandleWatch(ApiState& state, const HttpRequest& request) {
  const auto from = ParseNumber(FindField(request.m_query, "from"));
  if (!from) {
    AnswerProblem(state, request.m_id, ProblemCode::kBadRequest,
                  Outcome::kNotRun, "The query parameter from is missing.");
    return;
  }
  if (*from < state.m_history_since) {
    state.m_callers->Respond(
        request.m_id, 410, JsonHeaders(),
        R"({"code":"version_too_old","outcome":"not_run"})");
    return;
  }
  state.m_callers->StartStream(
      request.m_id, kOk,
      {{"Content-Type", "text/event-stream"}, {"Cache-Control", "no-cache"}});
  state.m_callers->Write(request.m_id, ": watch\n\n");
  for (const schema::WatchEvent& event : state.m_history) {
    if (event.resource().resource_version() <= *from) continue;
    state.m_callers->Write(request.m_id, FormatWatchEvent(event));
  }
  state.m_watches.insert(request.m_id);
}

// Permission and leases expire by time, so the status also shows their loss
// during a log outage.
void HandleStatus(ApiState& state, const HttpRequest& request) {
  schema::StatusReport report = state.m_status;
  const Instant now = Now();
  const auto now_us = now.time_since_epoch().count();
  report.set_admits(report.admits() && now_us <= state.m_admit_until_us);
  for (const auto& [duty, until] : state.m_duties) {
    if (now <= until) report.add_duties(duty);
  }
  AnswerJson(state, request.m_id, report);
}

// Serves the paths that need no token. Returns false for other paths.
bool HandlePublicPath(ApiState& state, const HttpRequest& request) {
  if (request.m_path == "/healthz") {
    state.m_callers->Respond(request.m_id, kOk, {}, "ok\n");
    return true;
  }
  if (request.m_path == "/readyz") {
    const bool ready = state.m_caught_up && !state.m_status.draining();
    state.m_callers->Respond(request.m_id, ready ? kOk : 503, {},
                             ready ? "ready\n" : "not ready\n");
    return true;
  }
  if (request.m_path == "/metrics") {
    state.m_callers->Respond(request.m_id, kOk,
                             {{"Content-Type", "text/plain; version=0.0.4"}},
                             state.m_metrics());
    return true;
  }
  return false;
}

void HandleResource(ApiState& state, const HttpRequest& request) {
  const ResourcePath path = SplitPath(request.m_path);
  if (!FromName<ResourceKind>(path.m_kind)) {
    AnswerProblem(state, request.m_id, ProblemCode::kNotFound, Outcome::kNotRun,
                  "There is no such kind of resource.");
  } else if (request.m_method == "GET") {
    HandleGet(state, request, path);
  } else if (request.m_method == "PUT") {
    HandlePut(state, request, path);
  } else if (request.m_method == "DELETE") {
    HandleDelete(state, request, path);
  } else {
    AnswerProblem(state, request.m_id, ProblemCode::kMethodNotAllowed,
                  Outcome::kNotRun, "Use GET, PUT or DELETE.");
  }
}

// Answers a write that was rejected or whose outcome is unknown.
void AnswerRejectedWrite(ApiState& state, std::uint64_t request,
                         const schema::RecordVerdict& verdict) {
  if (verdict.verdict() == "conflict") {
    schema::Problem problem;
    AnswerProblem(state, request, ProblemCode::kConflict, Outcome::kNotRun,
                  "Version " + std::to_string(verdict.current_version()) +
                      " is in force.");
  } else if (verdict.verdict() == "not_found") {
    AnswerProblem(state, request, ProblemCode::kNotFound, Outcome::kNotRun,
                  "There is no such resource.");
  } else if (verdict.verdict() == "not_stored") {
    AnswerProblem(state, request, ProblemCode::kLogUnavailable,
                  Outcome::kNotRun, "The log did not take the write.");
  } else if (verdict.verdict() == "unknown") {
    AnswerProblem(state, request, ProblemCode::kLogUnavailable,
                  Outcome::kUnknown,
                  "The write was sent to the log; ask again with the same "
                  "X-Request-Token.");
  } else {
    AnswerProblem(state, request, ProblemCode::kInvalidResource,
                  Outcome::kNotRun,
                  "The write is invalid: " + verdict.reason());
  }
}

}  // namespace

void HandleApiRequest(ApiState& state, const HttpRequest& request) {
  if (HandlePublicPath(state, request)) return;
  if (request.m_path.compare(0, kPrefix.size(), kPrefix) != 0) {
    AnswerProblem(state, request.m_id, ProblemCode::kNotFound, Outcome::kNotRun,
                  "The API is below /api/v1/.");
  } else if (!IsAuthorized(state, request)) {
    AnswerProblem(state, request.m_id, ProblemCode::kUnauthorized,
                  Outcome::kNotRun, "The operators' token is missing.");
  } else if (request.m_path == "/api/v1/status") {
    HandleStatus(state, request);
  } else if (request.m_path == "/api/v1/watch") {
    HandleWatch(state, request);
  } else {
    HandleResource(state, request);
  }
}

void OnApiCallerDisconnected(ApiState& state, std::uint64_t request) {
  state.m_watches.erase(request);
  for (auto& [ticket, write] : state.m_pending_writes) {
    if (write.m_request == request) write.m_request = 0;
  }
}

void OnApiTableChange(ApiState& state, const schema::TableChange& change) {
  if (change.version() <= state.m_version) return;
  schema::WatchEvent event;
  event.set_type(change.remove() ? "delete" : "put");
  *event.mutable_resource() = change.resource();
  event.mutable_resource()->set_resource_version(change.version());
  auto& resources = state.m_resources[change.kind()];
  if (change.remove()) {
    resources.erase(change.name());
  } else {
    resources[change.name()] = event.resource();
  }
  if (change.from_snapshot()) {
    // Intermediate changes are unknown, so watchers must list again.
    state.m_history.clear();
    state.m_history_since = change.version();
    EndWatches(state);
  } else {
    state.m_history.push_back(event);
  }
  state.m_version = change.version();
  if (state.m_history.size() > kMaxWatchHistory) {
    state.m_history_since =
        state.m_history.front().resource().resource_version();
    state.m_history.pop_front();
  }
  const std::string text = FormatWatchEvent(event);
  for (const std::uint64_t watch : state.m_watches) {
    state.m_callers->Write(watch, text);
  }
}

void OnApiVerdict(ApiState& state, const schema::RecordVerdict& verdict) {
  const auto found = state.m_pending_writes.find(verdict.ticket());
  if (found == state.m_pending_writes.end()) return;
  PendingWrite write = std::move(found->second);
  state.m_pending_writes.erase(found);
  if (write.m_request == 0) return;
  if (verdict.verdict() != "accepted") {
    AnswerRejectedWrite(state, write.m_request, verdict);
    return;
  }
  write.m_resource.set_resource_version(verdict.current_version());
  AnswerJson(state, write.m_request, write.m_resource);
}

void SendWatchHeartbeats(ApiState& state) {
  for (const std::uint64_t watch : state.m_watches) {
    state.m_callers->Write(watch, ": heartbeat\n\n");
  }
}

void OnApiLeaseChange(ApiState& state, const schema::LeaseChange& change) {
  const schema::StatusReport& self = state.m_status;
  if (change.holder() != self.name() ||
      change.incarnation() != self.incarnation()) {
    state.m_duties.erase(change.duty());
    return;
  }
  state.m_duties[change.duty()] = Instant(Duration(change.read_us())) +
                                  std::chrono::milliseconds(change.term_ms());
}

std::size_t CountHeldDuties(const ApiState& state, Instant now) {
  return static_cast<std::size_t>(
      std::count_if(state.m_duties.begin(), state.m_duties.end(),
                    [now](const auto& entry) { return now <= entry.second; }));
}

void EndWatches(ApiState& state) {
  const std::set<std::uint64_t> watches = std::exchange(state.m_watches, {});
  for (const std::uint64_t watch : watches) {
    state.m_callers->FinishStream(watch);
  }
}

}  // namespace comfreypaddle
