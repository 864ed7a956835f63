#include "command.h"

#include <gflags/gflags.h>
#include <glog/logging.h>

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <sstream>

#include "bench.h"
#include "entry.h"
#include "operator.h"
#include "platform/adapter.h"
#include "serve.h"
#include "settings.h"

DEFINE_string(config, "", "settings file of the instance (INI)");
DEFINE_bool(entry, false, "check settings of `entry`");
DEFINE_int32(seeds, 1, "number of seeds, reported as mean with confidence");

namespace comfreypaddle {
namespace {

constexpr std::string_view kVersion = "0.1.0";
constexpr std::size_t kHelpWidth = 78;

constexpr std::string_view kBenchHelp =
    "Runs the decision modules and the policies that they are compared with "
    "on\n"
    "seeded arrivals of both deployments. Prints a line\n"
    "\"measure=NAME deployment=NAME policy=NAME value=V unit=U\" for each\n"
    "measure, deployment and policy, then \"Bench: N\", a signature of all\n"
    "decisions. The same binary and seeds always give the same output. With\n"
    "more than one seed the bounds of the 95% confidence interval follow.\n";

constexpr std::string_view kServeHelp =
    "Runs an entry instance with the settings of the file until SIGTERM. On "
    "SIGTERM the instance tells the load balancer, stops its intake, finishes "
    "the open requests, hands over its duties and ends.";

constexpr std::string_view kEntryHelp =
    "Runs an entry instance on the users' platform with the settings of the "
    "file until SIGTERM. Without --config the path is taken from the "
    "platform's environment variable. On SIGTERM the instance tells the load "
    "balancer, finishes the open requests, hands over its duties and ends. On "
    "SIGHUP it checks the file again and logs the result.";

constexpr std::string_view kCheckHelp =
    "Validates the settings files and reports each error with file, line, "
    "section, key and reason. Nothing is started. With --entry the files are "
    "those of `entry`.";

constexpr std::string_view kGetHelp =
    "Shows the resource with this name, or all resources of the kind, with "
    "their versions. KIND is workspace, key, model, adapter, route, fleet or "
    "endpoint.";

constexpr std::string_view kApplyHelp =
    "Writes the resources of a JSON file: one object {\"kind\": KIND, "
    "\"resource\": {...}} or a list of such objects. An object may have "
    "\"resource_version\", the version that it replaces (0 if it must not "
    "exist); otherwise the current version is read first. A resource that is "
    "already as in the file is left alone. All objects are checked before the "
    "first one is written. If another operator writes a resource at the same "
    "time, the command reports the conflict and ends.";

constexpr std::string_view kDeleteHelp =
    "Deletes the resource, if its version is the given one or, without "
    "--resource_version, the one that the command reads first.";

constexpr std::string_view kWatchHelp =
    "Shows all resources and then each change, in the order of versions, until "
    "interrupted. With --from only the changes after that version are shown. "
    "If the server stops answering, the watch continues at another server, "
    "without gaps or repeats.";

constexpr std::string_view kStatusHelp =
    "Shows for each server its name and availability zone, its position in the "
    "log, whether it admits requests, whether it is draining, the duties that "
    "it holds and its open and queued requests.";

int Code(ExitCode code) { return static_cast<int>(code); }

// Loads a settings file and prints its errors to standard error.
bool LoadOrReport(const std::string& path, schema::Settings* settings) {
  const auto settings_errors = LoadSettings(path, settings);
  for (const SettingsError& error : settings_errors) {
    std::cerr << ToText(error) << "\n";
  }
  return settings_errors.empty();
}

int RunBenchCommand(const std::vector<std::string>& arguments) {
  if (!arguments.empty() || FLAGS_seeds < 1) {
    std::cerr << "bench: --seeds must be at least 1; see comfreypaddle bench "
                 "--help\n";
    return Code(ExitCode::kUsage);
  }
  return Bench(FLAGS_seeds);
}

int RunServe(const std::vector<std::string>& arguments) {
  if (!arguments.empty() || FLAGS_config.empty()) {
    std::cerr << "serve: expected --config FILE.ini\n";
    return Code(ExitCode::kUsage);
  }
  schema::Settings settings;
  if (!LoadOrReport(FLAGS_config, &settings))
    return Code(ExitCode::kInvalidInput);
  FLAGS_logtostderr = true;
  FLAGS_v = static_cast<int>(settings.logging().verbosity());
  google::InitGoogleLogging("comfreypaddle");
  return Serve(settings);
}

// Path of the settings file of `entry`; empty if there is none.
std::string EntrySettingsPath() {
  if (!FLAGS_config.empty()) return FLAGS_config;
  const char* path = std::getenv(platform::kSettingsVariable);
  return path == nullptr ? "" : path;
}

int RunEntryCommand(const std::vector<std::string>& arguments) {
  const std::string path = EntrySettingsPath();
  if (!arguments.empty() || path.empty()) {
    std::cerr << "entry: expected --config FILE.ini\n";
    return Code(ExitCode::kUsage);
  }
  schema::RelaySettings settings;
  const auto settings_errors = LoadRelaySettings(path, &settings);
  for (const SettingsError& error : settings_errors) {
    std::cerr << ToText(error) << "\n";
  }
  if (!settings_errors.empty()) return Code(ExitCode::kInvalidInput);
  FLAGS_logtostderr = true;
  google::InitGoogleLogging("comfreypaddle");
  return RunEntry(path, settings);
}

std::vector<SettingsError> FindErrors(const std::string& path) {
  schema::Settings settings;
  schema::RelaySettings entry_settings;
  return FLAGS_entry ? LoadRelaySettings(path, &entry_settings)
                     : LoadSettings(path, &settings);
}

int RunCheck(const std::vector<std::string>& arguments) {
  if (arguments.empty()) {
    std::cerr << "check: expected at least one settings file\n";
    return Code(ExitCode::kUsage);
  }
  bool valid = true;
  for (const std::string& path : arguments) {
    const auto settings_errors = FindErrors(path);
    for (const SettingsError& error : settings_errors) {
      std::cerr << ToText(error) << "\n";
    }
    if (settings_errors.empty()) std::cout << path << ": ok\n";
    valid = valid && settings_errors.empty();
  }
  return Code(valid ? ExitCode::kOk : ExitCode::kInvalidInput);
}

int RunVersion(const std::vector<std::string>& arguments) {
  if (!arguments.empty()) {
    std::cerr << "version: unexpected argument\n";
    return Code(ExitCode::kUsage);
  }
  std::cout << "comfreypaddle " << kVersion << "\n";
  return Code(ExitCode::kOk);
}

// Writes the text wrapped at kHelpWidth, with an indent.
void WriteWrapped(std::string_view text, std::size_t indent,
                  std::ostream& out) {
  std::istringstream words{std::string(text)};
  const std::string margin(indent, ' ');
  std::string line = margin;
  for (std::string word; words >> word;) {
    if (line.size() > indent && line.size() + 1 + word.size() > kHelpWidth) {
      out << line << "\n";
      line = margin;
    }
    if (line.size() > indent) line += ' ';
    line += word;
  }
  if (line.size() > indent) out << line << "\n";
}

// Flag as it is written on the command line: one dash for a one-character name.
std::string FlagText(std::string_view name) {
  return (name.size() == 1 ? "-" : "--") + std::string(name);
}

void WriteFlag(std::string_view name, std::ostream& out) {
  const auto info =
      gflags::GetCommandLineFlagInfoOrDie(std::string(name).c_str());
  out << "  " << FlagText(name);
  if (info.type != "bool") out << " VALUE";
  out << "\n";
  std::string text = info.description;
  if (!info.default_value.empty())
    text += " (default " + info.default_value + ")";
  WriteWrapped(text, 6, out);
}

// Splits "--name=value", "--name" or "-n" into name and value.
struct FlagArgument {
  std::string m_name;
  std::string m_value;
  bool m_has_value = false;
};

FlagArgument SplitFlag(const std::string& argument) {
  const std::size_t begin = argument.compare(0, 2, "--") == 0 ? 2 : 1;
  const std::size_t equals = argument.find('=');
  if (equals == std::string::npos) return {argument.substr(begin), "", false};
  return {argument.substr(begin, equals - begin), argument.substr(equals + 1),
          true};
}

bool SetFlag(const Command& command, const FlagArgument& flag,
             std::ostream& errors) {
  const std::string result =
      gflags::SetCommandLineOption(flag.m_name.c_str(), flag.m_value.c_str());
  if (!result.empty()) return true;
  errors << command.m_name << ": " << FlagText(flag.m_name)
         << " does not accept \"" << flag.m_value << "\"\n";
  return false;
}

const Command* FindCommand(std::string_view name) {
  for (const Command& command : Commands()) {
    if (command.m_name == name) return &command;
  }
  return nullptr;
}

// Subcommand `help`, also used for the program's --help.
int RunHelp(const std::vector<std::string>& arguments) {
  if (arguments.empty()) {
    WriteProgramHelp(std::cout);
    return Code(ExitCode::kOk);
  }
  const Command* command = FindCommand(arguments.front());
  if (command == nullptr) {
    std::cerr << "unknown subcommand \"" << arguments.front() << "\"\n";
    return Code(ExitCode::kUsage);
  }
  WriteCommandHelp(*command, std::cout);
  return Code(ExitCode::kOk);
}

}  // namespace

const std::vector<Command>& Commands() {
  static const auto* const commands = new std::vector<Command>{
      {"serve", "", "run an entry instance", kServeHelp, {"config"}, RunServe},
      {"entry",
       "",
       "run an entry instance on the users' platform",
       kEntryHelp,
       {"config"},
       RunEntryCommand},
      {"check",
       "FILE.ini...",
       "check settings files",
       kCheckHelp,
       {"entry"},
       RunCheck},
      {"bench",
       "",
       "measure the decisions on seeded inputs",
       kBenchHelp,
       {"seeds"},
       RunBenchCommand},
      {"get",
       "KIND [NAME]",
       "show one resource or all of a kind",
       kGetHelp,
       {"server", "token_file", "output", "timeout_ms"},
       RunGet},
      {"apply",
       "",
       "create or replace resources from a file",
       kApplyHelp,
       {"f", "secret_file", "server", "token_file", "output", "timeout_ms"},
       RunApply},
      {"delete",
       "KIND NAME",
       "delete a resource",
       kDeleteHelp,
       {"resource_version", "server", "token_file", "output", "timeout_ms"},
       RunDelete},
      {"watch",
       "[KIND]",
       "show changes of resources as they happen",
       kWatchHelp,
       {"from", "limit", "server", "token_file", "output", "timeout_ms"},
       RunWatch},
      {"status",
       "",
       "show what each entry instance is doing",
       kStatusHelp,
       {"server", "token_file", "output", "timeout_ms"},
       RunStatus},
      {"version",
       "",
       "show the version of the program",
       "Shows the version of the program.",
       {},
       RunVersion},
      {"help",
       "[NAME]",
       "show the help of the program or of a subcommand",
       "Shows the help of the program or of the subcommand.",
       {},
       RunHelp},
  };
  return *commands;
}

void WriteProgramHelp(std::ostream& out) {
  out << "Usage: comfreypaddle SUBCOMMAND [FLAGS] [ARGUMENTS]\n\n";
  WriteWrapped(
      "Entry instance for language models and plain services, and the tools of "
      "its operators.",
      0, out);
  out << "\nSubcommands:\n";
  for (const Command& command : Commands()) {
    std::string name(command.m_name);
    name.resize(10, ' ');
    out << "  " << name << command.m_summary << "\n";
  }
  out << "\nExit codes:\n"
         "  0  done\n"
         "  1  error in a settings file or resource\n"
         "  2  error in the command line\n"
         "  3  no server answered, the server rejected the call, or the write "
         "conflicted\n"
         "\nSee `comfreypaddle SUBCOMMAND --help` for flags and arguments.\n";
}

void WriteCommandHelp(const Command& command, std::ostream& out) {
  out << "Usage: comfreypaddle " << command.m_name;
  if (!command.m_flags.empty()) out << " [FLAGS]";
  if (!command.m_arguments.empty()) out << " " << command.m_arguments;
  out << "\n\n";
  WriteWrapped(command.m_help, 0, out);
  out << "\nFlags:\n";
  for (const std::string_view flag : command.m_flags) WriteFlag(flag, out);
  out << "  --help\n      show this help\n";
}

ParsedArguments ParseArguments(const Command& command,
                               const std::vector<std::string>& arguments,
                               std::ostream& errors) {
  ParsedArguments parsed;
  for (std::size_t i = 0; i < arguments.size(); ++i) {
    const std::string& argument = arguments[i];
    if (argument.size() < 2 || argument.front() != '-') {
      parsed.m_positional.push_back(argument);
      continue;
    }
    FlagArgument flag = SplitFlag(argument);
    if (flag.m_name == "help" || flag.m_name == "h") {
      parsed.m_help = true;
      continue;
    }
    if (std::find(command.m_flags.begin(), command.m_flags.end(),
                  flag.m_name) == command.m_flags.end()) {
      errors << command.m_name << ": unknown flag " << argument << "\n";
      return parsed;
    }
    if (!flag.m_has_value && i + 1 == arguments.size()) {
      errors << command.m_name << ": " << argument << " needs a value\n";
      return parsed;
    }
    if (!flag.m_has_value) flag.m_value = arguments[++i];
    if (!SetFlag(command, flag, errors)) return parsed;
  }
  parsed.m_valid = true;
  return parsed;
}

int RunProgram(int argc, char** argv) {
  const std::vector<std::string> arguments(argv + std::min(argc, 1),
                                           argv + argc);
  if (arguments.empty()) {
    WriteProgramHelp(std::cerr);
    return Code(ExitCode::kUsage);
  }
  if (arguments.front() == "--help" || arguments.front() == "-h") {
    return RunHelp({});
  }
  const Command* command = FindCommand(arguments.front());
  if (command == nullptr) {
    std::cerr << "unknown subcommand \"" << arguments.front()
              << "\"; see comfreypaddle --help\n";
    return Code(ExitCode::kUsage);
  }
  const ParsedArguments parsed = ParseArguments(
      *command, {arguments.begin() + 1, arguments.end()}, std::cerr);
  if (parsed.m_help) {
    WriteCommandHelp(*command, std::cout);
    return Code(ExitCode::kOk);
  }
  if (!parsed.m_valid) {
    std::cerr << "see comfreypaddle " << command->m_name << " --help\n";
    return Code(ExitCode::kUsage);
  }
  return command->m_run(parsed.m_positional);
}

}  // namespace comfreypaddle
