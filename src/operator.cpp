#include "operator.h"

#include <gflags/gflags.h>

#include <charconv>
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>

#include "curlclient.h"
#include "http.pb.h"
#include "json.h"
#include "settings.h"
#include "texttable.h"

DEFINE_string(server, "http://127.0.0.1:7201",
              "base URLs of operators' listeners, http://IP:PORT, separated by "
              "commas; if one does not answer, the next one is tried");
DEFINE_string(token_file, "", "file with the operators' bearer token");
DEFINE_string(output, "table", "output format: table or json");
DEFINE_uint32(timeout_ms, 10000, "timeout of one call in milliseconds");
DEFINE_string(f, "", "JSON file with the resources; - for standard input");
DEFINE_string(secret_file, "",
              "file with the secret of the only key in the JSON file that has "
              "no secret_sha256; the secret is hashed and not sent");
DEFINE_int64(resource_version, -1,
             "version of the resource to delete; the current one is read first "
             "when this is negative");
DEFINE_int64(from, -1,
             "show only changes after this version; when negative, all "
             "resources are shown first");
DEFINE_uint64(limit, 0, "stop after this many changes; 0 for no limit");

namespace comfreypaddle {
namespace {

std::string TrimLineEnd(std::string text) {
  while (!text.empty() && (text.back() == '\n' || text.back() == '\r')) {
    text.pop_back();
  }
  return text;
}

std::optional<std::string> ReadInput(const std::string& path) {
  std::ostringstream content;
  if (path == "-") {
    content << std::cin.rdbuf();
    return content.str();
  }
  const std::ifstream file(path, std::ios::binary);
  if (!file) return std::nullopt;
  content << file.rdbuf();
  return content.str();
}

// Reads the options from the flags. Returns an error message for invalid flags.
std::optional<std::string> ParseFlags(ApiOptions* options,
                                      OutputFormat* output_format) {
  std::istringstream servers(FLAGS_server);
  for (std::string server; std::getline(servers, server, ',');) {
    const auto address = ParseBaseUrl(server);
    if (!address) return "--server: \"" + server + "\" is not http://IP:PORT";
    options->m_servers.push_back("http://" + ToText(*address));
  }
  if (options->m_servers.empty())
    return "--server must name at least one server";
  const auto format = FromName<OutputFormat>(FLAGS_output);
  if (!format) return "--output must be table or json";
  *output_format = *format;
  options->m_timeout = std::chrono::milliseconds(FLAGS_timeout_ms);
  if (FLAGS_token_file.empty()) return std::nullopt;
  const auto token = ReadInput(FLAGS_token_file);
  if (!token) return "--token_file: cannot read " + FLAGS_token_file;
  options->m_token = TrimLineEnd(*token);
  return std::nullopt;
}

// Runs a subcommand with its own event loop and HTTP client.
template <typename Run>
int RunWithContext(Run run) {
  ApiOptions options;
  OutputFormat output_format = OutputFormat::kTable;
  if (const auto error = ParseFlags(&options, &output_format)) {
    std::cerr << *error << "\n";
    return static_cast<int>(ExitCode::kUsage);
  }
  EventLoop loop;
  loop.TakeOwnership();
  CurlClient client(loop);
  ApiSession session{loop, client, std::move(options)};
  OperatorContext context{session, output_format, std::cout, std::cerr};
  return static_cast<int>(run(context));
}

int Usage(std::string_view text) {
  std::cerr << text << "\n";
  return static_cast<int>(ExitCode::kUsage);
}

bool IsKnownKind(const std::string& kind) {
  return FromName<ResourceKind>(kind).has_value();
}

void ShowResources(OperatorContext& context, const schema::ResourceList& list) {
  if (context.m_output_format == OutputFormat::kJson) {
    context.m_out << ToJson(list) << "\n";
    return;
  }
  std::vector<const schema::Resource*> resources;
  for (const schema::Resource& resource : list.items()) {
    resources.push_back(&resource);
  }
  WriteTable(ResourceTable(resources), context.m_out);
}

std::string JoinNames(
    const google::protobuf::RepeatedPtrField<std::string>& names) {
  std::string text;
  for (const std::string& name : names)
    text += (text.empty() ? "" : ",") + name;
  return text.empty() ? "-" : text;
}

std::vector<std::string> StatusRow(const std::string& server,
                                   const schema::StatusReport& report) {
  return {server,
          report.name(),
          report.availability_zone(),
          std::to_string(report.next_offset()),
          report.log_reachable() ? "yes" : "no",
          report.admits() ? "yes" : "no: " + report.admit_reason(),
          report.draining() ? "yes" : "no",
          JoinNames(report.duties()),
          std::to_string(report.open_requests()),
          std::to_string(report.queued_requests())};
}

}  // namespace

std::string MakeRequestToken() {
  std::random_device device;
  std::ostringstream text;
  text << std::hex;
  for (int i = 0; i < 4; ++i) text << device() << (i < 3 ? "-" : "");
  return text.str();
}

ExitCode ReportFailure(OperatorContext& context, const std::string& subject,
                       const ApiReply& reply) {
  context.m_errors << subject << ": " << DescribeFailure(reply) << "\n";
  return ExitCode::kServer;
}

std::optional<schema::ResourceList> ListResources(OperatorContext& context,
                                                  std::string_view kind) {
  const ApiReply reply =
      CallApi(context.m_session, {.m_path = ResourcePath(kind, "")});
  schema::ResourceList list;
  if (reply.m_error || reply.m_status != 200) {
    ReportFailure(context, std::string(kind), reply);
    return std::nullopt;
  }
  if (auto error = FromJson(reply.m_body, UnknownFields::kIgnore, &list)) {
    context.m_errors << kind << ": unexpected answer: " << *error << "\n";
    return std::nullopt;
  }
  return list;
}

ExitCode GetResources(OperatorContext& context, std::string_view kind,
                      std::string_view name) {
  if (name.empty()) {
    const auto list = ListResources(context, kind);
    if (!list) return ExitCode::kServer;
    ShowResources(context, *list);
    return ExitCode::kOk;
  }
  const std::string subject = std::string(kind) + " " + std::string(name);
  const ApiReply reply =
      CallApi(context.m_session, {.m_path = ResourcePath(kind, name)});
  if (reply.m_error || reply.m_status != 200) {
    return ReportFailure(context, subject, reply);
  }
  schema::ResourceList list;
  schema::Resource* resource = list.add_items();
  if (auto error = FromJson(reply.m_body, UnknownFields::kIgnore, resource)) {
    context.m_errors << subject << ": unexpected answer: " << *error << "\n";
    return ExitCode::kServer;
  }
  if (context.m_output_format == OutputFormat::kJson) {
    context.m_out << ToJson(*resource) << "\n";
  } else {
    ShowResources(context, list);
  }
  return ExitCode::kOk;
}

ExitCode DeleteResource(OperatorContext& context, std::string_view kind,
                        std::string_view name,
                        std::optional<std::uint64_t> version) {
  const std::string subject = std::string(kind) + " " + std::string(name);
  const std::string path = ResourcePath(kind, name);
  if (!version) {
    const ApiReply reply = CallApi(context.m_session, {.m_path = path});
    schema::Resource current;
    if (reply.m_error || reply.m_status != 200 ||
        FromJson(reply.m_body, UnknownFields::kIgnore, &current)) {
      return ReportFailure(context, subject, reply);
    }
    version = current.resource_version();
  }
  const ApiReply reply =
      CallApi(context.m_session,
              {.m_method = "DELETE",
               .m_path = path + "?resource_version=" + std::to_string(*version),
               .m_request_token = MakeRequestToken()});
  if (reply.m_error || reply.m_status / 100 != 2) {
    return ReportFailure(context, subject, reply);
  }
  if (context.m_output_format == OutputFormat::kTable) {
    context.m_out << subject << " deleted\n";
  } else {
    context.m_out << reply.m_body << "\n";
  }
  return ExitCode::kOk;
}

ExitCode ShowStatus(OperatorContext& context) {
  ExitCode code = ExitCode::kOk;
  TextTable table{{"server", "name", "zone", "log position", "log answers",
                   "admits", "draining", "duties", "open", "queued"}};
  for (const std::string& server : context.m_session.m_options.m_servers) {
    const ApiReply reply =
        CallServer(context.m_session, server, {.m_path = "/api/v1/status"});
    schema::StatusReport report;
    if (reply.m_error || reply.m_status != 200 ||
        FromJson(reply.m_body, UnknownFields::kIgnore, &report)) {
      code = ReportFailure(context, server, reply);
    } else if (context.m_output_format == OutputFormat::kJson) {
      context.m_out << ToJson(report) << "\n";
    } else {
      table.push_back(StatusRow(server, report));
    }
  }
  if (context.m_output_format == OutputFormat::kTable)
    WriteTable(table, context.m_out);
  return code;
}

int RunGet(const std::vector<std::string>& arguments) {
  if (arguments.empty() || arguments.size() > 2 || !IsKnownKind(arguments[0])) {
    return Usage("get: expected KIND [NAME]");
  }
  return RunWithContext([&arguments](OperatorContext& context) {
    return GetResources(context, arguments[0],
                        arguments.size() > 1 ? arguments[1] : "");
  });
}

int RunApply(const std::vector<std::string>& arguments) {
  if (!arguments.empty() || FLAGS_f.empty()) {
    return Usage("apply: expected -f FILE.json");
  }
  const auto text = ReadInput(FLAGS_f);
  std::optional<std::string> secret;
  if (!FLAGS_secret_file.empty()) {
    secret = ReadInput(FLAGS_secret_file);
    if (secret) secret = TrimLineEnd(*secret);
  }
  if (!text || (!FLAGS_secret_file.empty() && !secret)) {
    std::cerr << "apply: cannot read " << (text ? FLAGS_secret_file : FLAGS_f)
              << "\n";
    return static_cast<int>(ExitCode::kInvalidInput);
  }
  return RunWithContext([&](OperatorContext& context) {
    return ApplyResources(context, *text, secret);
  });
}

int RunDelete(const std::vector<std::string>& arguments) {
  if (arguments.size() != 2 || !IsKnownKind(arguments[0])) {
    return Usage("delete: expected KIND NAME");
  }
  std::optional<std::uint64_t> version;
  if (FLAGS_resource_version >= 0) version = FLAGS_resource_version;
  return RunWithContext([&](OperatorContext& context) {
    return DeleteResource(context, arguments[0], arguments[1], version);
  });
}

int RunWatch(const std::vector<std::string>& arguments) {
  if (arguments.size() > 1 ||
      (!arguments.empty() && !IsKnownKind(arguments[0]))) {
    return Usage("watch: expected at most one KIND");
  }
  WatchOptions options;
  if (!arguments.empty()) options.m_kind = arguments[0];
  if (FLAGS_from >= 0) options.m_from = FLAGS_from;
  options.m_limit = FLAGS_limit;
  return RunWithContext([&options](OperatorContext& context) {
    return WatchResources(context, options);
  });
}

int RunStatus(const std::vector<std::string>& arguments) {
  if (!arguments.empty()) return Usage("status: unexpected argument");
  return RunWithContext(
      [](OperatorContext& context) { return ShowStatus(context); });
}

}  // namespace comfreypaddle
