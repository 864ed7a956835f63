#include "settings.h"

#include <arpa/inet.h>
#include <google/protobuf/descriptor.h>
#include <ini.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstring>
#include <fstream>
#include <limits>
#include <map>
#include <set>
#include <sstream>
#include <type_traits>
#include <utility>

#include "sha256.h"

namespace comfreypaddle {
namespace {

using google::protobuf::Descriptor;
using google::protobuf::FieldDescriptor;
using google::protobuf::Message;

std::string_view Trim(std::string_view text) {
  constexpr std::string_view kWhitespace = " \t\r\n";
  const std::size_t first = text.find_first_not_of(kWhitespace);
  if (first == std::string_view::npos) return {};
  return text.substr(first, text.find_last_not_of(kWhitespace) - first + 1);
}

bool IsIpAddress(const std::string& text) {
  in6_addr buffer{};
  return inet_pton(AF_INET, text.c_str(), &buffer) == 1 ||
         inet_pton(AF_INET6, text.c_str(), &buffer) == 1;
}

// Parses a number that spans the whole text.
template <typename T>
std::optional<T> ParseNumber(std::string_view text) {
  T value{};
  const char* end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, value);
  if (result.ec != std::errc() || result.ptr != end) return std::nullopt;
  return value;
}

std::optional<Member> ParseMember(std::string_view text) {
  const std::size_t first = text.find('/');
  const std::size_t last = text.rfind('/');
  if (first == std::string_view::npos || first == last) return std::nullopt;
  const std::string_view region = text.substr(first + 1, last - first - 1);
  const auto address = ParseSocketAddress(text.substr(last + 1));
  if (first == 0 || region.empty() || !address) return std::nullopt;
  if (region.find_first_of("/ \t") != std::string_view::npos) {
    return std::nullopt;
  }
  return Member{std::string(text.substr(0, first)), std::string(region),
                address->m_ip, address->m_port};
}

// Calls the function for each entry of a comma-separated list. Blank text has
// no entries.
template <typename Callback>
void ForEachEntry(std::string_view text, Callback callback) {
  if (Trim(text).empty()) return;
  for (std::size_t begin = 0; begin <= text.size();) {
    const std::size_t end = std::min(text.find(',', begin), text.size());
    callback(Trim(text.substr(begin, end - begin)));
    begin = end + 1;
  }
}

const schema::FieldRules& RulesOf(const FieldDescriptor& field) {
  return field.options().GetExtension(schema::rules);
}

// State of one LoadSettings call.
struct Loader {
  // Each message field of this type is a section of the file.
  const Descriptor* m_sections = nullptr;
  std::string m_file;
  std::string m_text;
  std::size_t m_offset = 0;  // Start of the next line in m_text.
  int m_line = 0;
  bool m_value_expected = false;  // The current line must set a key.
  bool m_indented = false;        // The current line may continue a value.
  std::vector<std::pair<std::string, std::string>> m_key_order;
  std::map<std::pair<std::string, std::string>, std::pair<std::string, int>>
      m_values;  // Value and line for each section and key.
  std::vector<SettingsError> m_errors;

  void Report(SettingsErrorKind kind, std::string section, std::string key,
              std::string reason, int line) {
    m_errors.push_back({kind, m_file, line, std::move(section), std::move(key),
                        std::move(reason)});
  }

