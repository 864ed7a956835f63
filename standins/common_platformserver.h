#ifndef COMFREYPADDLE_STANDINS_COMMON_PLATFORMSERVER_H_
#define COMFREYPADDLE_STANDINS_COMMON_PLATFORMSERVER_H_

#include <string>

#include "common_log.h"
#include "common_platform.h"
#include "standins.pb.h"

namespace comfreypaddle::standins {

// Weight store with a read rate limit and a fixed read latency.
struct WeightStore {
  TokenBucket m_reads;
  Duration m_read_time{0};
  std::size_t m_bytes = 0;
};

// HTTP server of the platform's orders, instance list, usage reports and weight
// store on top of a PlatformModel, with fault injection. Reclaimed endpoints
// are notified through the /faults interface of their process.
class PlatformServer {
 public:
  PlatformServer(EventLoop& loop, ResponsePort& port, HttpPort& endpoints,
                 PlatformModel model, WeightStore weights);

  // Handles a request below /platform/v1/ or /weights/v1/. The response may be
  // deferred.
  void Handle(const HttpRequest& request);

  // Returns a description of the first error, or an empty string.
  std::string Apply(const schema::PlatformFaults& faults);

  void AddStats(schema::PlatformStats* stats) const;

 private:
  void HandleEndpoints(const HttpRequest& request);
  void HandleOrder(const HttpRequest& request);
  void HandleRelease(const HttpRequest& request);
  void HandleUsage(const HttpRequest& request);
  void HandleWeights(const HttpRequest& request);
  void SendOrderResponse(std::uint64_t id, OrderResult result,
                         const schema::PlatformEndpoint& endpoint);
  void Answer(std::uint64_t id, int status,
              const google::protobuf::Message& message, bool changed);
  void Refuse(std::uint64_t id, int status, std::string_view code);
  void NotifyEndpoint(const schema::PlatformEndpoint& endpoint,
                      Duration notice);
  void ApplyInstances(const schema::PlatformFaults& faults);

  EventLoop& m_loop;
  ResponsePort& m_port;
  HttpPort& m_endpoints;
  PlatformModel m_model;
  WeightStore m_weights;
  OutageMode m_outage = OutageMode::kNone;
  std::uint32_t m_lose_answers = 0;
  Duration m_answer_delay{0};
  schema::PlatformStats m_stats;
};

}  // namespace comfreypaddle::standins

#endif  // COMFREYPADDLE_STANDINS_COMMON_PLATFORMSERVER_H_
