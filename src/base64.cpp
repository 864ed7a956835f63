#include "base64.h"

#include <openssl/evp.h>

#include <algorithm>

namespace comfreypaddle {

std::string EncodeBase64(std::string_view bytes) {
  // EVP_EncodeBlock appends a terminating zero byte.
  std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
  const int size =
      EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                      reinterpret_cast<const unsigned char*>(bytes.data()),
                      static_cast<int>(bytes.size()));
  text.resize(static_cast<std::size_t>(size));
  return text;
}

std::optional<std::string> DecodeBase64(std::string_view text) {
  if (text.size() % 4 != 0) return std::nullopt;
  std::string bytes(text.size() / 4 * 3, '\0');
  const int size =
      EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                      reinterpret_cast<const unsigned char*>(text.data()),
                      static_cast<int>(text.size()));
  if (size < 0 || static_cast<std::size_t>(size) != bytes.size()) {
    return std::nullopt;
  }
  // EVP_DecodeBlock decodes padding to zero bytes.
  const auto padding = static_cast<std::size_t>(std::count(
      text.end() - std::min<std::size_t>(text.size(), 2), text.end(), '='));
  bytes.resize(bytes.size() - padding);
  return bytes;
}

}  // namespace comfreypaddle
