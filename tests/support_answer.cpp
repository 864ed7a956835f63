#include "support_answer.h"

#include <algorithm>
#include <fstream>
#include <sstream>

#include "common_engine.h"
#include "http.pb.h"
#include "json.h"
#include "sse.h"

namespace comfreypaddle::testing {
namespace {

Reply Get(Cluster& cluster, std::uint16_t port) {
  HttpCall call;
  call.m_url = "http://127.0.0.1:" + std::to_string(port) + "/stats";
  return cluster.Call(std::move(call));
}

}  // namespace

StreamedAnswer ReadStream(const std::string& body) {
  StreamedAnswer answer;
  SseParser parser([&answer](const SseEvent& event) {
    if (event.m_data == "[DONE]") {
      answer.m_done = true;
      return;
    }
    schema::CompletionResponse chunk;
    if (FromJson(event.m_data, UnknownFields::kIgnore, &chunk)) return;
    if (chunk.choices_size() == 0 || chunk.choices(0).text().empty()) return;
    answer.m_positions.push_back(event.m_id);
    answer.m_text += chunk.choices(0).text();
  });
  parser.Feed(body);
  return answer;
}

std::string ExpectedText(const std::string& prompt, std::uint32_t tokens) {
  return standins::GeneratedText(standins::PromptHash(prompt), 1, tokens);
}

std::string FindStreamError(const Reply& reply, const std::string& prompt,
                            std::uint32_t tokens) {
  if (!reply.m_ended) return "the response did not end";
  if (reply.m_error) return "connection failed: " + reply.m_error.message();
  if (reply.m_status != 200) {
    return "status " + std::to_string(reply.m_status) + ": " + reply.m_body;
  }
  const StreamedAnswer answer = ReadStream(reply.m_body);
  if (!answer.m_done) return "no [DONE]";
  if (answer.m_positions.size() != tokens) {
    return std::to_string(answer.m_positions.size()) + " tokens";
  }
  for (std::uint32_t i = 0; i < tokens; ++i) {
    if (answer.m_positions[i] != i + 1) {
      return "position " + std::to_string(answer.m_positions[i]) +
             " instead of " + std::to_string(i + 1);
    }
  }
  return answer.m_text == ExpectedText(prompt, tokens)
             ? ""
             : "the text differs from the expected text";
}

std::string OutcomeIn(const Reply& reply) {
  schema::Problem problem;
  if (FromJson(reply.m_body, UnknownFields::kIgnore, &problem)) return {};
  return problem.outcome();
}

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

std::string ReadFile(const std::string& path) {
  std::ostringstream text;
  text << std::ifstream(path).rdbuf();
  return text.str();
}

bool SetFaults(Cluster& cluster, const std::string& base_url,
               const std::string& json) {
  HttpCall call;
  call.m_method = "POST";
  call.m_url = base_url + "/faults";
  call.m_body = json;
  return cluster.Call(std::move(call)).m_status == 200;
}

bool SetFaults(Cluster& cluster, std::uint16_t port, const std::string& json) {
  return SetFaults(cluster, "http://127.0.0.1:" + std::to_string(port), json);
}

schema::EngineStats EngineStatsOf(Cluster& cluster, std::uint16_t port) {
  schema::EngineStats stats;
  FromJson(Get(cluster, port).m_body, UnknownFields::kReject, &stats);
  return stats;
}

schema::ServiceStats ServiceStatsOf(Cluster& cluster, std::uint16_t port) {
  schema::ServiceStats stats;
  FromJson(Get(cluster, port).m_body, UnknownFields::kReject, &stats);
  return stats;
}

int Executions(Cluster& cluster, std::uint16_t port, const std::string& path) {
  const schema::ServiceStats stats = ServiceStatsOf(cluster, port);
  return static_cast<int>(
      std::count_if(stats.calls().begin(), stats.calls().end(),
                    [&path](const schema::ServiceCall& call) {
                      return call.path() == path;
                    }));
}

}  // namespace comfreypaddle::testing
