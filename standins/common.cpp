#include "common.h"

#include <gflags/gflags.h>
#include <glog/logging.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include <algorithm>
#include <charconv>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <utility>

#include "http.pb.h"
#include "json.h"

namespace comfreypaddle::standins {

namespace {

sigset_t TerminationSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

}  // namespace

void InitProgram(int* argc, char*** argv, const char* usage) {
  gflags::SetUsageMessage(usage);
  gflags::ParseCommandLineFlags(argc, argv, true);
  if (*argc > 1) {
    std::cerr << (*argv)[0] << ": unexpected argument " << (*argv)[1] << "\n";
    std::exit(2);
  }
  FLAGS_logtostderr = true;
  google::InitGoogleLogging((*argv)[0]);
  const sigset_t signals = TerminationSignals();
  sigprocmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
}

TerminationWatch::TerminationWatch(EventLoop& loop,
                                   EventLoop::Callback on_signal)
    : m_loop(loop) {
  const sigset_t signals = TerminationSignals();
  m_descriptor = signalfd(-1, &signals, SFD_NONBLOCK | SFD_CLOEXEC);
  m_loop.Watch(m_descriptor, [this, callback = std::move(on_signal)] {
    signalfd_siginfo info{};
    if (read(m_descriptor, &info, sizeof(info)) > 0) callback();
  });
}

TerminationWatch::~TerminationWatch() {
  m_loop.Unwatch(m_descriptor);
  close(m_descriptor);
}

TokenBucket MakeTokenBucket(double rate, double burst, Instant now) {
  return {rate, burst, burst, now};
}

bool ConsumeToken(TokenBucket& bucket, Instant now) {
  if (bucket.m_rate <= 0.0) return true;
  const std::chrono::duration<double> passed = now - bucket.m_updated;
  bucket.m_updated = now;
  bucket.m_tokens = std::min(bucket.m_burst,
                             bucket.m_tokens + passed.count() * bucket.m_rate);
  if (bucket.m_tokens < 1.0) return false;
  bucket.m_tokens -= 1.0;
  return true;
}

std::vector<std::string> Split(std::string_view text, char separator) {
  std::vector<std::string> parts;
  while (!text.empty()) {
    const std::size_t end = text.find(separator);
    parts.emplace_back(text.substr(0, end));
    if (end == std::string_view::npos) break;
    text.remove_prefix(end + 1);
  }
  return parts;
}

std::uint64_t NumberField(const HttpFields& fields, std::string_view name,
                          std::uint64_t fallback) {
  const std::string_view text = FindField(fields, name);
  std::uint64_t value = 0;
  const auto result =
      std::from_chars(text.data(), text.data() + text.size(), value);
  const bool complete = result.ptr == text.data() + text.size();
  return result.ec == std::errc() && complete ? value : fallback;
}

bool Contains(const HttpRequest& request, std::string_view text) {
  if (text.empty()) return false;
  const auto in_field = [text](const HttpField& field) {
    return field.m_value.find(text) != std::string::npos ||
           field.m_name.find(text) != std::string::npos;
  };
  return request.m_path.find(text) != std::string::npos ||
         request.m_body.find(text) != std::string::npos ||
         std::any_of(request.m_headers.begin(), request.m_headers.end(),
                     in_field) ||
         std::any_of(request.m_query.begin(), request.m_query.end(), in_field);
}

void RespondJson(ResponsePort& port, std::uint64_t id, int status,
                 const google::protobuf::Message& message) {
  port.Respond(id, status, {{"Content-Type", "application/json"}},
               ToJson(message));
}

void RespondProblem(ResponsePort& port, std::uint64_t id, int status,
                    std::string_view code, Outcome outcome,
                    std::string_view detail) {
  schema::Problem problem;
  problem.set_type("about:blank");
  problem.set_title(std::string(code));
  problem.set_status(static_cast<std::uint32_t>(status));
  problem.set_detail(std::string(detail));
  problem.set_code(std::string(code));
  problem.set_outcome(std::string(ToName(outcome)));
  HttpFields headers = {{"Content-Type", "application/problem+json"},
                        {"X-Outcome", std::string(ToName(outcome))}};
  port.Respond(id, status, std::move(headers), ToJson(problem));
}

}  // namespace comfreypaddle::standins
