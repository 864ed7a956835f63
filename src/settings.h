#ifndef COMFREYPADDLE_SETTINGS_H_
#define COMFREYPADDLE_SETTINGS_H_

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "relaysettings.pb.h"
#include "settings.pb.h"
#include "types.h"

namespace comfreypaddle {

// Kinds of errors in a settings file.
enum class SettingsErrorKind {
  kUnreadable,
  kSyntax,
  kUnknownSection,
  kUnknownKey,
  kRepeatedKey,
  kWrongType,
  kOutOfRange,
  kMissing,
  kMalformed,
  kContradictory
};

template <>
struct EnumNames<SettingsErrorKind> {
  static constexpr std::array<EnumName<SettingsErrorKind>, 10> kTable{
      {{SettingsErrorKind::kUnreadable, "unreadable"},
       {SettingsErrorKind::kSyntax, "syntax"},
       {SettingsErrorKind::kUnknownSection, "unknown_section"},
       {SettingsErrorKind::kUnknownKey, "unknown_key"},
       {SettingsErrorKind::kRepeatedKey, "repeated_key"},
       {SettingsErrorKind::kWrongType, "wrong_type"},
       {SettingsErrorKind::kOutOfRange, "out_of_range"},
       {SettingsErrorKind::kMissing, "missing"},
       {SettingsErrorKind::kMalformed, "malformed"},
       {SettingsErrorKind::kContradictory, "contradictory"}}};
};

// Error in a settings file. Section and key are empty, and the line is zero, if
// the error does not belong to one.
struct SettingsError {
  SettingsErrorKind m_error_kind = SettingsErrorKind::kSyntax;
  std::string m_file;
  int m_line = 0;
  std::string m_section;
  std::string m_key;
  std::string m_reason;
};

// Returns "FILE:LINE: [SECTION] KEY: REASON" without the parts that are empty.
std::string ToText(const SettingsError& error);

// IP address and TCP port.
struct SocketAddress {
  std::string m_ip;  // Without the brackets of an IPv6 address.
  std::uint16_t m_port = 0;
};

// Another entry instance, as listed in peers.members.
struct Member {
  std::string m_name;
  std::string m_region;
  std::string m_ip;
  std::uint16_t m_port = 0;
};

// Parses "IP:PORT" or "[IPV6]:PORT". Host names are rejected, because the
// program does not resolve names.
std::optional<SocketAddress> ParseSocketAddress(std::string_view text);

// Returns "IP:PORT", with brackets around an IPv6 address.
std::string ToText(const SocketAddress& address);

// Parses "http://IP:PORT" with an optional final slash.
std::optional<SocketAddress> ParseBaseUrl(std::string_view url);

// Parses comma-separated NAME/REGION/IP:PORT. Skips malformed entries, which
// LoadSettings reports.
std::vector<Member> ParseMembers(std::string_view text);

// Loads the INI file into the settings, with defaults for missing keys. Returns
// all errors; the settings are valid only if there are none.
std::vector<SettingsError> LoadSettings(const std::string& path,
                                        schema::Settings* settings);

// Loads the settings of an instance on the users' platform in the same way.
std::vector<SettingsError> LoadRelaySettings(const std::string& path,
                                             schema::RelaySettings* settings);

// Parses comma-separated ZONE/REGION. Skips malformed entries, which
// LoadRelaySettings reports.
std::vector<std::pair<std::string, std::string>> ParseZones(
    std::string_view text);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_SETTINGS_H_