  // Reports an error at the line that set the key, or without a line.
  void ReportKey(SettingsErrorKind kind, const std::string& section,
                 const std::string& key, std::string reason) {
    const auto found = m_values.find({section, key});
    Report(kind, section, key, std::move(reason),
           found == m_values.end() ? 0 : found->second.second);
  }
};

// libinih reports only the first line that it cannot parse, so each line that
// should set a key is checked here.
void CheckPreviousLine(Loader& loader) {
  if (loader.m_value_expected) {
    loader.Report(SettingsErrorKind::kSyntax, "", "",
                  "the line is neither [SECTION] nor KEY = VALUE",
                  loader.m_line);
  }
  loader.m_value_expected = false;
}

void CheckSectionLine(Loader& loader, std::string_view line) {
  const std::size_t end = line.find(']');
  if (end == std::string_view::npos) {
    loader.Report(SettingsErrorKind::kSyntax, "", "",
                  "the section name has no closing bracket", loader.m_line);
    return;
  }
  const std::string name(line.substr(1, end - 1));
  if (loader.m_sections->FindFieldByName(name) == nullptr) {
    loader.Report(SettingsErrorKind::kUnknownSection, name, "",
                  "unknown section", loader.m_line);
  }
}

// Line reader callback for libinih. A line that exceeds the buffer is reported
// and skipped, because libinih would truncate it.
char* ReadLine(char* buffer, int size, void* stream) {
  Loader& loader = *static_cast<Loader*>(stream);
  CheckPreviousLine(loader);
  if (loader.m_offset >= loader.m_text.size()) return nullptr;
  const std::size_t end =
      std::min(loader.m_text.find('\n', loader.m_offset), loader.m_text.size());
  std::string_view line(loader.m_text);
  line = line.substr(loader.m_offset, end - loader.m_offset);
  loader.m_offset = end + 1;
  ++loader.m_line;
  if (line.size() + 2 > static_cast<std::size_t>(size)) {
    loader.Report(SettingsErrorKind::kSyntax, "", "",
                  "the line is longer than " + std::to_string(size - 2) +
                      " bytes; continue the value on indented lines",
                  loader.m_line);
    line = {};
  }
  const std::string_view content = Trim(line);
  loader.m_indented = !content.empty() && content.data() != line.data();
  const char first = content.empty() ? ';' : content.front();
  if (first == '[' && !loader.m_indented) CheckSectionLine(loader, content);
  loader.m_value_expected = first != ';' && first != '#' && first != '[';
  std::memcpy(buffer, line.data(), line.size());
  buffer[line.size()] = '\n';
  buffer[line.size() + 1] = '\0';
  return buffer;
}

// Key callback for libinih. Indented lines continue the value of the previous
// key and arrive under the same key.
int HandleKey(void* user, const char* section, const char* name,
              const char* value) {
  Loader& loader = *static_cast<Loader*>(user);
  loader.m_value_expected = false;
  const std::pair<std::string, std::string> id(section, name);
  if (loader.m_indented && !loader.m_key_order.empty() &&
      loader.m_key_order.back() == id) {
    loader.m_values.at(id).first += value;
    return 1;
  }
  const FieldDescriptor* field = loader.m_sections->FindFieldByName(id.first);
  if (id.first.empty()) {
    loader.Report(SettingsErrorKind::kUnknownSection, "", id.second,
                  "the key is outside any section", loader.m_line);
  } else if (field != nullptr &&
             field->message_type()->FindFieldByName(id.second) == nullptr) {
    loader.Report(SettingsErrorKind::kUnknownKey, id.first, id.second,
                  "unknown key", loader.m_line);
  }
  const auto [row, inserted] =
      loader.m_values.try_emplace(id, value, loader.m_line);
  if (!inserted) {
    loader.Report(SettingsErrorKind::kRepeatedKey, id.first, id.second,
                  "already set in line " + std::to_string(row->second.second),
                  loader.m_line);
    return 1;
  }
  loader.m_key_order.push_back(id);
  return 1;
}

std::string NumberText(double value) {
  std::array<char, 32> buffer{};
  const auto result =
      std::to_chars(buffer.data(), buffer.data() + buffer.size(), value);
  return {buffer.data(), result.ptr};
}

// Returns an error message if the number is outside the range of the field.
std::optional<std::string> FindRangeError(const FieldDescriptor& field,
                                          double value) {
  const schema::FieldRules& rules = RulesOf(field);
  double max = rules.max();
  if (max == 0.0) {
    max = field.cpp_type() == FieldDescriptor::CPPTYPE_UINT32
              ? std::numeric_limits<std::uint32_t>::max()
              : std::numeric_limits<double>::max();
  }
  if (value >= rules.min() && value <= max) return std::nullopt;
  return "must be between " + NumberText(rules.min()) + " and " +
         NumberText(max);
}

// Parses a number for the field; reports a wrong type or a value out of range.
template <typename T>
std::optional<T> ReadNumber(Loader& loader, const std::string& section,
                            const FieldDescriptor& field,
                            const std::string& text) {
  const auto value = ParseNumber<T>(text);
  if (!value) {
    loader.ReportKey(SettingsErrorKind::kWrongType, section, field.name(),
                     std::is_floating_point_v<T>
                         ? "must be a number"
                         : "must be a non-negative integer");
    return std::nullopt;
  }
  const auto error = FindRangeError(field, static_cast<double>(*value));
  if (!error) return value;
  loader.ReportKey(SettingsErrorKind::kOutOfRange, section, field.name(),
                   *error);
  return std::nullopt;
}

// Parses "true" or "false"; reports other text.
std::optional<bool> ReadBool(Loader& loader, const std::string& section,
                             const FieldDescriptor& field,
                             const std::string& text) {
  if (text == "true" || text == "false") return text == "true";
  loader.ReportKey(SettingsErrorKind::kWrongType, section, field.name(),
                   "must be true or false");
  return std::nullopt;
}

// Sets a field of a section from the text of its key. Sections have only fields
// of these four types.
void SetField(Loader& loader, const std::string& section,
              const FieldDescriptor& field, const std::string& text,
              Message* message) {
  const google::protobuf::Reflection& reflection = *message->GetReflection();
  if (field.cpp_type() == FieldDescriptor::CPPTYPE_STRING) {
    reflection.SetString(message, &field, text);
  } else if (field.cpp_type() == FieldDescriptor::CPPTYPE_UINT32) {
    const auto value = ReadNumber<std::uint64_t>(loader, section, field, text);
    if (!value) return;
    reflection.SetUInt32(message, &field, static_cast<std::uint32_t>(*value));
  } else if (field.cpp_type() == FieldDescriptor::CPPTYPE_DOUBLE) {
    const auto value = ReadNumber<double>(loader, section, field, text);
    if (value) reflection.SetDouble(message, &field, *value);
  } else if (field.cpp_type() == FieldDescriptor::CPPTYPE_BOOL) {
    const auto value = ReadBool(loader, section, field, text);
    if (value) reflection.SetBool(message, &field, *value);
  }
}

// Sets all fields of a section from the file or their defaults.
void FillSection(Loader& loader, const FieldDescriptor& section,
                 Message* settings) {
  Message* message =
      settings->GetReflection()->MutableMessage(settings, &section);
  const Descriptor& descriptor = *section.message_type();
  for (int i = 0; i < descriptor.field_count(); ++i) {
    const FieldDescriptor& field = *descriptor.field(i);
    const schema::FieldRules& rules = RulesOf(field);
    const auto found = loader.m_values.find({section.name(), field.name()});
    const bool present =
        found != loader.m_values.end() && !found->second.first.empty();
    if (present) {
      SetField(loader, section.name(), field, found->second.first, message);
    } else if (rules.required()) {
      loader.ReportKey(SettingsErrorKind::kMissing, section.name(),
                       field.name(), "missing: " + rules.help());
    } else if (!rules.default_value().empty()) {
      SetField(loader, section.name(), field, rules.default_value(), message);
    }
  }
}

// Names appear in lists, paths and log lines, so separators are not allowed.
void CheckName(Loader& loader, const std::string& section,
               const std::string& key, const std::string& name) {
  const bool valid = std::none_of(name.begin(), name.end(), [](char c) {
    return c == '/' || c == ',' || static_cast<unsigned char>(c) <= ' ';
  });
  if (valid) return;
  loader.ReportKey(SettingsErrorKind::kMalformed, section, key,
                   "must not contain slashes, commas or white space");
}

void CheckAddress(Loader& loader, const std::string& section,
                  const std::string& ip) {
  if (IsIpAddress(ip)) return;
  loader.ReportKey(SettingsErrorKind::kMalformed, section, "address",
                   "must be an IP address");
}

void CheckBaseUrl(Loader& loader, const std::string& section,
                  const std::string& url) {
  if (url.empty() || ParseBaseUrl(url)) return;
  loader.ReportKey(SettingsErrorKind::kMalformed, section, "url",
                   "must be http://IP:PORT");
}

void CheckTokenHash(Loader& loader, const std::string& hash) {
  if (hash.empty() || IsSha256Hex(hash)) return;
  loader.ReportKey(SettingsErrorKind::kMalformed, "operators", "token_sha256",
                   "must be 64 lower-case hexadecimal digits");
}

// One listener of the instance.
struct ListenerKey {
  std::string m_section;
  SocketAddress m_address;
};

bool ListenersOverlap(const SocketAddress& a, const SocketAddress& b) {
  const auto is_wildcard = [](const SocketAddress& address) {
    return address.m_ip == "0.0.0.0" || address.m_ip == "::";
  };
  return a.m_port != 0 && a.m_port == b.m_port &&
         (a.m_ip == b.m_ip || is_wildcard(a) || is_wildcard(b));
}

void CheckListeners(Loader& loader, const schema::Settings& settings) {
  const auto listener = [](const std::string& section, const auto& message) {
    return ListenerKey{
        section,
        {message.address(), static_cast<std::uint16_t>(message.port())}};
  };
  const std::vector<ListenerKey> listeners{
      listener("callers", settings.callers()),
      listener("operators", settings.operators()),
      listener("peers", settings.peers())};
  for (std::size_t i = 0; i < listeners.size(); ++i) {
    CheckAddress(loader, listeners[i].m_section, listeners[i].m_address.m_ip);
    for (std::size_t j = 0; j < i; ++j) {
      if (!ListenersOverlap(listeners[i].m_address, listeners[j].m_address))
        continue;
      loader.ReportKey(SettingsErrorKind::kContradictory,
                       listeners[i].m_section, "port",
                       "the same address and port as the listener of [" +
                           listeners[j].m_section + "]");
    }
  }
}

void CheckMembers(Loader& loader, const schema::Settings& settings) {
  std::set<std::string> used{
      settings.instance().name(),
      ToText(
          SocketAddress{settings.peers().address(),
                        static_cast<std::uint16_t>(settings.peers().port())})};
  ForEachEntry(settings.peers().members(), [&](std::string_view text) {
    const auto member = ParseMember(text);
    if (!member) {
      loader.ReportKey(
          SettingsErrorKind::kMalformed, "peers", "members",
          "\"" + std::string(text) + "\" is not NAME/REGION/IP:PORT");
      return;
    }
    const std::string address = ToText({member->m_ip, member->m_port});
    const bool new_name = used.insert(member->m_name).second;
    const bool new_address = used.insert(address).second;
    if (new_name && new_address) return;
    loader.ReportKey(SettingsErrorKind::kContradictory, "peers", "members",
                     "\"" + std::string(text) +
                         "\" repeats a name or address, or is this instance");
  });
}

// Without a token anyone who reaches the listener can change the configuration,
// which is acceptable only on a loopback address.
void CheckOperatorAccess(Loader& loader,
                         const schema::OperatorsSettings& operators) {
  const bool loopback = operators.address().compare(0, 4, "127.") == 0 ||
                        operators.address() == "::1";
  if (loopback || !operators.token_sha256().empty()) return;
  loader.ReportKey(
      SettingsErrorKind::kContradictory, "operators", "token_sha256",
      "must be set unless operators.address is a loopback address");
}

// Validates text formats and constraints between keys.
void CheckSettings(Loader& loader, const schema::Settings& settings) {
  const schema::InstanceSettings& instance = settings.instance();
  CheckName(loader, "instance", "name", instance.name());
  CheckName(loader, "instance", "availability_zone",
            instance.availability_zone());
  CheckName(loader, "instance", "region", instance.region());
  CheckName(loader, "instance", "deployment", instance.deployment());
  CheckBaseUrl(loader, "log", settings.log().url());
  CheckBaseUrl(loader, "platform", settings.platform().url());
  CheckTokenHash(loader, settings.operators().token_sha256());
  CheckListeners(loader, settings);
  CheckMembers(loader, settings);
  CheckOperatorAccess(loader, settings.operators());
  if (settings.lease().send_margin_ms() >= settings.lease().term_ms()) {
    loader.ReportKey(SettingsErrorKind::kContradictory, "lease",
                     "send_margin_ms", "must be below lease.term_ms");
  }
  // Otherwise every peer statement would be too old to count.
  if (settings.peers().heartbeat_ms() >= settings.admission().freshness_ms()) {
    loader.ReportKey(SettingsErrorKind::kContradictory, "peers", "heartbeat_ms",
                     "must be below admission.freshness_ms");
  }
}

void CheckSocket(Loader& loader, const std::string& section,
                 const std::string& key, const std::string& address) {
  if (address.empty() || ParseSocketAddress(address)) return;
  loader.ReportKey(SettingsErrorKind::kMalformed, section, key,
                   "must be IP:PORT");
}

// Validates text formats and constraints between keys of the relay settings.
void CheckRelaySettings(Loader& loader, const schema::RelaySettings& settings) {
  CheckName(loader, "instance", "name", settings.instance().name());
  CheckSocket(loader, "listen", "callers", settings.listen().callers());
  CheckSocket(loader, "listen", "ready", settings.listen().ready());
  CheckSocket(loader, "listen", "peers", settings.listen().peers());
  CheckSocket(loader, "listen", "metrics", settings.listen().metrics());
  CheckSocket(loader, "platform", "store", settings.platform().store());
  CheckSocket(loader, "platform", "orders", settings.platform().orders());
  ForEachEntry(settings.instance().zones(), [&](std::string_view entry) {
    const std::size_t slash = entry.find('/');
    if (slash != std::string_view::npos && slash > 0) return;
    loader.ReportKey(SettingsErrorKind::kMalformed, "instance", "zones",
                     "\"" + std::string(entry) + "\" is not ZONE/REGION");
  });
  if (settings.duties().send_margin_ms() >= settings.duties().lease_ms()) {
    loader.ReportKey(SettingsErrorKind::kContradictory, "duties",
                     "send_margin_ms", "must be below duties.lease_ms");
  }
}

bool ReadFile(const std::string& path, std::string* text) {
  std::ifstream file(path, std::ios::binary);
  if (!file) return false;
  std::ostringstream content;
  content << file.rdbuf();
  *text = content.str();
  return !file.bad() && !content.bad();
}

// Loads all sections of the file into the settings. Returns false if the file
// cannot be read.
bool LoadSections(const std::string& path, Loader& loader, Message* settings) {
  loader.m_sections = settings->GetDescriptor();
  loader.m_file = path;
  if (!ReadFile(path, &loader.m_text)) {
    loader.Report(SettingsErrorKind::kUnreadable, "", "",
                  "the file cannot be read", 0);
    return false;
  }
  ini_parse_stream(ReadLine, &loader, HandleKey, &loader);
  settings->Clear();
  for (int i = 0; i < loader.m_sections->field_count(); ++i) {
    FillSection(loader, *loader.m_sections->field(i), settings);
  }
  return true;
}

}  // namespace

