#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "settings.h"

#include <doctest/doctest.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <fstream>

namespace comfreypaddle {
namespace {

// A file that is complete and right.
constexpr std::string_view kGood =
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
  auto mistakes = LoadSettings(path, settings);
  std::remove(path.c_str());
  return mistakes;
}

// Replaces a part of the good file.
std::string With(const std::string& part, const std::string& replacement) {
  std::string text(kGood);
  const std::size_t at = text.find(part);
  REQUIRE(at != std::string::npos);
  return text.replace(at, part.size(), replacement);
}

// Tells whether the only mistake is of this fault at this key.
void CheckOnlyMistake(const std::string& text, SettingsErrorKind fault,
                      const std::string& section, const std::string& key) {
  schema::Settings settings;
  const auto mistakes = Load(text, &settings);
  INFO(text);
  for (const auto& mistake : mistakes) INFO(ToText(mistake));
  REQUIRE(mistakes.size() == 1);
  CHECK(ToName(mistakes[0].m_error_kind) == ToName(fault));
  CHECK(mistakes[0].m_section == section);
  CHECK(mistakes[0].m_key == key);
  CHECK_FALSE(mistakes[0].m_reason.empty());
}

TEST_CASE("a right file fills the settings and takes defaults for the rest") {
  schema::Settings settings;
  const auto mistakes = Load(std::string(kGood), &settings);
  for (const auto& mistake : mistakes) MESSAGE(ToText(mistake));
  REQUIRE(mistakes.empty());
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

TEST_CASE("each kind of mistake is reported with its section and key") {
  using F = SettingsErrorKind;
  CheckOnlyMistake(std::string(kGood) + "[color]\n", F::kUnknownSection,
                   "color", "");
  CheckOnlyMistake(std::string(kGood) + "[usage]\nwindow = 1\n", F::kUnknownKey,
                   "usage", "window");
  CheckOnlyMistake(std::string(kGood) + "[callers]\nport = 1\n",
                   F::kRepeatedKey, "callers", "port");
  CheckOnlyMistake(With("port = 7101", "port = 71x"), F::kWrongType, "callers",
                   "port");
  CheckOnlyMistake(With("port = 7101", "port = 70000"), F::kOutOfRange,
                   "callers", "port");
  CheckOnlyMistake(std::string(kGood) + "[routing]\nseed = 4294967296\n",
                   F::kOutOfRange, "routing", "seed");
  CheckOnlyMistake(std::string(kGood) + "[retry]\nbudget_ratio = nan\n",
                   F::kOutOfRange, "retry", "budget_ratio");
  CheckOnlyMistake(With("name = a1\n", ""), F::kMissing, "instance", "name");
  CheckOnlyMistake(With("name = a1", "name ="), F::kMissing, "instance",
                   "name");
  CheckOnlyMistake(With("port = 7201", "port = 7101"), F::kContradictory,
                   "operators", "port");
  CheckOnlyMistake(With("port = 7301", "port = 7101\naddress = 0.0.0.0"),
                   F::kContradictory, "peers", "port");
  CheckOnlyMistake(With("port = 7201", "port = 7201\naddress = 192.0.2.1"),
                   F::kContradictory, "operators", "token_sha256");
  CheckOnlyMistake(std::string(kGood) + "[lease]\nterm_ms = 500\n",
                   F::kContradictory, "lease", "send_margin_ms");
  CheckOnlyMistake(With("a2/r/127.0.0.1:7302", "a2/r"), F::kMalformed, "peers",
                   "members");
  CheckOnlyMistake(With("a2/r/127.0.0.1:7302", "a1/r/127.0.0.1:7302"),
                   F::kContradictory, "peers", "members");
  CheckOnlyMistake(
      With("url = http://127.0.0.1:7400\n", "url = http://log:1\n"),
      F::kMalformed, "log", "url");
  CheckOnlyMistake(With("name = a1", "nonsense\nname = a1"), F::kSyntax, "",
                   "");
  CheckOnlyMistake(With("[log]", "; " + std::string(300, 'x') + "\n[log]"),
                   F::kSyntax, "", "");
}

TEST_CASE("all mistakes are reported at once, with their lines") {
  schema::Settings settings;
  const auto mistakes =
      Load("[callers]\nport = 0\nbad line\nworse line\n[x\n", &settings);
  const auto lines = [&mistakes](int line) {
    return std::count_if(mistakes.begin(), mistakes.end(),
                         [line](const auto& m) { return m.m_line == line; });
  };
  CHECK(lines(2) == 1);
  CHECK(lines(3) == 1);
  CHECK(lines(4) == 1);
  CHECK(lines(5) == 1);
  CHECK(lines(0) >= 6);  // Required keys that are missing.
}

TEST_CASE("a file that cannot be read is a mistake") {
  schema::Settings settings;
  const auto mistakes = LoadSettings("/nonexistent/a.ini", &settings);
  REQUIRE(mistakes.size() == 1);
  CHECK(ToText(mistakes[0]) == "/nonexistent/a.ini: the file cannot be read");
}

}  // namespace
}  // namespace comfreypaddle
