// A frozen neighbour brings a replica that has left back into use.
//
// Four entry processes in three zones serve one idempotent route of a plain
// service. Requests go to the second process of the first zone, which nothing
// impairs. In each round its neighbour, the first process of the zone, stands
// still for 4 s, and a replica leaves without reporting `draining`: its entry
// is removed 0.2 s after the freeze began, and it goes on serving for 8 s.
//
// Rule DRAIN: no request reaches that replica from a machine in touch later
// than drainMs after the store has confirmed that it is gone.
#include "standins.h"

using namespace review;

namespace {

constexpr double kDrainS = 2.5;   // drainMs
constexpr double kFreezeS = 4.0;  // As in the day files of the site.
constexpr double kServesOnS = 8.0;
constexpr double kRoundS = 10.5;
constexpr int kRounds = 9;

const char* const kConfiguration =
    R"({"version":3,"routeTable":[{"name":"lookup","hostname":"h.example",)"
    R"("pathPrefix":"/lookup/","routeType":"idempotent","timeoutMs":3000,)"
    R"("targetLatencyMs":300,"priority":1,"service":"desk","public":false,)"
    R"("maxAttempts":2}],"serviceTable":[{"name":"desk","healthPath":"/healthz",)"
    R"("maxConnections":96}],"limits":{"maxHeaderBytes":16384,)"
    R"("maxBodyBytes":4194304,"headerTimeoutMs":5000,"idleTimeoutMs":10000},)"
    R"("tenants":[{"name":"t1","apiKeys":["key1"]}]})";

struct Arrival {
  double m_at = 0;
  std::string m_replica;
  std::string m_attempt;
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
  std::vector<Arrival> arrivals;
  std::vector<std::unique_ptr<Replica>> replicas;
  for (int i = 0; i < kRounds + 3; ++i) {
    replicas.push_back(std::make_unique<Replica>(
        store, "r" + std::to_string(i), "desk", "uppsala-a", base + "1", 6,
        [&](Replica& self, int fd, const Message& request,
            const std::string& fields) {
          {
            const std::lock_guard<std::mutex> lock(mutex);
            arrivals.push_back(
                {Seconds(), self.Name(), request.Field("Attempt-Id")});
          }
          Sleep(0.03);
          return SendAll(fd, Response(200, fields, "ok"));
        }));
  }
  const std::vector<EntryPlace> places = {
      {"edge-uppsala-a-1", "uppsala-a", "svealand", base + "11"},
      {"edge-uppsala-a-2", "uppsala-a", "svealand", base + "12"},
      {"edge-lulea-a-1", "lulea-a", "norrland", base + "13"},
      {"edge-malmo-a-1", "malmo-a", "gotaland", base + "14"}};
  std::vector<std::unique_ptr<Entry>> entries;
  for (const EntryPlace& place : places) {
    temporary.Expect(place.m_name);
    entries.push_back(std::make_unique<Entry>(place, temporary.Path(),
                                              store_server.At(), duties.At()));
    entries.back()->Launch();
  }
  for (const auto& entry : entries) {
    if (!entry->WaitReady(15)) CannotRun("an entry process is not ready");
  }
  std::atomic<bool> ending{false};
  std::atomic<int> sent{0};
  std::atomic<int> answered{0};
  std::vector<std::thread> clients;
  for (int c = 0; c < 6; ++c) {
    clients.emplace_back([&, c] {
      for (int i = 0; !ending; ++i) {
        ++sent;
        const Answer answer = Ask(
            *entries[1],
            "GET /lookup/a HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: c" +
                std::to_string(c) + "-" + std::to_string(i) +
                "\r\nDeadline-Ms: 3000\r\nKey: key1\r\nConnection: close\r\n",
            "", 4);
        if (answer.m_status == 200) ++answered;
        Sleep(0.05);
      }
    });
  }
  Sleep(8);  // All are in touch.
  int late = 0;
  for (int round = 0; round < kRounds && late == 0; ++round) {
    Entry& neighbour = *entries[0];
    if (Trouble()) {
      neighbour.Signal(SIGSTOP);
      record.Line(neighbour.Place().m_name + " is frozen");
    }
    const double thaw = Seconds() + kFreezeS;
    Sleep(0.2);
    Replica& leaving = *replicas[round];
    leaving.RemoveEntry();
    const double removed = Seconds();
    record.Line("the store confirms that " + leaving.Name() + " is gone");
    Sleep(thaw - Seconds());
    if (Trouble()) {
      neighbour.Signal(SIGCONT);
      record.Line(neighbour.Place().m_name + " wakes");
    }
    Sleep(removed + kServesOnS - Seconds());
    leaving.Exit();
    record.Line(leaving.Name() + " exits");
    Sleep(kRoundS - kServesOnS - 0.2);
    const std::lock_guard<std::mutex> lock(mutex);
    int arrived = 0;
    for (const Arrival& arrival : arrivals) {
      if (arrival.m_replica != leaving.Name() || arrival.m_at < removed) {
        continue;
      }
      ++arrived;
      record.Line(leaving.Name() + " runs " + arrival.m_attempt +
                  ", which arrived " + std::to_string(arrival.m_at - removed) +
                  " s after it was gone");
      if (arrival.m_at <= removed + kDrainS) continue;
      ++late;
    }
    record.Line("so far " + std::to_string(sent.load()) + " requests sent to " +
                entries[1]->Place().m_name + ", " +
                std::to_string(answered.load()) + " answered with 200, " +
                std::to_string(arrivals.size()) + " run");
    record.Line(leaving.Name() + " got " + std::to_string(arrived) +
                " requests after it was gone, " + std::to_string(late) +
                " of them later than drainMs");
  }
  ending = true;
  for (std::thread& client : clients) client.join();
  record.Line(late > 0 ? "DRAIN is broken" : "DRAIN holds");
  return late > 0 ? 1 : 0;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 2) CannotRun("usage: case FOLDER");
  const int code = Main(argv[1]);
  std::cout << (code == 1 ? "rule broken" : "rule held") << std::endl;
  std::_Exit(code);
}