std::string ToText(const SettingsError& error) {
  std::string text = error.m_file + ":";
  if (error.m_line > 0) text += std::to_string(error.m_line) + ":";
  if (!error.m_section.empty()) text += " [" + error.m_section + "]";
  if (!error.m_key.empty()) text += " " + error.m_key;
  if (!error.m_section.empty() || !error.m_key.empty()) text += ":";
  return text + " " + error.m_reason;
}

std::optional<SocketAddress> ParseSocketAddress(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  std::string_view ip = text.substr(0, colon);
  const bool has_brackets =
      ip.size() > 2 && ip.front() == '[' && ip.back() == ']';
  if (has_brackets) ip = ip.substr(1, ip.size() - 2);
  const bool is_ipv6 = ip.find(':') != std::string_view::npos;
  const auto port = ParseNumber<std::uint16_t>(text.substr(colon + 1));
  if (has_brackets != is_ipv6 || !port || *port == 0) return std::nullopt;
  SocketAddress address{std::string(ip), *port};
  if (!IsIpAddress(address.m_ip)) return std::nullopt;
  return address;
}

std::string ToText(const SocketAddress& address) {
  const bool is_ipv6 = address.m_ip.find(':') != std::string::npos;
  return (is_ipv6 ? "[" + address.m_ip + "]" : address.m_ip) + ":" +
         std::to_string(address.m_port);
}

