#ifndef GALENARELAY_CONFIG_SELECTOR_H
#define GALENARELAY_CONFIG_SELECTOR_H

#include "galenarelay/common/error.h"
#include "galenarelay/config/configuration.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace galenarelay::config {

/// Longest selector text, in bytes; longer ones are refused with SelectorSyntax.
inline constexpr std::size_t MaxSelectorBytes = 1024;
/// Longest label key, label value, service name or upstream ID, in bytes.
inline constexpr std::size_t MaxNameBytes = 63;
/// Implicit label that holds the upstream's ID; operators can't set it.
inline constexpr std::string_view IdLabel = "id";
/// Implicit label that holds the upstream's availability zone; operators can't set it.
inline constexpr std::string_view ZoneLabel = "zone";

/// How a term compares a label. NotIn also matches an absent label.
enum class TermKind : std::uint8_t { In, NotIn, Exists, Absent };

/// One term of a selector; `key=value` is In with one value, `key!=value` is NotIn.
struct SelectorTerm {
  std::string Key;
  TermKind Kind = TermKind::Exists;
  std::vector<std::string> Values; ///< Sorted, without duplicates.

  friend bool operator==(const SelectorTerm &, const SelectorTerm &) = default;
};

/// True for 1 to MaxNameBytes letters, digits, '.', '_' and '-' that start with a letter or digit.
[[nodiscard]] bool isName(std::string_view Text) noexcept;

/// A parsed selector. Example: `Selector::parse("role=desk, tier in (a,b), !spare")`
class Selector {
public:
  Selector() = default;

  /// Parses comma-separated terms. Errors: SelectorSyntax.
  [[nodiscard]] static common::Result<Selector> parse(std::string_view Text);

  [[nodiscard]] const std::vector<SelectorTerm> &terms() const noexcept { return Terms; }
  /// Tells whether all terms match. A selector without terms matches nothing. An empty zone counts
  /// as an absent label.
  [[nodiscard]] bool matches(const Labels &OperatorLabels, std::string_view Id,
                             std::string_view Zone) const noexcept;

  friend bool operator==(const Selector &, const Selector &) = default;

private:
  std::vector<SelectorTerm> Terms;
};

} // namespace galenarelay::config

#endif // GALENARELAY_CONFIG_SELECTOR_H
