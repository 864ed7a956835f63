#ifndef COMFREYPADDLE_JSON_H_
#define COMFREYPADDLE_JSON_H_

#include <google/protobuf/message.h>

#include <optional>
#include <string>
#include <string_view>

namespace comfreypaddle {

// Whether fields that the schema does not know make the text invalid.
enum class UnknownFields { kReject, kIgnore };

// Returns the message in JSON with the field names of the schema.
std::string ToJson(const google::protobuf::Message& message);

// Reads JSON into the message. Returns nothing on success, else a description
// of the first mistake.
std::optional<std::string> FromJson(std::string_view text,
                                    UnknownFields unknown_fields,
                                    google::protobuf::Message* message);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_JSON_H_
