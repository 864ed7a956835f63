// Simulated endpoint of the users' platform as a process of its own, so that it
// can be paused and killed. Prints a line for each arrival and for the begin
// and end of each run: what, target, attempt, microseconds of the clock that
// all processes share.

#include <gflags/gflags.h>
#include <glog/logging.h>

#include <cstdio>
#include <random>

#include "common.h"
#include "common_endpoint.h"

DEFINE_uint32(port, 0, "TCP port to listen on at 127.0.0.1; required");
DEFINE_string(id, "", "id of the endpoint; required");
DEFINE_uint32(seed, 1, "seed of the choice of acts");
DEFINE_string(acts, "answer",
              "what it does with requests, separated by commas; each request "
              "gets one of them at random");

DEFINE_uint64(born, 0,
              "start of the endpoint that its reports name, Unix ms; 0: now");
DEFINE_bool(copies, false,
            "sends a copy of each refusal in front of the next response on its "
            "connection");

namespace comfreypaddle::standins {
namespace {

void PrintLine(const char* what, const std::string& target,
               const std::string& attempt, Instant at) {
  std::printf("%s %s %s %lld\n", what, target.c_str(), attempt.c_str(),
              static_cast<long long>(at.time_since_epoch().count()));
  std::fflush(stdout);
}

// Returns nothing if a name is unknown.
std::optional<std::vector<EndpointAct>> ParseActs(const std::string& names) {
  std::vector<EndpointAct> acts;
  for (const std::string& name : Split(names, ',')) {
    const auto act = FromName<EndpointAct>(name);
    if (!act) return std::nullopt;
    acts.push_back(*act);
  }
  return acts;
}

int Run(const std::vector<EndpointAct>& acts) {
  EventLoop loop;
  SocketSet sockets(loop);
  FakeEndpoint endpoint(sockets, FLAGS_id,
                        static_cast<std::uint16_t>(FLAGS_port));
  endpoint.SetCopies(FLAGS_copies);
  std::mt19937 random(FLAGS_seed);
  endpoint.SetActs([&random, &acts] {
    return acts.at(
        std::uniform_int_distribution<std::size_t>(0, acts.size() - 1)(random));
  });
  endpoint.SetObservers(
      [](const EndpointArrival& arrival) {
        PrintLine("arrived", arrival.m_target, arrival.m_attempt, arrival.m_at);
      },
      [&endpoint](std::size_t index) {
        const EndpointRun& run = endpoint.Runs().at(index);
        PrintLine(run.m_ended ? "ended" : "began", run.m_target, run.m_attempt,
                  run.m_ended.value_or(run.m_began));
      });
  if (const std::error_code error = endpoint.Listen()) {
    LOG(ERROR) << "cannot listen on port " << FLAGS_port << ": "
               << error.message();
    return 1;
  }
  if (FLAGS_born > 0) endpoint.SetBornMs(FLAGS_born);
  const TerminationWatch termination(loop, [&loop] { loop.Stop(); });
  loop.Run();
  return 0;
}

}  // namespace
}  // namespace comfreypaddle::standins

int main(int argc, char** argv) {
  namespace standins = comfreypaddle::standins;
  standins::InitProgram(&argc, &argv,
                        "stand-in for an endpoint of the users' platform");
  const auto acts = standins::ParseActs(FLAGS_acts);
  if (FLAGS_port == 0 || FLAGS_port > 65535 || FLAGS_id.empty() || !acts ||
      acts->empty()) {
    LOG(ERROR) << "--port, --id and --acts must be given and valid";
    return 2;
  }
  return standins::Run(*acts);
}
