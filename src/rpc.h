#ifndef COMFREYPADDLE_RPC_H_
#define COMFREYPADDLE_RPC_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

// JSON-RPC messages of schema/peer.json. This header has plain types only,
// because the source behind it is C++14.

namespace comfreypaddle {

enum class RpcMethod { kHeartbeat, kRecords, kHold, kRelease };

// One call. Which members count depends on the method.
struct RpcCall {
  RpcMethod m_method = RpcMethod::kHeartbeat;
  std::string m_message;     // heartbeat: PeerState, hold: UsageFlush; base64.
  std::uint64_t m_from = 0;  // records: first offset.
  int m_limit = 0;           // records: most entries.
  // release: which flush is in the log.
  std::string m_instance;
  std::uint64_t m_incarnation = 0;
  std::uint64_t m_sequence = 0;
};

// Result of one call: a message in base64, or empty for a call that answers
// true.
struct RpcResult {
  bool m_ok = false;
  std::string m_message;
  std::string m_error;  // Reason if the result is not good.
};

// Returns the request body of the calls, which are answered together.
std::string EncodeCalls(const std::vector<RpcCall>& calls);

// Reads the results of so many calls, in the order of the calls. A body that
// cannot be read gives results that are not good.
std::vector<RpcResult> DecodeResults(const std::string& body,
                                     std::size_t count);

// Carries out calls. Messages are in base64.
class RpcHandler {
 public:
  virtual ~RpcHandler() = default;

  // Takes the caller's state and returns this instance's.
  virtual std::string Heartbeat(const std::string& state) = 0;

  // Returns log entries from the offset on.
  virtual std::string Records(std::uint64_t from, int limit) = 0;

  // Keeps a flush of usage until it is released. False if it is not valid.
  virtual bool Hold(const std::string& usage) = 0;

  virtual bool Release(const std::string& instance, std::uint64_t incarnation,
                       std::uint64_t sequence) = 0;
};

// Reads request bodies, calls the handler and writes response bodies.
class RpcServer {
 public:
  explicit RpcServer(RpcHandler& handler);
  ~RpcServer();
  RpcServer(const RpcServer&) = delete;
  RpcServer& operator=(const RpcServer&) = delete;

  // Returns the response body. Bodies that are not valid get a JSON-RPC error.
  std::string Handle(const std::string& body);

 private:
  class Stub;

  std::unique_ptr<Stub> m_stub;
};

// Tells whether the body is a single call of records and reads it. The answer
// of this call is not at hand when it arrives, unlike that of the others.
bool DecodeRecordsCall(const std::string& body, RpcCall* call);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_RPC_H_
