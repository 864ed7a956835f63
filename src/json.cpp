#include "json.h"

#include <google/protobuf/util/json_util.h>

namespace comfreypaddle {

std::string ToJson(const google::protobuf::Message& message) {
  google::protobuf::util::JsonPrintOptions options;
  options.preserve_proto_field_names = true;
  options.always_print_primitive_fields = true;
  std::string text;
  const auto status =
      google::protobuf::util::MessageToJsonString(message, &text, options);
  return status.ok() ? text : "{}";
}

std::optional<std::string> FromJson(std::string_view text,
                                    UnknownFields unknown_fields,
                                    google::protobuf::Message* message) {
  google::protobuf::util::JsonParseOptions options;
  options.ignore_unknown_fields = unknown_fields == UnknownFields::kIgnore;
  const auto status = google::protobuf::util::JsonStringToMessage(
      {text.data(), text.size()}, message, options);
  if (status.ok()) return std::nullopt;
  return std::string(status.message());
}

}  // namespace comfreypaddle
