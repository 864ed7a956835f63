#ifndef COMFREYPADDLE_JSON_H_
#define COMFREYPADDLE_JSON_H_

#include <google/protobuf/message.h>

#include <optional>
#include <string>
#include <string_view>

namespace comfreypaddle {

// Whether fields that are not in the schema are errors.
enum class UnknownFields { kReject, kIgnore };

// Converts the message to JSON with the field names of the schema.
std::string ToJson(const google::protobuf::Message& message);

// Parses JSON into the message. Returns nullopt on success, or a description
// of the first error.
std::optional<std::string> FromJson(std::string_view text,
                                    UnknownFields unknown_fields,
                                    google::protobuf::Message* message);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_JSON_H_
