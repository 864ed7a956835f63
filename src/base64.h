#ifndef COMFREYPADDLE_BASE64_H_
#define COMFREYPADDLE_BASE64_H_

#include <optional>
#include <string>
#include <string_view>

namespace comfreypaddle {

// Returns the bytes in base64 with padding.
std::string EncodeBase64(std::string_view bytes);

// Reads base64 with padding, without white space. Nothing if it is not valid.
std::optional<std::string> DecodeBase64(std::string_view text);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_BASE64_H_
