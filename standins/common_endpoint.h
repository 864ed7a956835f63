#ifndef COMFREYPADDLE_STANDINS_COMMON_ENDPOINT_H_
#define COMFREYPADDLE_STANDINS_COMMON_ENDPOINT_H_

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "httpserver.h"

namespace comfreypaddle::standins {

// What an endpoint of the users' platform does with a request.
enum class EndpointAct {
  kAnswer,
  kAnswerLate,   // After it has run for a second.
  kHang,         // Runs until the caller leaves.
  kRunOn,        // Runs for seconds, also when the caller has left.
  kStall,        // Sends two events, and then like kRunOn.
  kLoseAnswer,   // Runs, and resets the connection instead of answering.
  kBreakStream,  // Resets the connection after two events.
  kFail,         // Runs, and answers with 500.
  kRefuse,       // Does not run it and says so.
  kCloseUnread,  // Does not run it and closes the connection.
};

}  // namespace comfreypaddle::standins

namespace comfreypaddle {

template <>
struct EnumNames<standins::EndpointAct> {
  static constexpr std::array<EnumName<standins::EndpointAct>, 10> kTable{
      {{standins::EndpointAct::kAnswer, "answer"},
       {standins::EndpointAct::kAnswerLate, "answer_late"},
       {standins::EndpointAct::kHang, "hang"},
       {standins::EndpointAct::kRunOn, "run_on"},
       {standins::EndpointAct::kStall, "stall"},
       {standins::EndpointAct::kLoseAnswer, "lose_answer"},
       {standins::EndpointAct::kBreakStream, "break_stream"},
       {standins::EndpointAct::kFail, "fail"},
       {standins::EndpointAct::kRefuse, "refuse"},
       {standins::EndpointAct::kCloseUnread, "close_unread"}}};
};

}  // namespace comfreypaddle

namespace comfreypaddle::standins {

// A request that reached an endpoint, whether it ran or not.
struct EndpointArrival {
  std::string m_target;
  std::string m_attempt;  // Id of the caller's attempt.
  Instant m_at{};
};

// Work of an endpoint on one request.
struct EndpointRun {
  std::string m_target;
  Instant m_began{};
  std::optional<Instant> m_ended;  // Answered, or the caller has left.
  std::string m_attempt;
  std::uint32_t m_events = 0;  // Sent so far.
};

// Stand-in of an endpoint of the users' platform. A stream has five events,
// sent 20 ms apart unless other numbers are set. Its process can end and start
// again in place, under its id and port.
class FakeEndpoint {
 public:
  FakeEndpoint(SocketSet& sockets, std::string id, std::uint16_t port);

  // Opens the listening socket, which begins a lifetime of the endpoint.
  // Returns HttpError::kListenFailed on failure.
  std::error_code Listen();

  // Ends the process: its connections and runs break off and nothing listens
  // until Listen is called again. Not to be called by an observer.
  void Crash();

  bool IsRunning() const { return m_server != nullptr; }

  // Start of the last lifetime, Unix time, which reports name.
  std::uint64_t BornMs() const { return m_born_ms; }

  // Changes it to what has been written to the store for this lifetime.
  void SetBornMs(std::uint64_t born_ms) { m_born_ms = born_ms; }

  // Software version, which is the data of each event from now on.
  void SetVersion(const std::string& version) { m_event_data = version; }

  std::uint16_t Port() const { return m_port; }
  const std::string& Id() const { return m_id; }
  const std::vector<HttpRequest>& Requests() const { return m_requests; }

  // Aborts the connection of each stream after this many events; 0 disables it.
  void AbortStreamsAfter(int events) { m_break_after = events; }

  // While set, every request is rejected with 503 and Not-Executed, and with
  // this Retry-After unless it is empty.
  void SetOverloaded(bool overloaded, const std::string& retry_after = "") {
    m_overloaded = overloaded;
    m_retry_after = retry_after;
  }
  int Rejections() const { return m_rejections; }

