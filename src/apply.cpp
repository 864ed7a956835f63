#include <google/protobuf/struct.pb.h>

#include "json.h"
#include "operator.h"
#include "sha256.h"

// Subcommand `apply`: reads resources from JSON and writes those that differ
// from the current configuration.

namespace comfreypaddle {
namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusNotFound = 404;

// One resource of the file.
struct ApplyItem {
  std::string m_kind;
  std::string m_name;
  schema::Resource m_resource;
  bool m_has_version = false;  // The file states the version to replace.
};

// Parses one object. Returns the first error.
std::optional<std::string> ParseItem(const google::protobuf::Value& value,
                                     ApplyItem* item) {
  if (!value.has_struct_value()) return "must be an object";
  const google::protobuf::Value* body = nullptr;
  for (const auto& [name, member] : value.struct_value().fields()) {
    if (name == "kind") {
      item->m_kind = member.string_value();
    } else if (name == "resource") {
      body = &member;
    } else if (name == "resource_version") {
      item->m_has_version = true;
      const auto error =
          FromJson("{\"resource_version\":" + ToJson(member) + "}",
                   UnknownFields::kReject, &item->m_resource);
      if (error) return "resource_version: " + *error;
    } else {
      return "unknown member \"" + name + "\"";
    }
  }
  if (!FromName<ResourceKind>(item->m_kind)) {
    return "\"" + item->m_kind + "\" is not a kind of resource";
  }
  if (body == nullptr) return "the member \"resource\" is missing";
  const auto error = FromJson(ToJson(*body), UnknownFields::kReject,
                              MutableBodyOf(item->m_kind, &item->m_resource));
  if (error) return *error;
  item->m_name = NameOf(item->m_resource);
  if (item->m_name.empty()) return "the resource has no name";
  return std::nullopt;
}

// Sets the hash of the secret in the only key without secret_sha256.
std::optional<std::string> SetSecretHash(
    const std::optional<std::string>& secret, std::vector<ApplyItem>* items) {
  std::vector<schema::Key*> keys;
  for (ApplyItem& item : *items) {
    if (!item.m_resource.has_key()) continue;
    schema::Key* key = item.m_resource.mutable_key();
    if (key->secret_sha256().empty()) {
      keys.push_back(key);
    } else if (!IsSha256Hex(key->secret_sha256())) {
      return "key " + item.m_name +
             ": secret_sha256 must be 64 hexadecimal digits in lower case";
    }
  }
  if (!secret && !keys.empty()) {
    return "key " + keys.front()->name() +
           ": give secret_sha256 or --secret_file";
  }
  if (!secret) return std::nullopt;
  if (keys.size() != 1 || secret->empty()) {
    return "--secret_file needs a secret and exactly one key without "
           "secret_sha256";
  }
  keys.front()->set_secret_sha256(Sha256Hex(*secret));
  return std::nullopt;
}

// Parses all objects and prints every error.
bool ParseItems(OperatorContext& context, std::string_view text,
                std::vector<ApplyItem>* items) {
  google::protobuf::Value value;
  if (auto error = FromJson(text, UnknownFields::kReject, &value)) {
    context.m_errors << "not valid JSON: " << *error << "\n";
    return false;
  }
  google::protobuf::ListValue list;
  if (value.has_list_value()) {
    list = value.list_value();
  } else {
    *list.add_values() = value;
  }
  bool valid = true;
  for (int i = 0; i < list.values_size(); ++i) {
    ApplyItem item;
    if (auto error = ParseItem(list.values(i), &item)) {
      context.m_errors << "object " << i + 1 << ": " << *error << "\n";
      valid = false;
    }
    items->push_back(std::move(item));
  }
  return valid;
}

// Reads the version to replace. Returns false after printing an error;
// *unchanged is set if the resource already has the wanted content.
bool ReadCurrentVersion(OperatorContext& context, ApplyItem* item,
                        bool* unchanged) {
  const ApiReply reply = CallApi(
      context.m_session, {.m_path = ResourcePath(item->m_kind, item->m_name)});
  if (!reply.m_error && reply.m_status == kStatusNotFound) return true;
  schema::Resource current;
  if (reply.m_error || reply.m_status != kStatusOk ||
      FromJson(reply.m_body, UnknownFields::kIgnore, &current)) {
    ReportFailure(context, item->m_kind + " " + item->m_name, reply);
    return false;
  }
  item->m_resource.set_resource_version(current.resource_version());
  *unchanged = ToJson(current) == ToJson(item->m_resource);
  return true;
}

void ReportApplied(OperatorContext& context, const ApplyItem& item,
                   const schema::Resource& written, std::string_view action) {
  if (context.m_output_format == OutputFormat::kJson) {
    context.m_out << ToJson(written) << "\n";
    return;
  }
  context.m_out << item.m_kind << " " << item.m_name << " " << action
                << " version " << written.resource_version() << "\n";
}

ExitCode WriteItem(OperatorContext& context, ApplyItem item) {
  bool unchanged = false;
  if (!item.m_has_version && !ReadCurrentVersion(context, &item, &unchanged)) {
    return ExitCode::kServer;
  }
  if (unchanged) {
    ReportApplied(context, item, item.m_resource, "unchanged,");
    return ExitCode::kOk;
  }
  const ApiReply reply = CallApi(
      context.m_session, {.m_method = "PUT",
                          .m_path = ResourcePath(item.m_kind, item.m_name),
                          .m_body = ToJson(item.m_resource),
                          .m_request_token = MakeRequestToken()});
  schema::Resource written;
  if (reply.m_error || reply.m_status / 100 != 2 ||
      FromJson(reply.m_body, UnknownFields::kIgnore, &written)) {
    return ReportFailure(context, item.m_kind + " " + item.m_name, reply);
  }
  ReportApplied(
      context, item, written,
      item.m_resource.resource_version() == 0 ? "created," : "replaced,");
  return ExitCode::kOk;
}

}  // namespace

ExitCode ApplyResources(OperatorContext& context, std::string_view text,
                        const std::optional<std::string>& secret) {
  std::vector<ApplyItem> items;
  if (!ParseItems(context, text, &items)) return ExitCode::kInvalidInput;
  if (auto error = SetSecretHash(secret, &items)) {
    context.m_errors << *error << "\n";
    return ExitCode::kInvalidInput;
  }
  for (ApplyItem& item : items) {
    const ExitCode code = WriteItem(context, std::move(item));
    if (code != ExitCode::kOk) return code;
  }
  return ExitCode::kOk;
}

}  // namespace comfreypaddle
