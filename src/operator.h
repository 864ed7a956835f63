#ifndef COMFREYPADDLE_OPERATOR_H_
#define COMFREYPADDLE_OPERATOR_H_

#include <array>
#include <cstdint>
#include <optional>
#include <ostream>
#include <string>
#include <string_view>
#include <vector>

#include "apiclient.h"
#include "command.h"
#include "types.h"

namespace comfreypaddle {

enum class OutputFormat { kTable, kJson };

template <>
struct EnumNames<OutputFormat> {
  static constexpr std::array<EnumName<OutputFormat>, 2> kTable{
      {{OutputFormat::kTable, "table"}, {OutputFormat::kJson, "json"}}};
};

// Dependencies of the operators' subcommands.
struct OperatorContext {
  ApiSession& m_session;
  OutputFormat m_output_format;
  std::ostream& m_out;
  std::ostream& m_errors;
};

// Prints the resource, or all resources of the kind if the name is empty.
ExitCode GetResources(OperatorContext& context, std::string_view kind,
                      std::string_view name);

// Writes the resources in the JSON text. The secret, if given, is that of the
// only key without secret_sha256; only its hash is sent.
ExitCode ApplyResources(OperatorContext& context, std::string_view text,
                        const std::optional<std::string>& secret);

// Deletes the resource at this version; without one, at the current version.
ExitCode DeleteResource(OperatorContext& context, std::string_view kind,
                        std::string_view name,
                        std::optional<std::uint64_t> version);

// Selection and limit of a watch.
struct WatchOptions {
  std::string m_kind;                   // All kinds when empty.
  std::optional<std::uint64_t> m_from;  // Changes after this version only.
  std::uint64_t m_limit = 0;  // Stops after this many changes; 0 for no limit.
};

// Prints resources and their changes. Returns when the limit is reached, a
// server rejects the watch, or no server answers for a minute.
ExitCode WatchResources(OperatorContext& context, const WatchOptions& options);

// Prints the status of each server. Fails if one of them does not answer.
ExitCode ShowStatus(OperatorContext& context);

// Prints an error line for the reply and returns the exit code.
ExitCode ReportFailure(OperatorContext& context, const std::string& subject,
                       const ApiReply& reply);

// Returns a random token that identifies one write.
std::string MakeRequestToken();

// Reads all resources of a kind. On failure prints the error and returns
// nothing.
std::optional<schema::ResourceList> ListResources(OperatorContext& context,
                                                  std::string_view kind);

// Entry points of the subcommands; their options come from gflags.
int RunGet(const std::vector<std::string>& arguments);
int RunApply(const std::vector<std::string>& arguments);
int RunDelete(const std::vector<std::string>& arguments);
int RunWatch(const std::vector<std::string>& arguments);
int RunStatus(const std::vector<std::string>& arguments);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_OPERATOR_H_
