#include "sha256.h"

#include <openssl/sha.h>

#include <array>

namespace comfreypaddle {
namespace {

constexpr std::size_t kHexDigits = 64;

}  // namespace

std::string Sha256Hex(std::string_view bytes) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(),
         digest.data());
  std::string text;
  for (const unsigned char byte : digest) {
    text += kDigits[byte >> 4U];
    text += kDigits[byte & 15U];
  }
  return text;
}

bool IsSha256Hex(std::string_view text) {
  return text.size() == kHexDigits &&
         text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

}  // namespace comfreypaddle
