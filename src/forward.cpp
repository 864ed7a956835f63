#include "forward.h"

#include <algorithm>
#include <array>

namespace comfreypaddle {

namespace {

constexpr std::array<std::string_view, 5> kRequestFields = {
    "content-type", "accept", "accept-language", "idempotency-key",
    "traceparent"};

constexpr std::array<std::string_view, 7> kResponseFields = {
    "content-type",  "content-language", "cache-control", "etag",
    "last-modified", "location",         "retry-after"};

constexpr std::array<std::string_view, 3> kSecretParameters = {"key", "api_key",
                                                               "access_token"};

template <std::size_t Size>
bool Contains(const std::array<std::string_view, Size>& names,
              std::string_view name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

std::string EncodePath(std::string_view path) {
  std::string encoded;
  while (!path.empty()) {
    const std::size_t slash = path.find('/');
    encoded += PercentEncode(path.substr(0, slash));
    if (slash == std::string_view::npos) break;
    encoded += '/';
    path.remove_prefix(slash + 1);
  }
  return encoded;
}

}  // namespace

std::string BearerKey(const HttpRequest& request) {
  constexpr std::string_view kScheme = "Bearer ";
  const std::string_view value = FindField(request.m_headers, "authorization");
  if (value.substr(0, kScheme.size()) != kScheme) return {};
  return std::string(value.substr(kScheme.size()));
}

// Omits allowed fields that contain the key, because a caller may repeat it
// there by mistake.
HttpFields EndpointHeaders(const HttpRequest& request,
                           std::string_view request_id) {
  const std::string key = BearerKey(request);
  HttpFields fields;
  for (const HttpField& field : request.m_headers) {
    if (!Contains(kRequestFields, field.m_name)) continue;
    if (ContainsSecret(field.m_value, key)) continue;
    fields.push_back(field);
  }
  fields.push_back({"x-request-id", std::string(request_id)});
  return fields;
}

// Encodes the path again, because the listener has decoded it.
std::string EndpointTarget(const HttpRequest& request) {
  const std::string key = BearerKey(request);
  std::string target = EncodePath(request.m_path);
  char separator = '?';
  for (const HttpField& parameter : request.m_query) {
    if (Contains(kSecretParameters, parameter.m_name)) continue;
    if (ContainsSecret(parameter.m_value, key)) continue;
    target += separator;
    target.append(PercentEncode(parameter.m_name)).append("=");
    target.append(PercentEncode(parameter.m_value));
    separator = '&';
  }
  return target;
}

HttpFields CallerHeaders(const HttpFields& answer) {
  HttpFields fields;
  for (const HttpField& field : answer) {
    if (Contains(kResponseFields, field.m_name)) fields.push_back(field);
  }
  return fields;
}

bool ContainsSecret(std::string_view text, std::string_view secret) {
  return !secret.empty() && text.find(secret) != std::string_view::npos;
}

}  // namespace comfreypaddle
