// A rolling restart of a zone with light traffic.
//
// Three entry processes of one zone serve short streams, about 12 a second. In
// each round they get SIGTERM in turn, one second apart, and are started again
// after they have ended. The load balancer follows the platform's page: it asks
// each process once a second, takes it out after two misses, and uses all
// processes of the zone if fewer than half of them are in rotation.
//
// Rule LOST, around planned work: a request that a process has read and passed
// on to a replica must be answered completely.
#include "standins.h"

using namespace review;

namespace {

constexpr double kGraceS = 8.0;  // graceS
constexpr double kGapS = 1.0;    // gap_s of roll_term
constexpr double kRestartS = 0.5;
constexpr double kRoundS = 9.3;  // Up to a second more, at random.
constexpr int kRounds = 9;
constexpr int kMachines = 3;
constexpr int kEvents = 10;
constexpr double kFirstEventS = 0.05;
constexpr double kEventGapS = 0.03;
constexpr double kPeriodS = 0.08;  // Between two requests.

const char* const kConfiguration =
    R"({"version":3,"routeTable":[{"name":"summary","hostname":"h.example",)"
    R"("pathPrefix":"/summary/","routeType":"streaming","timeoutMs":3000,)"
    R"("targetLatencyMs":400,"targetGapMs":250,"priority":1,"service":"models",)"
    R"("public":false,"maxAttempts":1}],"serviceTable":[{"name":"models",)"
    R"("healthPath":"/healthz","maxConnections":610}],"limits":)"
    R"({"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":5000,)"
    R"("idleTimeoutMs":10000},"tenants":[{"name":"t1","apiKeys":["key1"]}]})";

// State of one machine, as the load balancer and the operator see it.
struct Machine {
  std::unique_ptr<Entry> m_entry;
  std::atomic<bool> m_in_rotation{true};
  std::atomic<double> m_term_at{-100};  // Last SIGTERM.
};

std::string Chunk(const std::string& bytes) {
  char size[24];
  std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
  return size + bytes + "\r\n";
}

// What happened to one request.
struct Trace {
  bool m_reached_replica = false;
  bool m_replica_finished = false;  // The replica has written all events.
};

int Main(const std::string& folder) {
  signal(SIGPIPE, SIG_IGN);
  Start();
  Record record(folder + "/record.txt");
  Folder temporary;
  const std::string base = LoopbackBase();
  Store store;
  Server store_server(base + "1", 0, [&](int fd, const Message& request) {
    return store.Handle(fd, request);
  });
  Server duties(base + "1", 0, AcceptDuty);
  store.Put("keyed.op", "config", kConfiguration);
  std::mutex mutex;
  std::map<std::string, Trace> traces;  // By attempt.
  std::vector<std::unique_ptr<Replica>> replicas;
  for (int i = 0; i < 3; ++i) {
    replicas.push_back(std::make_unique<Replica>(
        store, "r" + std::to_string(i), "models", "lulea-a", base + "1", 12,
        [&](Replica&, int fd, const Message& request,
            const std::string& fields) {
          const std::string attempt = request.Field("Attempt-Id");
          {
            const std::lock_guard<std::mutex> lock(mutex);
            traces[attempt].m_reached_replica = true;
          }
          record.Line("a replica runs " + attempt);
          Sleep(kFirstEventS);
          bool open = SendAll(fd, "HTTP/1.1 200 OK\r\n" + fields +
                                      "Content-Type: text/event-stream\r\n"
                                      "Transfer-Encoding: chunked\r\n\r\n");
          for (int event = 1; open && event <= kEvents; ++event) {
            if (event > 1) Sleep(kEventGapS);
            open = SendAll(fd, Chunk("id: " + std::to_string(event) +
                                     "\ndata: token\n\n"));
          }
          if (open) open = SendAll(fd, "0\r\n\r\n");
          const std::lock_guard<std::mutex> lock(mutex);
          traces[attempt].m_replica_finished = open;
          return open;
        }));
  }
  std::vector<std::unique_ptr<Machine>> machines;
  for (int i = 0; i < kMachines; ++i) {
    const std::string name = "edge-lulea-a-" + std::to_string(i + 1);
    temporary.Expect(name);
    machines.push_back(std::make_unique<Machine>());
    machines.back()->m_entry = std::make_unique<Entry>(
        EntryPlace{name, "lulea-a", "norrland", base + std::to_string(11 + i)},
        temporary.Path(), store_server.At(), duties.At(), Bounds{kGraceS});
    machines.back()->m_entry->Launch();
  }
  for (const auto& machine : machines) {
    if (!machine->m_entry->WaitReady(15)) {
      CannotRun("an entry process is not ready");
    }
  }
  Sleep(5);  // All are in touch.

  std::atomic<bool> ending{false};
  std::vector<std::thread> balancer;
  for (const auto& machine : machines) {
    balancer.emplace_back([&ending, machine = machine.get()] {
      int misses = 0;
      // Each machine is asked at its own moment of the second.
      Sleep((std::random_device{}() % 1000) / 1000.0);
      while (!ending) {
        const double asked = Seconds();
        misses = machine->m_entry->IsReady() ? 0 : misses + 1;
        if (misses == 0) machine->m_in_rotation = true;
        if (misses == 2) machine->m_in_rotation = false;
        Sleep(std::max(0.0, asked + 1.0 - Seconds()));
      }
    });
  }
  std::atomic<int> lost{0};
  std::atomic<int> answered{0};
  std::atomic<int> sent{0};
  const auto ask = [&](Machine& machine, int number) {
    const std::string attempt = "s" + std::to_string(number);
    const Answer answer =
        Ask(*machine.m_entry,
            "POST /summary/a HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: " +
                attempt + "\r\nDeadline-Ms: 3000\r\nKey: key1\r\n",
            "prompt", 5);
    if (answer.m_complete) {
      record.Line("request " + attempt + " to " +
                  machine.m_entry->Place().m_name + " is answered with " +
                  std::to_string(answer.m_status));
      if (answer.m_status == 200) ++answered;
      return;
    }
    const std::lock_guard<std::mutex> lock(mutex);
    const Trace trace = traces[attempt];
    const double term = machine.m_term_at;
    const bool planned =
        answer.m_sent > term && answer.m_ended < term + kGraceS * 5 / 6;
    record.Line(
        "request " + attempt + " to " + machine.m_entry->Place().m_name +
        ", sent " + std::to_string(answer.m_sent - term) +
        " s after its SIGTERM, ended " + std::to_string(answer.m_ended - term) +
        " s after it with status " + std::to_string(answer.m_status) + " and " +
        std::to_string(answer.m_body.size()) + " bytes, " +
        (trace.m_reached_replica ? "was passed on" : "was not passed on"));
    if (trace.m_reached_replica && planned) ++lost;
  };
  std::thread traffic([&] {
    std::vector<std::thread> requests;
    std::mt19937 random(std::random_device{}());
    while (!ending) {
      std::vector<Machine*> candidates;
      for (const auto& machine : machines) {
        if (machine->m_in_rotation) candidates.push_back(machine.get());
      }
      const bool all =
          !candidates.empty() &&
          2 * candidates.size() < static_cast<std::size_t>(kMachines);
      if (all) {
        candidates.clear();
        for (const auto& machine : machines)
          candidates.push_back(machine.get());
      }
      if (!candidates.empty()) {
        Machine* machine = candidates[random() % candidates.size()];
        const int number = ++sent;
        requests.emplace_back(
            [&ask, machine, number] { ask(*machine, number); });
      }
      Sleep(kPeriodS);
    }
    for (std::thread& request : requests) request.join();
  });

  for (int round = 0; round < kRounds && lost == 0; ++round) {
    const double begin = Seconds();
    const double end =
        begin + kRoundS + (std::random_device{}() % 1000) / 1000.0;
    for (int step = 0; Trouble() && step < kMachines; ++step) {
      Machine& machine = *machines[(round + step) % kMachines];
      Sleep(std::max(0.0, begin + step * kGapS - Seconds()));
      machine.m_term_at = Seconds();
      machine.m_entry->Signal(SIGTERM);
      record.Line("SIGTERM to " + machine.m_entry->Place().m_name);
    }
    double restart_at[kMachines] = {};
    while (Seconds() < end) {
      for (int i = 0; Trouble() && i < kMachines; ++i) {
        Machine& machine = *machines[i];
        if (restart_at[i] == 0 && machine.m_entry->HasEnded()) {
          record.Line(machine.m_entry->Place().m_name + " has ended " +
                      std::to_string(Seconds() - machine.m_term_at) +
                      " s after its SIGTERM");
          restart_at[i] = Seconds() + kRestartS;
        }
        if (restart_at[i] > 0 && Seconds() >= restart_at[i]) {
          machine.m_entry->Launch();
          restart_at[i] = 1e9;
        }
      }
      Sleep(0.02);
    }
  }
  ending = true;
  traffic.join();
  for (std::thread& thread : balancer) thread.join();
  if (answered * 2 < sent) CannotRun("most requests fail");
  record.Line(
      "requests: " + std::to_string(sent.load()) +
      ", answered with 200: " + std::to_string(answered.load()) +
      ", passed on and cut by a planned stop: " + std::to_string(lost.load()));
  record.Line(lost > 0 ? "LOST is broken" : "LOST holds");
  return lost > 0 ? 1 : 0;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 2) CannotRun("usage: case FOLDER");
  const int code = Main(argv[1]);
  std::cout << (code == 1 ? "rule broken" : "rule held") << std::endl;
  std::_Exit(code);
}
