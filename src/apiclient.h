#ifndef COMFREYPADDLE_APICLIENT_H_
#define COMFREYPADDLE_APICLIENT_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "http.h"
#include "loop.h"
#include "resources.pb.h"

namespace comfreypaddle {

// Servers and call options of the operators' API.
struct ApiOptions {
  std::vector<std::string> m_servers;  // Base URLs, tried in this order.
  std::string m_token;                 // Bearer token; none when empty.
  Duration m_timeout = std::chrono::seconds(10);  // Of one call.
};

// State of one command. Calls start with the server that answered last.
struct ApiSession {
  EventLoop& m_loop;
  HttpPort& m_http;
  ApiOptions m_options;
  std::size_t m_server_index = 0;
};

// Call to the operators' API.
struct ApiCall {
  std::string m_method = "GET";
  std::string m_path;  // With the query.
  std::string m_body;
  std::string m_request_token;  // Of a write; none when empty.
};

// Reply of a server. m_error is set if none answered.
struct ApiReply {
  std::error_code m_error;
  int m_status = 0;
  std::string m_body;
};

// Calls the servers in turn until one answers with another status than 503, at
// most three rounds, running the loop meanwhile. A write is retried with the
// same request token, so it takes effect once even if its answer was lost.
ApiReply CallApi(ApiSession& session, const ApiCall& call);

// Sends the call once to one server and runs the loop until it ends.
ApiReply CallServer(ApiSession& session, const std::string& server,
                    const ApiCall& call);

// Runs the loop for this time.
void RunLoopFor(ApiSession& session, Duration time);

// Returns the headers of a call.
HttpFields ApiHeaders(const ApiOptions& options, const ApiCall& call);

// Returns a one-line description of a failed reply.
std::string DescribeFailure(const ApiReply& reply);

// Returns the path of a kind, or of a resource if the name is not empty.
std::string ResourcePath(std::string_view kind, std::string_view name);

// Returns the kind of the resource, or an empty view if it has no body.
std::string_view KindOf(const schema::Resource& resource);

// Returns the name of the resource.
std::string NameOf(const schema::Resource& resource);

// Sets the field "name" of a resource's message.
void SetName(const std::string& name, google::protobuf::Message* body);

// Returns the message of the resource's kind, or null if it has no body.
const google::protobuf::Message* BodyOf(const schema::Resource& resource);

// Sets the kind of the resource and returns its message, or null for an
// unknown kind.
google::protobuf::Message* MutableBodyOf(std::string_view kind,
                                         schema::Resource* resource);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_APICLIENT_H_
