#include <algorithm>
#include <map>

#include "json.h"
#include "operator.h"
#include "sse.h"

// Subcommand `watch`: lists the resources, then streams changes in version
// order and fails over between the servers.

namespace comfreypaddle {
namespace {

// Three missed server heartbeats (5 s each) mean that the connection is dead.
constexpr Duration kIdleTimeout = std::chrono::seconds(15);
constexpr Duration kRetryDelay = std::chrono::milliseconds(300);
// Long enough for restarts and short outages; a wrong address ends the watch.
constexpr Duration kMaxUnavailableTime = std::chrono::minutes(1);
constexpr int kStatusOk = 200;
constexpr int kStatusGone = 410;

// Progress of the watch for one kind.
struct WatchedKind {
  std::uint64_t m_version = 0;  // Last version shown.
  std::map<std::string, std::uint64_t> m_resources;
};

struct WatchState {
  OperatorContext& m_context;
  WatchOptions m_options;
  std::map<std::string, WatchedKind, std::less<>> m_kinds;
  std::uint64_t m_shown = 0;
};

// Result of one watch connection.
struct StreamEnd {
  std::error_code m_error;
  int m_status = 0;
  std::string m_body;  // Of a response that is not a stream.
};

bool LimitReached(const WatchState& state) {
  return state.m_options.m_limit > 0 &&
         state.m_shown >= state.m_options.m_limit;
}

void Show(WatchState& state, const std::string& type,
          const schema::Resource& resource) {
  if (LimitReached(state)) return;
  ++state.m_shown;
  std::ostream& out = state.m_context.m_out;
  if (state.m_context.m_output_format == OutputFormat::kJson) {
    schema::WatchEvent event;
    event.set_type(type);
    *event.mutable_resource() = resource;
    out << ToJson(event) << std::endl;
    return;
  }
  out << resource.resource_version() << "  " << type << "  " << KindOf(resource)
      << " " << NameOf(resource) << std::endl;
}

// Prints a change unless it was printed before.
void ShowChange(WatchState& state, const std::string& type,
                const schema::Resource& resource) {
  const auto found = state.m_kinds.find(KindOf(resource));
  if (found == state.m_kinds.end()) return;
  WatchedKind& kind = found->second;
  if (resource.resource_version() <= kind.m_version) return;
  kind.m_version = resource.resource_version();
  if (type == "delete") {
    kind.m_resources.erase(NameOf(resource));
  } else {
    kind.m_resources[NameOf(resource)] = resource.resource_version();
  }
  Show(state, type, resource);
}

// Prints the differences between the list and what was printed of the kind.
void ShowListChanges(WatchState& state, const std::string& name,
                     WatchedKind& kind, const schema::ResourceList& list) {
  if (list.resource_version() < kind.m_version) return;
  std::map<std::string, std::uint64_t> listed;
  for (const schema::Resource& resource : list.items()) {
    listed[NameOf(resource)] = resource.resource_version();
    if (resource.resource_version() > kind.m_version) {
      Show(state, "put", resource);
    }
  }
  for (const auto& [old_name, version] : kind.m_resources) {
    if (listed.count(old_name) > 0) continue;
    schema::Resource deleted;
    deleted.set_resource_version(list.resource_version());
    SetName(old_name, MutableBodyOf(name, &deleted));
    Show(state, "delete", deleted);
  }
  kind.m_resources = std::move(listed);
  kind.m_version = list.resource_version();
}

bool RefreshFromLists(WatchState& state) {
  for (auto& [name, kind] : state.m_kinds) {
    const auto list = ListResources(state.m_context, name);
    if (!list) return false;
    ShowListChanges(state, name, kind, *list);
  }
  return true;
}

// Returns the version from which to resume without missing a change.
std::uint64_t ResumeVersion(const WatchState& state) {
  std::uint64_t version = UINT64_MAX;
  for (const auto& [name, kind] : state.m_kinds) {
    version = std::min(version, kind.m_version);
  }
  return version;
}

// Advances all kinds to the version of an event, as the stream is ordered.
void AdvanceVersions(WatchState& state, std::uint64_t version) {
  for (auto& [name, kind] : state.m_kinds) {
    kind.m_version = std::max(kind.m_version, version);
  }
}

void HandleEvent(WatchState& state, const SseEvent& event) {
  schema::WatchEvent change;
  if (FromJson(event.m_data, UnknownFields::kIgnore, &change)) return;
  ShowChange(state, change.type(), change.resource());
  AdvanceVersions(state, change.resource().resource_version());
}

// Streams from one connection until it ends or the limit is reached.
StreamEnd StreamChanges(WatchState& state, const std::string& server) {
  ApiSession& session = state.m_context.m_session;
  StreamEnd end;
  SseParser parser([&state](const SseEvent& event) {
    if (!LimitReached(state)) HandleEvent(state, event);
  });
  HttpEvents events;
  events.m_on_head = [&end](int status, const HttpFields& /*headers*/) {
    end.m_status = status;
  };
  events.m_on_body = [&](std::string_view bytes) {
    if (end.m_status != kStatusOk) {
      end.m_body += bytes;
    } else if (!parser.Feed(bytes) || LimitReached(state)) {
      session.m_loop.Stop();
    }
  };
  events.m_on_end = [&](const HttpResult& result) {
    end.m_error = result.m_error;
    session.m_loop.Stop();
  };
  const std::string path =
      "/api/v1/watch?from=" + std::to_string(ResumeVersion(state));
  const auto call =
      session.m_http.Start({.m_url = server + path,
                            .m_headers = ApiHeaders(session.m_options, {}),
                            .m_inactivity_timeout = kIdleTimeout,
                            .m_max_body_bytes = 0},
                           std::move(events));
  session.m_loop.Run();
  session.m_http.Cancel(call);
  return end;
}

// A watch that started at a version has seen only the resources changed since,
// so it cannot detect the deletion of the others.
void ReportGap(WatchState& state) {
  state.m_context.m_errors
      << "watch: the server no longer keeps the changes after version "
      << ResumeVersion(state)
      << "; deletions up to the current version may not be shown\n";
}

WatchState MakeState(OperatorContext& context, const WatchOptions& options) {
  WatchState state{context, options, {}};
  for (const auto& row : EnumNames<ResourceKind>::kTable) {
    if (!options.m_kind.empty() && options.m_kind != row.m_name) continue;
    state.m_kinds[std::string(row.m_name)].m_version =
        options.m_from.value_or(0);
  }
  return state;
}

}  // namespace

ExitCode WatchResources(OperatorContext& context, const WatchOptions& options) {
  ApiSession& session = context.m_session;
  WatchState state = MakeState(context, options);
  if (!options.m_from && !RefreshFromLists(state)) return ExitCode::kServer;
  Instant last_answer = Now();
  while (!LimitReached(state)) {
    const auto& servers = session.m_options.m_servers;
    const StreamEnd end = StreamChanges(state, servers[session.m_server_index]);
    if (LimitReached(state)) break;
    if (end.m_status == kStatusOk) last_answer = Now();
    const bool refused = !end.m_error && end.m_status / 100 == 4;
    if (refused && end.m_status != kStatusGone) {
      return ReportFailure(context, "watch",
                           {end.m_error, end.m_status, end.m_body});
    }
    if (end.m_status == kStatusGone) {
      if (options.m_from) ReportGap(state);
      if (!RefreshFromLists(state)) return ExitCode::kServer;
      RunLoopFor(session, kRetryDelay);
      continue;
    }
    if (Now() - last_answer > kMaxUnavailableTime) {
      return ReportFailure(context, "watch",
                           {end.m_error, end.m_status, end.m_body});
    }
    session.m_server_index = (session.m_server_index + 1) % servers.size();
    RunLoopFor(session, kRetryDelay);
  }
  return ExitCode::kOk;
}

}  // namespace comfreypaddle
