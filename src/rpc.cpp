#include "rpc.h"

#include <json/json.h>
#include <jsonrpccpp/client/batchcall.h>
#include <jsonrpccpp/server/abstractserverconnector.h>

#include <algorithm>
#include <cstdlib>
#include <exception>

#include "peerserver.h"

namespace comfreypaddle {
namespace {

// Entry of the method name table. EnumNames of types.h needs C++17.
struct MethodName {
  RpcMethod m_method;
  const char* m_name;
};

constexpr MethodName kMethodNames[] = {{RpcMethod::kHeartbeat, "heartbeat"},
                                       {RpcMethod::kRecords, "records"},
                                       {RpcMethod::kHold, "hold"},
                                       {RpcMethod::kRelease, "release"}};

constexpr int kMaxRecords = 1000;

const char* NameOf(RpcMethod method) {
  for (const MethodName& row : kMethodNames) {
    if (row.m_method == method) return row.m_name;
  }
  return "";
}

// 64-bit numbers are sent as text, because JSON numbers may lose precision.
std::uint64_t ToNumber(const std::string& text) {
  return std::strtoull(text.c_str(), nullptr, 10);
}

Json::Value ParamsOf(const RpcCall& call) {
  Json::Value params(Json::objectValue);
  switch (call.m_method) {
    case RpcMethod::kHeartbeat:
      params["state"] = call.m_message;
      break;
    case RpcMethod::kRecords:
      params["from"] = std::to_string(call.m_from);
      params["limit"] = call.m_limit;
      break;
    case RpcMethod::kHold:
      params["usage"] = call.m_message;
      break;
    case RpcMethod::kRelease:
      params["instance"] = call.m_instance;
      params["incarnation"] = std::to_string(call.m_incarnation);
      params["sequence"] = std::to_string(call.m_sequence);
      break;
  }
  return params;
}

// Parses untrusted JSON. jsoncpp throws on deep nesting, which counts as
// invalid.
bool Parse(const std::string& text, Json::Value* value) {
  Json::CharReaderBuilder builder;
  builder["collectComments"] = false;
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  try {
    return reader->parse(text.data(), text.data() + text.size(), value,
                         nullptr);
  } catch (const std::exception&) {
    return false;
  }
}

RpcResult ToResult(const Json::Value& response) {
  RpcResult result;
  const Json::Value& value = response["result"];
  result.m_ok = value.isString() || (value.isBool() && value.asBool());
  if (value.isString()) result.m_message = value.asString();
  if (result.m_ok) return result;
  const Json::Value& error = response["error"];
  result.m_error = "refused";
  if (error.isObject() && error["message"].isString()) {
    result.m_error = error["message"].asString();
  }
  return result;
}

// Connector without a transport: bodies are passed to its handler directly.
class BodyConnector : public jsonrpc::AbstractServerConnector {
 public:
  bool StartListening() override { return true; }
  bool StopListening() override { return true; }
  bool SendResponse(const std::string& /*response*/,
                    void* /*context*/) override {
    return true;
  }
};

}  // namespace

// Adapter from the generated server to RpcHandler.
class RpcServer::Stub : private BodyConnector, private PeerServerStub {
 public:
  explicit Stub(RpcHandler& handler)
      : PeerServerStub(static_cast<BodyConnector&>(*this)),
        m_handler(handler) {}

  std::string Process(const std::string& body) {
    std::string response;
    GetHandler()->HandleRequest(body, response);
    return response;
  }

 private:
  std::string heartbeat(const std::string& state) override {
    return m_handler.Heartbeat(state);
  }
  std::string records(const std::string& from, int limit) override {
    return m_handler.Records(ToNumber(from), limit);
  }
  bool hold(const std::string& usage) override { return m_handler.Hold(usage); }
  bool release(const std::string& incarnation, const std::string& instance,
               const std::string& sequence) override {
    return m_handler.Release(instance, ToNumber(incarnation),
                             ToNumber(sequence));
  }

  RpcHandler& m_handler;
};

std::string EncodeCalls(const std::vector<RpcCall>& calls) {
  jsonrpc::BatchCall batch;
  for (const RpcCall& call : calls) {
    batch.addCall(NameOf(call.m_method), ParamsOf(call));
  }
  return batch.toString();
}

std::vector<RpcResult> DecodeResults(const std::string& body,
                                     std::size_t count) {
  std::vector<RpcResult> results(count);
  for (RpcResult& result : results) result.m_error = "no answer";
  Json::Value responses;
  if (!Parse(body, &responses) || !responses.isArray()) return results;
  for (const Json::Value& response : responses) {
    if (!response.isObject() || !response["id"].isUInt()) continue;
    // BatchCall numbers its calls from 1.
    const std::size_t index = response["id"].asUInt();
    if (index >= 1 && index <= count) results[index - 1] = ToResult(response);
  }
  return results;
}

RpcServer::RpcServer(RpcHandler& handler)
    : m_stub(std::make_unique<Stub>(handler)) {}

RpcServer::~RpcServer() = default;

std::string RpcServer::Handle(const std::string& body) {
  // jsoncpp throws on numbers out of range and on deep nesting.
  try {
    return m_stub->Process(body);
  } catch (const std::exception&) {
    return "{\"jsonrpc\":\"2.0\",\"id\":null,\"error\":{\"code\":-32600,"
           "\"message\":\"invalid request\"}}";
  }
}

bool DecodeRecordsCall(const std::string& body, RpcCall* call) {
  Json::Value calls;
  if (!Parse(body, &calls) || !calls.isArray() || calls.size() != 1) {
    return false;
  }
  const Json::Value& request = calls[0U];
  if (!request.isObject() || request["method"] != "records") return false;
  const Json::Value& params = request["params"];
  if (!params.isObject() || !params["from"].isString() ||
      !params["limit"].isInt()) {
    return false;
  }
  call->m_method = RpcMethod::kRecords;
  call->m_from = ToNumber(params["from"].asString());
  call->m_limit = std::min(std::max(params["limit"].asInt(), 1), kMaxRecords);
  return true;
}

}  // namespace comfreypaddle
