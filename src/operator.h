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

// What the operators' subcommands work with.
struct OperatorContext {
  ApiSession& m_session;
  OutputFormat m_output_format;
  std::ostream& m_out;
  std::ostream& m_errors;
};

// Shows the resource, or all of the kind if the name is empty.
ExitCode GetResources(OperatorContext& context, std::string_view kind,
                      std::string_view name);

// Writes the resources in the JSON text. The secret, if given, belongs to the
// only key in the text that has no secret_sha256; only its hash is sent.
ExitCode ApplyResources(OperatorContext& context, std::string_view text,
                        const std::optional<std::string>& secret);

// Deletes the resource if it has this version, or the one that is read first.
ExitCode DeleteResource(OperatorContext& context, std::string_view kind,
                        std::string_view name,
                        std::optional<std::uint64_t> version);

// What a watch shows.
struct WatchOptions {
  std::string m_kind;                   // All kinds when empty.
  std::optional<std::uint64_t> m_from;  // Changes after this version only.
  std::uint64_t m_limit = 0;            // Ends after so many; zero for never.
};

// Shows resources and their changes. Returns when the limit is reached, a
// server refuses, or no server answers for a minute.
ExitCode WatchResources(OperatorContext& context, const WatchOptions& options);

// Shows the status of each server. Fails if one of them does not answer.
ExitCode ShowStatus(OperatorContext& context);

// Writes an error line for the reply and returns the code for it.
ExitCode ReportFailure(OperatorContext& context, const std::string& subject,
                       const ApiReply& reply);

// Returns a token that no other write has.
std::string MakeRequestToken();

// Reads all resources of a kind. Returns nothing if no server gave
// a list; the failure has been reported then.
std::optional<schema::ResourceList> ListResources(OperatorContext& context,
                                                  std::string_view kind);

// Subcommands, with the flags that gflags holds.
int RunGet(const std::vector<std::string>& arguments);
int RunApply(const std::vector<std::string>& arguments);
int RunDelete(const std::vector<std::string>& arguments);
int RunWatch(const std::vector<std::string>& arguments);
int RunStatus(const std::vector<std::string>& arguments);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_OPERATOR_H_