  // Sets the time between the events of a stream.
  void SetEventGap(Duration gap) { m_event_gap = gap; }

  // Sets the number of events of a stream.
  void SetEventCount(int events) { m_event_count = events; }

  // While set, requests are received and not answered.
  void SetHanging(bool hanging) { m_hanging = hanging; }

  // Decides on each request from now on, in place of the settings above.
  void SetActs(std::function<EndpointAct()> choose) {
    m_choose_act = std::move(choose);
  }
  const std::vector<EndpointRun>& Runs() const { return m_runs; }
  const std::vector<EndpointArrival>& Arrivals() const { return m_arrivals; }

  // Called with each arrival, and with each run as it begins and ends.
  void SetObservers(std::function<void(const EndpointArrival&)> on_arrival,
                    std::function<void(std::size_t run)> on_run) {
    m_on_arrival = std::move(on_arrival);
    m_on_run = std::move(on_run);
  }

  // While set, every response says that the endpoint leaves.
  void SetLeaving(bool leaving) { m_leaving = leaving; }

  // While not empty, every response names this limit, in requests per second
  // from all instances.
  void SetLimit(const std::string& limit) { m_limit = limit; }

  // While set, a copy of each refusal and of each result of a prefill is sent
  // on its connection in front of the next response there.
  void SetCopies(bool copies) { m_copies = copies; }

  // Response to requests that name another endpoint: 421, 503 as of an endpoint
  // that is full, or 200 to treat them as its own.
  void SetOtherIdStatus(int status) { m_other_id_status = status; }

  // Number of reports that were asked for.
  int Reports() const { return m_reports; }

 private:
  struct Response {
    int m_status = 0;
    HttpFields m_fields;
    std::string m_body;
  };

  void Handle(const HttpRequest& request);
  void Act(const HttpRequest& request, EndpointAct act);
  void Answer(const HttpRequest& request);
  void Refuse(const HttpRequest& request, int status, HttpFields fields);
  void SendRepeated(const HttpRequest& request, Response response);
  // Puts the copy of an earlier response in front of the response if one is
  // due on the connection.
  Response WithCopy(const HttpRequest& request, Response response);
  void Prefill(const HttpRequest& request);
  void AnswerReport(const HttpRequest& request);
  void WriteEvent(std::uint64_t id, int event);
  void SendEvent(std::uint64_t id, int event);
  // Calls back after this time unless the process has ended by then.
  void RunAfter(Duration time, std::function<void()> callback);
  std::size_t BeginRun(const HttpRequest& request);
  void EndRun(std::uint64_t id);
  void EndRunLater(std::size_t run);
  void NoteEnd(std::size_t run);

  SocketSet& m_sockets;
  std::string m_id;
  std::uint16_t m_port;
  std::function<EndpointAct()> m_choose_act;
  std::function<void(const EndpointArrival&)> m_on_arrival;
  std::function<void(std::size_t run)> m_on_run;
  std::vector<EndpointArrival> m_arrivals;
  std::vector<EndpointRun> m_runs;
  std::map<std::uint64_t, std::size_t> m_run_of_request;
  std::unique_ptr<HttpServer> m_server;  // Unset while the process is down.
  std::uint64_t m_born_ms = 0;
  Instant m_began{};   // Begin of the lifetime.
  int m_lifetime = 0;  // Number of lifetimes that have ended.
  std::vector<HttpRequest> m_requests;
  int m_break_after = 0;
  Duration m_event_gap = std::chrono::milliseconds(20);
  int m_event_count = 5;
  std::string m_event_data = "x";
  bool m_overloaded = false;
  std::string m_retry_after;
  int m_rejections = 0;
  int m_reports = 0;
  bool m_leaving = false;
  std::string m_limit;
  bool m_copies = false;
  std::map<std::uint64_t, Response> m_copied;  // Last one, by connection.
  int m_other_id_status = 421;
  bool m_hanging = false;
};

}  // namespace comfreypaddle::standins

#endif  // COMFREYPADDLE_STANDINS_COMMON_ENDPOINT_H_
