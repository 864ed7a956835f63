#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "settings.h"

#include <doctest/doctest.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <fstream>

namespace comfreypaddle {
namespace {

// Complete and valid settings file.
constexpr std::string_view kValidFile =
    "[instance]\nname = a1\navailability_zone = a\nregion = r\n"
    "deployment = d\n"
    "[callers]\nport = 7101\n[operators]\nport = 7201\n"
    "[peers]\nport = 7301\nmembers = a2/r/127.0.0.1:7302,\n"
    "  b1/s/[::1]:7303\n"
    "[log]\nurl = http://127.0.0.1:7400\n"
    "[platform]\nurl = http://127.0.0.1:7400/\n";

// Writes the text to a file and loads it.
std::vector<SettingsError> Load(const std::string& text,
                                schema::Settings* settings) {
  const std::string path =
      "/tmp/comfreypaddle_settings_" + std::to_string(getpid()) + ".ini";
  std::ofstream(path) << text;
  auto errors = LoadSettings(path, settings);
  std::remove(path.c_str());
  return errors;
}

// Returns the valid file with a part replaced.
std::string WithReplacement(const std::string& part,
                            const std::string& replacement) {
  std::string text(kValidFile);
  const std::size_t at = text.find(part);
  REQUIRE(at != std::string::npos);
  return text.replace(at, part.size(), replacement);
}

// Checks that the only error is of this kind and at this key.
void CheckOnlyError(const std::string& text, SettingsErrorKind kind,
                    const std::string& section, const std::string& key) {
  schema::Settings settings;
  const auto errors = Load(text, &settings);
  INFO(text);
  for (const auto& error : errors) INFO(ToText(error));
  REQUIRE(errors.size() == 1);
  CHECK(ToName(errors[0].m_error_kind) == ToName(kind));
  CHECK(errors[0].m_section == section);
  CHECK(errors[0].m_key == key);
  CHECK_FALSE(errors[0].m_reason.empty());
}

TEST_CASE("a valid file sets the settings and the rest have defaults") {
  schema::Settings settings;
  const auto errors = Load(std::string(kValidFile), &settings);
  for (const auto& error : errors) MESSAGE(ToText(error));
  REQUIRE(errors.empty());
  CHECK(settings.instance().name() == "a1");
  CHECK(settings.callers().port() == 7101);
  CHECK(settings.callers().max_body_bytes() == 8388608);
  CHECK(settings.retry().budget_ratio() == doctest::Approx(0.1));
  const auto members = ParseMembers(settings.peers().members());
  REQUIRE(members.size() == 2);
  CHECK(members[1].m_name == "b1");
  CHECK(members[1].m_region == "s");
  CHECK(members[1].m_ip == "::1");
  CHECK(members[1].m_port == 7303);
}

TEST_CASE("each kind of error is reported with its section and key") {
  using Kind = SettingsErrorKind;
  CheckOnlyError(std::string(kValidFile) + "[color]\n", Kind::kUnknownSection,
                 "color", "");
  CheckOnlyError(std::string(kValidFile) + "[usage]\nwindow = 1\n",
                 Kind::kUnknownKey, "usage", "window");
  CheckOnlyError(std::string(kValidFile) + "[callers]\nport = 1\n",
                 Kind::kRepeatedKey, "callers", "port");
  CheckOnlyError(WithReplacement("port = 7101", "port = 71x"), Kind::kWrongType,
                 "callers", "port");
  CheckOnlyError(WithReplacement("port = 7101", "port = 70000"),
                 Kind::kOutOfRange, "callers", "port");
  CheckOnlyError(std::string(kValidFile) + "[routing]\nseed = 4294967296\n",
                 Kind::kOutOfRange, "routing", "seed");
  CheckOnlyError(std::string(kValidFile) + "[retry]\nbudget_ratio = nan\n",
                 Kind::kOutOfRange, "retry", "budget_ratio");
  CheckOnlyError(WithReplacement("name = a1\n", ""), Kind::kMissing, "instance",
                 "name");
  CheckOnlyError(WithReplacement("name = a1", "name ="), Kind::kMissing,
                 "instance", "name");
  CheckOnlyError(WithReplacement("port = 7201", "port = 7101"),
                 Kind::kContradictory, "operators", "port");
  CheckOnlyError(
      WithReplacement("port = 7301", "port = 7101\naddress = 0.0.0.0"),
      Kind::kContradictory, "peers", "port");
  CheckOnlyError(
      WithReplacement("port = 7201", "port = 7201\naddress = 192.0.2.1"),
      Kind::kContradictory, "operators", "token_sha256");
  CheckOnlyError(std::string(kValidFile) + "[lease]\nterm_ms = 500\n",
                 Kind::kContradictory, "lease", "send_margin_ms");
  CheckOnlyError(WithReplacement("a2/r/127.0.0.1:7302", "a2/r"),
                 Kind::kMalformed, "peers", "members");
  CheckOnlyError(WithReplacement("a2/r/127.0.0.1:7302", "a1/r/127.0.0.1:7302"),
                 Kind::kContradictory, "peers", "members");
  CheckOnlyError(
      WithReplacement("url = http://127.0.0.1:7400\n", "url = http://log:1\n"),
      Kind::kMalformed, "log", "url");
  CheckOnlyError(WithReplacement("name = a1", "nonsense\nname = a1"),
                 Kind::kSyntax, "", "");
  CheckOnlyError(
      WithReplacement("[log]", "; " + std::string(300, 'x') + "\n[log]"),
      Kind::kSyntax, "", "");
}

TEST_CASE("all errors are reported at once with their lines") {
  schema::Settings settings;
  const auto errors =
      Load("[callers]\nport = 0\nbad line\nworse line\n[x\n", &settings);
  const auto lines = [&errors](int line) {
    return std::count_if(errors.begin(), errors.end(),
                         [line](const auto& m) { return m.m_line == line; });
  };
  CHECK(lines(2) == 1);
  CHECK(lines(3) == 1);
  CHECK(lines(4) == 1);
  CHECK(lines(5) == 1);
  CHECK(lines(0) >= 6);  // Required keys that are missing.
}

TEST_CASE("a file that cannot be read is an error") {
  schema::Settings settings;
  const auto errors = LoadSettings("/nonexistent/a.ini", &settings);
  REQUIRE(errors.size() == 1);
  CHECK(ToText(errors[0]) == "/nonexistent/a.ini: the file cannot be read");
}

// Guards against a process that does not start because a bound of the platform
// is a fraction or is missing.
TEST_CASE("the bounds of the platform may be fractions or missing") {
  const std::string path =
      "/tmp/comfreypaddle_entry_" + std::to_string(getpid()) + ".ini";
  std::ofstream(path)
      << "[instance]\nname = a\navailability_zone = z\nregion = r\n"
         "[listen]\ncallers = 10.0.0.1:1\nready = 10.0.0.1:2\n"
         "peers = 10.0.0.1:3\n"
         "[platform]\nstore = 10.0.0.2:1\norders = 10.0.0.2:2\n"
         "[retry]\nbudget_ratio = 0.2\nwindow_s = 10.5\nslack = 66.25\n"
         "[duties]\nlease_ms = 2999.5\nusage_window_s = 2.5\n"
         "usage_delay_s = 7.25\n"
         "[stop]\ngrace_s =\n";
  schema::RelaySettings settings;
  const auto errors = LoadRelaySettings(path, &settings);
  std::remove(path.c_str());
  for (const auto& error : errors) INFO(ToText(error));
  REQUIRE(errors.empty());
  CHECK(settings.retry().slack() == 66.25);
  CHECK(settings.duties().usage_window_s() == 2.5);
  CHECK(settings.stop().grace_s() == 8);
}

// Guards against limits on extra work that are odd and taken as they are.
TEST_CASE("the limits of hedged requests are checked") {
  using Kind = SettingsErrorKind;
  const std::string path =
      "/tmp/comfreypaddle_hedge_" + std::to_string(getpid()) + ".ini";
  const auto load =
      [&path](const std::string& hedge, schema::RelaySettings* settings) {
        std::ofstream(path)
            << "[instance]\nname = a\navailability_zone = z\nregion = r\n"
               "[listen]\ncallers = 10.0.0.1:1\nready = 10.0.0.1:2\n"
               "peers = 10.0.0.1:3\n"
               "[platform]\nstore = 10.0.0.2:1\norders = 10.0.0.2:2\n"
            << hedge;
        const auto errors = LoadRelaySettings(path, settings);
        std::remove(path.c_str());
        return errors;
      };
  schema::RelaySettings settings;
  CHECK(load("", &settings).empty());
  CHECK_FALSE(settings.hedge().enabled());
  CHECK(load("[hedge]\nenabled = true\nratio = 0\n", &settings).empty());
  CHECK(settings.hedge().enabled());
  CHECK(settings.hedge().ratio() == 0);
  const std::pair<std::string, Kind> odd[] = {
      {"enabled = yes", Kind::kWrongType},
      {"quantile = 1", Kind::kOutOfRange},
      {"quantile = nan", Kind::kOutOfRange},
      {"min_delay_ms = 0", Kind::kOutOfRange},
      {"ratio = 0.6", Kind::kOutOfRange},
      {"ratio = -1", Kind::kOutOfRange},
      {"rate = inf", Kind::kOutOfRange},
      {"max_load = 2", Kind::kOutOfRange},
      {"share = 1", Kind::kUnknownKey}};
  for (const auto& setting : odd) {
    const std::string& line = setting.first;
    const Kind kind = setting.second;
    CAPTURE(line);
    const auto errors = load("[hedge]\n" + line + "\n", &settings);
    REQUIRE(errors.size() == 1);
    CHECK(errors[0].m_error_kind == kind);
    CHECK(errors[0].m_section == "hedge");
    CHECK(errors[0].m_line == 13);
  }
}

}  // namespace
}  // namespace comfreypaddle
