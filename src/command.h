#ifndef COMFREYPADDLE_COMMAND_H_
#define COMFREYPADDLE_COMMAND_H_

#include <ostream>
#include <string>
#include <string_view>
#include <vector>

namespace comfreypaddle {

// Exit codes of the program.
enum class ExitCode {
  kOk = 0,
  kInvalidInput = 1,  // Error in a settings file or resource.
  kUsage = 2,         // Error in the command line.
  kServer = 3  // No server answered, the server rejected the call, or the write
               // conflicted.
};

// Subcommand of the program.
struct Command {
  std::string_view m_name;
  std::string_view m_arguments;  // Positional arguments, for the help text.
  std::string_view m_summary;    // One line for the list of subcommands.
  std::string_view m_help;       // Paragraphs that explain the subcommand.
  std::vector<std::string_view> m_flags;  // Names of its gflags.
  int (*m_run)(const std::vector<std::string>& arguments);
};

// Returns the table of subcommands.
const std::vector<Command>& Commands();

// Writes the help of the program.
void WriteProgramHelp(std::ostream& out);

// Writes the help of a subcommand, with its flags and their defaults.
void WriteCommandHelp(const Command& command, std::ostream& out);

// Sets the command's flags from the arguments and returns the positional ones.
// An error is written to the stream and leaves m_valid false.
//
// The gflags parser is not used because it accepts the flags of all subcommands
// and libraries, and exits with code 1 on an error.
struct ParsedArguments {
  bool m_valid = false;
  bool m_help = false;
  std::vector<std::string> m_positional;
};
ParsedArguments ParseArguments(const Command& command,
                               const std::vector<std::string>& arguments,
                               std::ostream& errors);

// Runs the program with the arguments of main and returns its exit code.
int RunProgram(int argc, char** argv);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_COMMAND_H_
