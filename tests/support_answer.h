#ifndef COMFREYPADDLE_TESTS_SUPPORT_ANSWER_H_
#define COMFREYPADDLE_TESTS_SUPPORT_ANSWER_H_

#include <cstdint>
#include <string>
#include <vector>

#include "standins.pb.h"
#include "support_process.h"

namespace comfreypaddle::testing {

// Streamed response to a completion as received by its caller.
struct StreamedAnswer {
  std::vector<std::uint64_t> m_positions;  // In the order of arrival.
  std::string m_text;
  bool m_done = false;  // The response ended with [DONE].
};

StreamedAnswer ReadStream(const std::string& body);

// Returns the complete text that an engine generates for a prompt.
std::string ExpectedText(const std::string& prompt, std::uint32_t tokens);

// Returns the defect of a streamed response that must be complete, or an empty
// string.
std::string FindStreamError(const Reply& reply, const std::string& prompt,
                            std::uint32_t tokens);

// Returns the outcome in a problem document, or an empty string.
std::string OutcomeIn(const Reply& reply);

bool Contains(const std::string& text, const std::string& part);

// Returns the content of a file.
std::string ReadFile(const std::string& path);

// Configures faults of a stand-in. Returns whether it accepted them.
bool SetFaults(Cluster& cluster, const std::string& base_url,
               const std::string& json);
bool SetFaults(Cluster& cluster, std::uint16_t port, const std::string& json);

schema::EngineStats EngineStatsOf(Cluster& cluster, std::uint16_t port);
schema::ServiceStats ServiceStatsOf(Cluster& cluster, std::uint16_t port);

// Returns the number of calls with this path that a service executed.
int Executions(Cluster& cluster, std::uint16_t port, const std::string& path);

}  // namespace comfreypaddle::testing

#endif  // COMFREYPADDLE_TESTS_SUPPORT_ANSWER_H_
