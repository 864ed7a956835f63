#include "http.h"

#include <array>
#include <cctype>

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

}  // namespace

std::string_view FindField(const HttpFields& fields, std::string_view name) {
  for (const HttpField& field : fields) {
    if (field.m_name == name) return field.m_value;
  }
  return {};
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

const std::error_category& HttpCategory() {
  static const HttpErrorCategory category;
  return category;
}

std::error_code make_error_code(HttpError error) {
  return {static_cast<int>(error), HttpCategory()};
}

}  // namespace comfreypaddle
