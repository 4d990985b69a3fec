#include "galenarelay/config/selector.h"

#include <algorithm>
#include <optional>

namespace galenarelay::config {

using common::fail;
using common::Result;
using common::ResultCode;

namespace {

bool isLetterOrDigit(char Byte) noexcept {
  return (Byte >= 'a' && Byte <= 'z') || (Byte >= 'A' && Byte <= 'Z') ||
         (Byte >= '0' && Byte <= '9');
}

bool isNameByte(char Byte) noexcept {
  return isLetterOrDigit(Byte) || Byte == '.' || Byte == '_' || Byte == '-';
}

/// Tokenizes a selector text from left to right; skips spaces and tabs between tokens.
class Scanner {
public:
  explicit Scanner(std::string_view Text) : Text(Text) {}

  [[nodiscard]] bool atEnd() {
    skipSpaces();
    return Position == Text.size();
  }

  [[nodiscard]] bool peek(char Byte) { return !atEnd() && Text[Position] == Byte; }

  /// Consumes the token if it comes next.
  bool accept(std::string_view Token) {
    skipSpaces();
    if (Text.substr(Position, Token.size()) != Token)
      return false;
    Position += Token.size();
    return true;
  }

  /// Consumes a name. Description says in the error message what was expected.
  Result<std::string> parseName(std::string_view Description) {
    skipSpaces();
    const std::size_t Start = Position;
    while (Position < Text.size() && isNameByte(Text[Position]))
      ++Position;
    const std::string_view Name = Text.substr(Start, Position - Start);
    if (!isName(Name))
      return syntaxError(std::string("expected a ") + std::string(Description), Start);
    return std::string(Name);
  }

  /// Fails with SelectorSyntax; the message gives the column of Offset, counted from 1.
  [[nodiscard]] boost::leaf::error_id syntaxError(const std::string &Expected,
                                                  std::size_t Offset) const {
    return fail(ResultCode::SelectorSyntax, "selector '" + std::string(Text) + "', column " +
                                                std::to_string(Offset + 1) + ": " + Expected);
  }

  [[nodiscard]] std::size_t position() const noexcept { return Position; }

private:
  void skipSpaces() {
    while (Position < Text.size() && (Text[Position] == ' ' || Text[Position] == '\t'))
      ++Position;
  }

  std::string_view Text;
  std::size_t Position = 0;
};

/// Parses the values in parentheses after `in` or `notin`; returns them sorted, without duplicates.
Result<std::vector<std::string>> parseValueList(Scanner &Input) {
  if (!Input.accept("("))
    return Input.syntaxError("expected '('", Input.position());
  std::vector<std::string> Values;
  do {
    BOOST_LEAF_AUTO(Value, Input.parseName("label value"));
    Values.push_back(std::move(Value));
  } while (Input.accept(","));
  if (!Input.accept(")"))
    return Input.syntaxError("expected ',' or ')'", Input.position());
  std::sort(Values.begin(), Values.end());
  Values.erase(std::unique(Values.begin(), Values.end()), Values.end());
  return Values;
}

/// Parses the rest of a term after its key: `in (...)` or `notin (...)`.
Result<SelectorTerm> parseSetTerm(std::string Key, Scanner &Input) {
  const std::size_t Offset = Input.position();
  BOOST_LEAF_AUTO(Operator, Input.parseName("comparison"));
  if (Operator != "in" && Operator != "notin")
    return Input.syntaxError("expected '=', '!=', 'in', 'notin' or ','", Offset);
  BOOST_LEAF_AUTO(Values, parseValueList(Input));
  return SelectorTerm{std::move(Key), Operator == "in" ? TermKind::In : TermKind::NotIn,
                      std::move(Values)};
}

Result<SelectorTerm> parseTerm(Scanner &Input) {
  if (Input.accept("!")) {
    BOOST_LEAF_AUTO(Key, Input.parseName("label key"));
    return SelectorTerm{std::move(Key), TermKind::Absent, {}};
  }
  BOOST_LEAF_AUTO(Key, Input.parseName("label key"));
  const bool Unequal = Input.accept("!=");
  if (Unequal || Input.accept("=")) {
    BOOST_LEAF_AUTO(Value, Input.parseName("label value"));
    return SelectorTerm{
        std::move(Key), Unequal ? TermKind::NotIn : TermKind::In, {std::move(Value)}};
  }
  if (Input.atEnd() || Input.peek(','))
    return SelectorTerm{std::move(Key), TermKind::Exists, {}};
  return parseSetTerm(std::move(Key), Input);
}

/// Returns the value of a label, implicit or set by an operator; empty if the label is absent.
std::optional<std::string_view> labelValue(const std::string &Key, const Labels &OperatorLabels,
                                           std::string_view Id, std::string_view Zone) noexcept {
  if (Key == IdLabel)
    return Id;
  if (Key == ZoneLabel)
    return Zone.empty() ? std::nullopt : std::optional(Zone);
  const auto Label = OperatorLabels.find(Key);
  return Label == OperatorLabels.end() ? std::nullopt
                                       : std::optional<std::string_view>(Label->second);
}

bool termMatches(const SelectorTerm &Term, std::optional<std::string_view> Value) noexcept {
  const bool ValueListed =
      Value && std::binary_search(Term.Values.begin(), Term.Values.end(), *Value, std::less<>());
  switch (Term.Kind) {
  case TermKind::In:
    return ValueListed;
  case TermKind::NotIn:
    return !ValueListed;
  case TermKind::Exists:
    return Value.has_value();
  case TermKind::Absent:
    return !Value.has_value();
  }
  return false;
}

} // namespace

bool isName(std::string_view Text) noexcept {
  return !Text.empty() && Text.size() <= MaxNameBytes && isLetterOrDigit(Text.front()) &&
         std::all_of(Text.begin(), Text.end(), isNameByte);
}

Result<Selector> Selector::parse(std::string_view Text) {
  if (Text.size() > MaxSelectorBytes)
    return fail(ResultCode::SelectorSyntax,
                "the selector is longer than " + std::to_string(MaxSelectorBytes) + " bytes");
  Scanner Input(Text);
  Selector Parsed;
  // At least one term is required: an empty selector would select every upstream, which is never
  // what an operator means.
  do {
    BOOST_LEAF_AUTO(Term, parseTerm(Input));
    Parsed.Terms.push_back(std::move(Term));
  } while (Input.accept(","));
  if (!Input.atEnd())
    return Input.syntaxError("expected ','", Input.position());
  return Parsed;
}

bool Selector::matches(const Labels &OperatorLabels, std::string_view Id,
                       std::string_view Zone) const noexcept {
  return !Terms.empty() && std::all_of(Terms.begin(), Terms.end(), [&](const SelectorTerm &Term) {
    return termMatches(Term, labelValue(Term.Key, OperatorLabels, Id, Zone));
  });
}

} // namespace galenarelay::config
