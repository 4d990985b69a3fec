#include "galenarelay/common/settings.h"

#include <ini.h>

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <random>
#include <set>

namespace galenarelay::common {

namespace {

std::string joined(std::string_view Section, std::string_view Key) {
  return std::string(Section) + "." + std::string(Key);
}

std::vector<std::string> splitList(const std::string &Text) {
  std::vector<std::string> Parts;
  std::string Part;
  for (const char C : Text + ",") {
    if (C == ',') {
      if (!Part.empty())
        Parts.push_back(Part);
      Part.clear();
    } else if (C != ' ' && C != '\t') {
      Part.push_back(C);
    }
  }
  return Parts;
}

std::string joined(const std::vector<std::string> &Names) {
  std::string Text;
  for (const std::string &Name : Names)
    Text += (Text.empty() ? "" : ", ") + Name;
  return Text;
}

bool isNumber(const std::string &Text, bool IntegerOnly, double &Parsed) {
  if (Text.empty())
    return false;
  char *End = nullptr;
  Parsed = std::strtod(Text.c_str(), &End);
  if (End != Text.c_str() + Text.size())
    return false;
  return !IntegerOnly || Text.find_first_not_of("+-0123456789") == std::string::npos;
}

/// Describes what is wrong with a value; empty if it fits the rule.
std::string problemWith(const SettingRule &Rule, const std::string &Value) {
  switch (Rule.Kind) {
  case SettingKind::Text:
    return Value.empty() && !Rule.Default ? "a text that isn't empty" : "";
  case SettingKind::Integer:
  case SettingKind::Real: {
    double Parsed = 0;
    const bool Integer = Rule.Kind == SettingKind::Integer;
    if (!isNumber(Value, Integer, Parsed))
      return Integer ? "an integer" : "a number";
    const bool Ranged = Rule.Maximum > Rule.Minimum;
    if (Ranged && (Parsed < Rule.Minimum || Parsed > Rule.Maximum))
      return "a number from " + std::to_string(Rule.Minimum) + " to " +
             std::to_string(Rule.Maximum);
    return "";
  }
  case SettingKind::Boolean:
    return Value == "true" || Value == "false" ? "" : "true or false";
  case SettingKind::Address:
    return capture([&] { return parseEndpoint(Value); }) ? "" : "an address such as 10.0.0.1:80";
  case SettingKind::AddressList:
    for (const std::string &Part : splitList(Value))
      if (!capture([&] { return parseEndpoint(Part); }))
        return "a comma-separated list of addresses such as 10.0.0.1:80";
    return "";
  case SettingKind::NameList:
    for (const std::string &Part : splitList(Value))
      if (std::find(Rule.Choices.begin(), Rule.Choices.end(), Part) == Rule.Choices.end())
        return "a comma-separated list of " + joined(Rule.Choices);
    return "";
  }
  return "";
}

struct Collector {
  std::map<std::string, std::string> Values;
  std::set<std::string> Sections;
};

int collect(void *User, const char *Section, const char *Key, const char *Value) {
  auto *Into = static_cast<Collector *>(User);
  Into->Sections.insert(Section);
  Into->Values[joined(Section, Key)] = Value;
  return 1;
}

Result<void> checkNames(const std::string &Path, const Collector &Found,
                        const std::vector<SettingRule> &Rules) {
  for (const std::string &Section : Found.Sections) {
    const bool Known = std::any_of(Rules.begin(), Rules.end(), [&](const SettingRule &Rule) {
      return Rule.Section == Section;
    });
    if (!Known)
      return fail(ResultCode::SettingsUnknownSection, Path + ": unknown section [" + Section + "]");
  }
  for (const auto &Entry : Found.Values) {
    const std::string &Name = Entry.first;
    const bool Known = std::any_of(Rules.begin(), Rules.end(), [&](const SettingRule &Rule) {
      return joined(Rule.Section, Rule.Key) == Name;
    });
    if (!Known)
      return fail(ResultCode::SettingsUnknownKey, Path + ": unknown key " + Name);
  }
  return {};
}

} // namespace

std::string Settings::text(std::string_view Section, std::string_view Key) const {
  const auto Found = Values.find(joined(Section, Key));
  return Found == Values.end() ? std::string() : Found->second;
}

std::int64_t Settings::integer(std::string_view Section, std::string_view Key) const {
  return std::strtoll(text(Section, Key).c_str(), nullptr, 10);
}

std::uint64_t Settings::seed(std::string_view Section, std::string_view Key) const {
  const auto Given = static_cast<std::uint64_t>(integer(Section, Key));
  if (Given != 0)
    return Given;
  std::random_device Source;
  return (std::uint64_t{Source()} << 32U) | Source();
}

double Settings::real(std::string_view Section, std::string_view Key) const {
  return std::strtod(text(Section, Key).c_str(), nullptr);
}

bool Settings::boolean(std::string_view Section, std::string_view Key) const {
  return text(Section, Key) == "true";
}

Endpoint Settings::endpoint(std::string_view Section, std::string_view Key) const {
  const std::string Value = text(Section, Key);
  const auto Parsed = capture([&] { return parseEndpoint(Value); });
  return Parsed ? *Parsed : Endpoint{};
}

std::vector<Endpoint> Settings::endpoints(std::string_view Section, std::string_view Key) const {
  std::vector<Endpoint> List;
  for (const std::string &Part : splitList(text(Section, Key))) {
    const auto Parsed = capture([&] { return parseEndpoint(Part); });
    if (Parsed)
      List.push_back(*Parsed);
  }
  return List;
}

std::vector<std::string> Settings::names(std::string_view Section, std::string_view Key) const {
  return splitList(text(Section, Key));
}

Result<Settings> loadSettings(const std::string &Path, const std::vector<SettingRule> &Rules) {
  Collector Found;
  const int Status = ini_parse(Path.c_str(), collect, &Found);
  if (Status < 0)
    return fail(ResultCode::SettingsUnreadable, Path + ": the file can't be read");
  if (Status > 0)
    return fail(ResultCode::SettingsSyntax,
                Path + ":" + std::to_string(Status) + ": expected [section] or key = value");
  BOOST_LEAF_CHECK(checkNames(Path, Found, Rules));
  for (const SettingRule &Rule : Rules) {
    const std::string Name = joined(Rule.Section, Rule.Key);
    const auto Given = Found.Values.find(Name);
    if (Given == Found.Values.end()) {
      if (!Rule.Default)
        return fail(ResultCode::SettingsMissingKey,
                    Path + ": missing key " + Name + " (" + Rule.Brief + ")");
      Found.Values[Name] = *Rule.Default;
      continue;
    }
    const std::string Expected = problemWith(Rule, Given->second);
    if (!Expected.empty())
      return fail(ResultCode::SettingsBadValue,
                  Path + ": " + Name + " = '" + Given->second + "': expected " + Expected);
  }
  return Settings(std::move(Found.Values), Path);
}

} // namespace galenarelay::common
