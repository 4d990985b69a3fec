#ifndef GALENARELAY_CONFIG_SELECTOR_H
#define GALENARELAY_CONFIG_SELECTOR_H

#include "galenarelay/common/error.h"
#include "galenarelay/config/configuration.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace galenarelay::config {

/// Maximum length of a selector, in bytes; a longer one is rejected with SelectorSyntax.
inline constexpr std::size_t MaxSelectorBytes = 1024;
/// Maximum length of a name, in bytes. Label keys, label values, service names, upstream IDs and
/// edit IDs are names.
inline constexpr std::size_t MaxNameBytes = 63;
/// Implicit label that holds the upstream's ID; operators can't set it.
inline constexpr std::string_view IdLabel = "id";
/// Implicit label that holds the upstream's availability zone; operators can't set it.
inline constexpr std::string_view ZoneLabel = "zone";

/// Operator of a selector term. NotIn also matches an upstream without the label.
enum class TermKind : std::uint8_t { In, NotIn, Exists, Absent };

/// One term of a selector. `key=value` is In with one value; `key!=value` is NotIn with one value.
struct SelectorTerm {
  std::string Key;
  TermKind Kind = TermKind::Exists;
  std::vector<std::string> Values; ///< Sorted, without duplicates.

  friend bool operator==(const SelectorTerm &, const SelectorTerm &) = default;
};

/// Tells whether a text is a name: 1 to MaxNameBytes ASCII letters, digits, '.', '_' and '-', of
/// which the first is a letter or digit.
[[nodiscard]] bool isName(std::string_view Text) noexcept;

/// A parsed selector: a condition on the labels of an upstream. Example:
/// `Selector::parse("role=desk, tier in (a,b), !spare")`
class Selector {
public:
  Selector() = default;

  /// Parses one or more comma-separated terms. Errors: SelectorSyntax.
  [[nodiscard]] static common::Result<Selector> parse(std::string_view Text);

  [[nodiscard]] const std::vector<SelectorTerm> &terms() const noexcept { return Terms; }
  /// Tells whether all terms match an upstream. A default-constructed selector has no terms and
  /// matches nothing. An empty zone counts as an absent zone label.
  [[nodiscard]] bool matches(const Labels &OperatorLabels, std::string_view Id,
                             std::string_view Zone) const noexcept;

  friend bool operator==(const Selector &, const Selector &) = default;

private:
  std::vector<SelectorTerm> Terms;
};

} // namespace galenarelay::config

#endif // GALENARELAY_CONFIG_SELECTOR_H
