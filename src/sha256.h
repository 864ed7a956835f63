#ifndef COMFREYPADDLE_SHA256_H_
#define COMFREYPADDLE_SHA256_H_

#include <string>
#include <string_view>

namespace comfreypaddle {

// Returns the SHA-256 of the bytes as 64 hexadecimal digits in lower case.
std::string Sha256Hex(std::string_view bytes);

// Tells whether the text is a SHA-256 in that form.
bool IsSha256Hex(std::string_view text);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_SHA256_H_
