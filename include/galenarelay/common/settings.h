#ifndef GALENARELAY_COMMON_SETTINGS_H
#define GALENARELAY_COMMON_SETTINGS_H

#include "galenarelay/common/endpoint.h"
#include "galenarelay/common/error.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace galenarelay::common {

/// What the value of a key must look like.
enum class SettingKind : std::uint8_t {
  Text,
  Integer,
  Real,
  Boolean,
  Address,
  AddressList,
  NameList
};

/// One key that a program accepts; without a default the key is required.
struct SettingRule {
  std::string Section;
  std::string Key;
  SettingKind Kind = SettingKind::Text;
  std::optional<std::string> Default;
  double Minimum = 0;
  double Maximum = 0; ///< Range check for numbers when Maximum > Minimum.
  std::string Brief;
  std::vector<std::string> Choices = {}; ///< The names that a NameList may hold.
};

/// Checked settings of a program.
class Settings {
public:
  Settings() = default;
  explicit Settings(std::map<std::string, std::string> Values, std::string Path = {})
      : Values(std::move(Values)), Path(std::move(Path)) {}

  /// The file that they were read from; empty if they weren't.
  [[nodiscard]] const std::string &path() const noexcept { return Path; }

  [[nodiscard]] std::string text(std::string_view Section, std::string_view Key) const;
  [[nodiscard]] std::int64_t integer(std::string_view Section, std::string_view Key) const;
  [[nodiscard]] double real(std::string_view Section, std::string_view Key) const;
  [[nodiscard]] bool boolean(std::string_view Section, std::string_view Key) const;
  [[nodiscard]] Endpoint endpoint(std::string_view Section, std::string_view Key) const;
  [[nodiscard]] std::vector<Endpoint> endpoints(std::string_view Section,
                                                std::string_view Key) const;
  [[nodiscard]] std::vector<std::string> names(std::string_view Section,
                                               std::string_view Key) const;
  /// A seed of a random engine: the setting, or one from the system if it is 0, so that processes
  /// that share their settings don't act in step.
  [[nodiscard]] std::uint64_t seed(std::string_view Section, std::string_view Key) const;

  friend bool operator==(const Settings &, const Settings &) = default;

private:
  std::map<std::string, std::string> Values;
  std::string Path;
};

/// Reads an INI file and checks every section, key and value against the rules.
/// Errors: SettingsUnreadable, SettingsSyntax, SettingsUnknownSection, SettingsUnknownKey,
/// SettingsBadValue, SettingsMissingKey; each names the file and the line or key.
[[nodiscard]] Result<Settings> loadSettings(const std::string &Path,
                                            const std::vector<SettingRule> &Rules);

} // namespace galenarelay::common

#endif // GALENARELAY_COMMON_SETTINGS_H
