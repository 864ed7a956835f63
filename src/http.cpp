#include "http.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>

namespace comfreypaddle {

namespace {

class HttpErrorCategory : public std::error_category {
 public:
  const char* name() const noexcept override { return "http"; }

  std::string message(int value) const override {
    switch (static_cast<HttpError>(value)) {
      case HttpError::kOk:
        return "success";
      case HttpError::kConnectFailed:
        return "connection failed";
      case HttpError::kConnectRefused:
        return "connection refused";
      case HttpError::kConnectTimeout:
        return "no connection in time";
      case HttpError::kConnectionLost:
        return "connection closed before the response was complete";
      case HttpError::kMalformedResponse:
        return "invalid HTTP response";
      case HttpError::kTimeout:
        return "call timed out";
      case HttpError::kInactivityTimeout:
        return "no data received within the inactivity timeout";
      case HttpError::kTooLarge:
        return "response exceeds the size limit";
      case HttpError::kCancelled:
        return "call cancelled";
      case HttpError::kListenFailed:
        return "cannot listen on the address";
      case HttpError::kNoSocket:
        return "no socket available";
    }
    return "unknown HTTP error";
  }
};

bool IsUnreserved(char c) {
  return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '-' ||
         c == '.' || c == '_' || c == '~';
}

// Decodes a name or value of a query, in which a plus sign stands for a space.
std::string DecodeParameter(std::string_view text) {
  std::string spaced(text);
  std::replace(spaced.begin(), spaced.end(), '+', ' ');
  return PercentDecode(spaced);
}

}  // namespace

std::string_view FindField(const HttpFields& fields, std::string_view name) {
  for (const HttpField& field : fields) {
    if (field.m_name == name) return field.m_value;
  }
  return {};
}

std::string_view BodyOf(const HttpCall& call) {
  return call.m_shared_body != nullptr ? *call.m_shared_body : call.m_body;
}

std::string PercentEncode(std::string_view text) {
  constexpr std::string_view kDigits = "0123456789ABCDEF";
  std::string encoded;
  encoded.reserve(text.size());
  for (const char c : text) {
    if (IsUnreserved(c)) {
      encoded += c;
      continue;
    }
    const auto byte = static_cast<unsigned char>(c);
    encoded += '%';
    encoded += kDigits[byte >> 4U];
    encoded += kDigits[byte & 15U];
  }
  return encoded;
}

std::string PercentDecode(std::string_view text) {
  std::string decoded;
  decoded.reserve(text.size());
  for (std::size_t i = 0; i < text.size(); ++i) {
    unsigned int byte = 0;
    const std::string_view digits = text.substr(i + 1, 2);
    const char* end = digits.data() + digits.size();
    if (text[i] == '%' && digits.size() == 2 &&
        std::from_chars(digits.data(), end, byte, 16).ptr == end) {
      decoded += static_cast<char>(byte);
      i += 2;
    } else {
      decoded += text[i];
    }
  }
  return decoded;
}

void DecodeTarget(HttpRequest& request) {
  const std::string_view target = request.m_target;
  const std::size_t mark = target.find('?');
  request.m_path = PercentDecode(target.substr(0, mark));
  request.m_query.clear();
  if (mark == std::string_view::npos) return;
  std::string_view rest = target.substr(mark + 1);
  while (!rest.empty()) {
    const std::size_t end = std::min(rest.find('&'), rest.size());
    const std::string_view parameter = rest.substr(0, end);
    rest.remove_prefix(std::min(end + 1, rest.size()));
    if (parameter.empty()) continue;
    const std::size_t equals = std::min(parameter.find('='), parameter.size());
    const std::string_view value =
        parameter.substr(std::min(equals + 1, parameter.size()));
    request.m_query.push_back(
        {DecodeParameter(parameter.substr(0, equals)), DecodeParameter(value)});
  }
}

const std::error_category& HttpCategory() {
  static const HttpErrorCategory category;
  return category;
}

std::error_code make_error_code(HttpError error) {
  return {static_cast<int>(error), HttpCategory()};
}

}  // namespace comfreypaddle
