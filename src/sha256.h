#ifndef COMFREYPADDLE_SHA256_H_
#define COMFREYPADDLE_SHA256_H_

#include <string>
#include <string_view>

namespace comfreypaddle {

// Returns the SHA-256 of the bytes as 64 lower-case hexadecimal digits.
std::string Sha256Hex(std::string_view bytes);

// Returns whether the text has the form of a digest from Sha256Hex.
bool IsSha256Hex(std::string_view text);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_SHA256_H_
