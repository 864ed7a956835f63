#include "apiclient.h"

#include <google/protobuf/descriptor.h>

#include "http.pb.h"
#include "json.h"

namespace comfreypaddle {
namespace {

using google::protobuf::FieldDescriptor;
using google::protobuf::Message;

// Rounds cover a server restart or a short log outage; after that the operator
// decides.
constexpr int kMaxRounds = 3;
constexpr Duration kRoundDelay = std::chrono::milliseconds(300);
constexpr int kUnavailable = 503;

const FieldDescriptor* BodyField(const schema::Resource& resource) {
  const auto* const descriptor = schema::Resource::descriptor();
  return resource.GetReflection()->GetOneofFieldDescriptor(
      resource, descriptor->FindOneofByName("body"));
}

}  // namespace

HttpFields ApiHeaders(const ApiOptions& options, const ApiCall& call) {
  HttpFields headers;
  if (!options.m_token.empty()) {
    headers.push_back({"Authorization", "Bearer " + options.m_token});
  }
  if (!call.m_request_token.empty()) {
    headers.push_back({"X-Request-Token", call.m_request_token});
  }
  if (!call.m_body.empty()) {
    headers.push_back({"Content-Type", "application/json"});
  }
  return headers;
}

ApiReply CallServer(ApiSession& session, const std::string& server,
                    const ApiCall& call) {
  ApiReply reply;
  HttpEvents events;
  events.m_on_body = [&reply](std::string_view bytes) {
    reply.m_body += bytes;
  };
  events.m_on_end = [&reply, &session](const HttpResult& result) {
    reply.m_error = result.m_error;
    reply.m_status = result.m_status;
    session.m_loop.Stop();
  };
  session.m_http.Start({.m_method = call.m_method,
                        .m_url = server + call.m_path,
                        .m_headers = ApiHeaders(session.m_options, call),
                        .m_body = call.m_body,
                        .m_timeout = session.m_options.m_timeout,
                        .m_force_new_connection = call.m_method != "GET"},
                       std::move(events));
  session.m_loop.Run();
  return reply;
}

void RunLoopFor(ApiSession& session, Duration time) {
  session.m_loop.StartTimer(time, [&session] { session.m_loop.Stop(); });
  session.m_loop.Run();
}

ApiReply CallApi(ApiSession& session, const ApiCall& call) {
  const std::vector<std::string>& servers = session.m_options.m_servers;
  ApiReply reply;
  for (int round = 0; round < kMaxRounds; ++round) {
    if (round > 0) RunLoopFor(session, kRoundDelay);
    for (std::size_t i = 0; i < servers.size(); ++i) {
      reply = CallServer(session, servers[session.m_server_index], call);
      if (!reply.m_error && reply.m_status != kUnavailable) return reply;
      session.m_server_index = (session.m_server_index + 1) % servers.size();
    }
  }
  return reply;
}

std::string DescribeFailure(const ApiReply& reply) {
  if (reply.m_error) return reply.m_error.message();
  std::string text = "status " + std::to_string(reply.m_status);
  schema::Problem problem;
  if (FromJson(reply.m_body, UnknownFields::kIgnore, &problem)) return text;
  text += " (" + problem.code() + "): " + problem.title();
  if (!problem.detail().empty()) text += ": " + problem.detail();
  if (problem.has_current_version()) {
    text += "; current version " + std::to_string(problem.current_version());
  }
  return text;
}

std::string ResourcePath(std::string_view kind, std::string_view name) {
  std::string path = "/api/v1/" + std::string(kind);
  if (!name.empty()) path += "/" + PercentEncode(name);
  return path;
}

std::string_view KindOf(const schema::Resource& resource) {
  const FieldDescriptor* field = BodyField(resource);
  return field == nullptr ? std::string_view() : field->name();
}

const Message* BodyOf(const schema::Resource& resource) {
  const FieldDescriptor* field = BodyField(resource);
  if (field == nullptr) return nullptr;
  return &resource.GetReflection()->GetMessage(resource, field);
}

std::string NameOf(const schema::Resource& resource) {
  const Message* body = BodyOf(resource);
  if (body == nullptr) return "";
  return body->GetReflection()->GetString(
      *body, body->GetDescriptor()->FindFieldByName("name"));
}

void SetName(const std::string& name, Message* body) {
  body->GetReflection()->SetString(
      body, body->GetDescriptor()->FindFieldByName("name"), name);
}

Message* MutableBodyOf(std::string_view kind, schema::Resource* resource) {
  const FieldDescriptor* field =
      schema::Resource::descriptor()->FindFieldByName(std::string(kind));
  if (field == nullptr || field->containing_oneof() == nullptr) return nullptr;
  return resource->GetReflection()->MutableMessage(resource, field);
}

}  // namespace comfreypaddle
