#ifndef COMFREYPADDLE_BASE64_H_
#define COMFREYPADDLE_BASE64_H_

#include <optional>
#include <string>
#include <string_view>

namespace comfreypaddle {

// Encodes the bytes in base64 with padding.
std::string EncodeBase64(std::string_view bytes);

// Decodes base64 with padding and no white space. Returns nullopt if the text
// is invalid.
std::optional<std::string> DecodeBase64(std::string_view text);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_BASE64_H_
