#ifndef COMFREYPADDLE_RPC_H_
#define COMFREYPADDLE_RPC_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

// JSON-RPC messages of schema/peer.json. This header uses plain types only,
// because the source behind it is C++14.

namespace comfreypaddle {

enum class RpcMethod { kHeartbeat, kRecords, kHold, kRelease };

// A call. The method determines which members are used.
struct RpcCall {
  RpcMethod m_method = RpcMethod::kHeartbeat;
  std::string m_message;     // heartbeat: PeerState, hold: UsageFlush; base64.
  std::uint64_t m_from = 0;  // records: first offset.
  int m_limit = 0;           // records: maximum number of entries.
  // release: id of the flush that is in the log.
  std::string m_instance;
  std::uint64_t m_incarnation = 0;
  std::uint64_t m_sequence = 0;
};

// Result of a call: a message in base64, or empty for a call that returns true.
struct RpcResult {
  bool m_ok = false;
  std::string m_message;
  std::string m_error;  // Reason if the call failed.
};

// Returns the body of a batch request.
std::string EncodeCalls(const std::vector<RpcCall>& calls);

// Parses the results of `count` calls, in the order of the calls. Calls without
// a valid result are marked as failed.
std::vector<RpcResult> DecodeResults(const std::string& body,
                                     std::size_t count);

// Executes calls. Messages are in base64.
class RpcHandler {
 public:
  virtual ~RpcHandler() = default;

  // Processes the caller's state and returns this instance's.
  virtual std::string Heartbeat(const std::string& state) = 0;

  // Returns log entries starting at the offset.
  virtual std::string Records(std::uint64_t from, int limit) = 0;

  // Holds a usage flush until it is released. Returns false if it is not valid.
  virtual bool Hold(const std::string& usage) = 0;

  virtual bool Release(const std::string& instance, std::uint64_t incarnation,
                       std::uint64_t sequence) = 0;
};

// Parses request bodies, calls the handler and returns response bodies.
class RpcServer {
 public:
  explicit RpcServer(RpcHandler& handler);
  ~RpcServer();
  RpcServer(const RpcServer&) = delete;
  RpcServer& operator=(const RpcServer&) = delete;

  // Returns the response body. Invalid bodies get a JSON-RPC error.
  std::string Handle(const std::string& body);

 private:
  class Stub;

  std::unique_ptr<Stub> m_stub;
};

// Returns true and decodes the call if the body is a single records call.
// Unlike other calls, it is answered asynchronously.
bool DecodeRecordsCall(const std::string& body, RpcCall* call);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_RPC_H_