std::optional<SocketAddress> ParseBaseUrl(std::string_view url) {
  constexpr std::string_view kScheme = "http://";
  if (url.substr(0, kScheme.size()) != kScheme) return std::nullopt;
  url.remove_prefix(kScheme.size());
  if (!url.empty() && url.back() == '/') url.remove_suffix(1);
  return ParseSocketAddress(url);
}

std::vector<Member> ParseMembers(std::string_view text) {
  std::vector<Member> members;
  ForEachEntry(text, [&members](std::string_view entry) {
    auto member = ParseMember(entry);
    if (member) members.push_back(std::move(*member));
  });
  return members;
}

std::vector<std::pair<std::string, std::string>> ParseZones(
    std::string_view text) {
  std::vector<std::pair<std::string, std::string>> zones;
  ForEachEntry(text, [&zones](std::string_view entry) {
    const std::size_t slash = entry.find('/');
    if (slash == std::string_view::npos) return;
    zones.emplace_back(entry.substr(0, slash), entry.substr(slash + 1));
  });
  return zones;
}

std::vector<SettingsError> LoadSettings(const std::string& path,
                                        schema::Settings* settings) {
  Loader loader;
  if (LoadSections(path, loader, settings)) CheckSettings(loader, *settings);
  return std::move(loader.m_errors);
}

std::vector<SettingsError> LoadRelaySettings(const std::string& path,
                                             schema::RelaySettings* settings) {
  Loader loader;
  if (LoadSections(path, loader, settings))
    CheckRelaySettings(loader, *settings);
  return std::move(loader.m_errors);
}

}  // namespace comfreypaddle
