#ifndef COMFREYPADDLE_TESTS_SUPPORT_ANSWER_H_
#define COMFREYPADDLE_TESTS_SUPPORT_ANSWER_H_

#include <cstdint>
#include <string>
#include <vector>

#include "standins.pb.h"
#include "support_process.h"

namespace comfreypaddle::testing {

// Streamed answer to a completion as its caller read it.
struct StreamedAnswer {
  std::vector<std::uint64_t> m_positions;  // In the order of arrival.
  std::string m_text;
  bool m_done = false;  // The answer ended with [DONE].
};

StreamedAnswer ReadStream(const std::string& body);

// Returns the whole text that an engine answers to a prompt.
std::string ExpectedText(const std::string& prompt, std::uint32_t tokens);

// Returns what is wrong with a streamed answer that has to be whole, or an
// empty text.
std::string FindStreamError(const Reply& reply, const std::string& prompt,
                            std::uint32_t tokens);

// Returns the outcome named in a problem answer, or an empty text.
std::string OutcomeIn(const Reply& reply);

bool Contains(const std::string& text, const std::string& part);

// Returns the content of a file.
std::string ReadFile(const std::string& path);

// Sets faults of a stand-in. Returns whether it took them.
bool SetFaults(Cluster& cluster, const std::string& base_url,
               const std::string& json);
bool SetFaults(Cluster& cluster, std::uint16_t port, const std::string& json);

schema::EngineStats EngineStatsOf(Cluster& cluster, std::uint16_t port);
schema::ServiceStats ServiceStatsOf(Cluster& cluster, std::uint16_t port);

// Returns how often a service executed calls of a path.
int Executions(Cluster& cluster, std::uint16_t port, const std::string& path);

}  // namespace comfreypaddle::testing

#endif  // COMFREYPADDLE_TESTS_SUPPORT_ANSWER_H_
