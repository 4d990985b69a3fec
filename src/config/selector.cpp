#include "galenarelay/config/selector.h"

#include <algorithm>
#include <optional>

namespace galenarelay::config {

using common::fail;
using common::Result;
using common::ResultCode;

namespace {

bool isLetterOrDigit(char C) noexcept {
  return (C >= 'a' && C <= 'z') || (C >= 'A' && C <= 'Z') || (C >= '0' && C <= '9');
}

bool isNameByte(char C) noexcept { return isLetterOrDigit(C) || C == '.' || C == '_' || C == '-'; }

/// Reads a selector text from left to right.
class Scanner {
public:
  explicit Scanner(std::string_view Text) : Text(Text) {}

  [[nodiscard]] bool atEnd() {
    skipSpaces();
    return Position == Text.size();
  }

  [[nodiscard]] bool peek(char C) { return !atEnd() && Text[Position] == C; }

  /// Consumes the token if it comes next.
  bool accept(std::string_view Token) {
    skipSpaces();
    if (Text.substr(Position, Token.size()) != Token)
      return false;
    Position += Token.size();
    return true;
  }

  Result<std::string> name(std::string_view What) {
    skipSpaces();
    const std::size_t Start = Position;
    while (Position < Text.size() && isNameByte(Text[Position]))
      ++Position;
    const std::string_view Found = Text.substr(Start, Position - Start);
    if (!isName(Found))
      return refuse(std::string("expected a ") + std::string(What), Start);
    return std::string(Found);
  }

  [[nodiscard]] boost::leaf::error_id refuse(const std::string &Expected, std::size_t At) const {
    return fail(ResultCode::SelectorSyntax, "selector '" + std::string(Text) + "', column " +
                                                std::to_string(At + 1) + ": " + Expected);
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

Result<std::vector<std::string>> parseList(Scanner &From) {
  if (!From.accept("("))
    return From.refuse("expected '('", From.position());
  std::vector<std::string> Values;
  do {
    BOOST_LEAF_AUTO(Value, From.name("label value"));
    Values.push_back(std::move(Value));
  } while (From.accept(","));
  if (!From.accept(")"))
    return From.refuse("expected ',' or ')'", From.position());
  std::sort(Values.begin(), Values.end());
  Values.erase(std::unique(Values.begin(), Values.end()), Values.end());
  return Values;
}

Result<SelectorTerm> parseSet(std::string Key, Scanner &From) {
  const std::size_t At = From.position();
  BOOST_LEAF_AUTO(Word, From.name("comparison"));
  if (Word != "in" && Word != "notin")
    return From.refuse("expected '=', '!=', 'in', 'notin' or ','", At);
  BOOST_LEAF_AUTO(Values, parseList(From));
  return SelectorTerm{std::move(Key), Word == "in" ? TermKind::In : TermKind::NotIn,
                      std::move(Values)};
}

Result<SelectorTerm> parseTerm(Scanner &From) {
  if (From.accept("!")) {
    BOOST_LEAF_AUTO(Key, From.name("label key"));
    return SelectorTerm{std::move(Key), TermKind::Absent, {}};
  }
  BOOST_LEAF_AUTO(Key, From.name("label key"));
  const bool Unequal = From.accept("!=");
  if (Unequal || From.accept("=")) {
    BOOST_LEAF_AUTO(Value, From.name("label value"));
    return SelectorTerm{
        std::move(Key), Unequal ? TermKind::NotIn : TermKind::In, {std::move(Value)}};
  }
  if (From.atEnd() || From.peek(','))
    return SelectorTerm{std::move(Key), TermKind::Exists, {}};
  return parseSet(std::move(Key), From);
}

std::optional<std::string_view> labelValue(const std::string &Key, const Labels &OperatorLabels,
                                           std::string_view Id, std::string_view Zone) noexcept {
  if (Key == IdLabel)
    return Id;
  if (Key == ZoneLabel)
    return Zone.empty() ? std::nullopt : std::optional(Zone);
  const auto Found = OperatorLabels.find(Key);
  return Found == OperatorLabels.end() ? std::nullopt
                                       : std::optional<std::string_view>(Found->second);
}

bool termMatches(const SelectorTerm &Term, std::optional<std::string_view> Value) noexcept {
  const bool Listed =
      Value && std::binary_search(Term.Values.begin(), Term.Values.end(), *Value, std::less<>());
  switch (Term.Kind) {
  case TermKind::In:
    return Listed;
  case TermKind::NotIn:
    return !Listed;
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
  Scanner From(Text);
  Selector Parsed;
  // An empty selector would select every upstream; that is never what an operator means.
  do {
    BOOST_LEAF_AUTO(Term, parseTerm(From));
    Parsed.Terms.push_back(std::move(Term));
  } while (From.accept(","));
  if (!From.atEnd())
    return From.refuse("expected ','", From.position());
  return Parsed;
}

bool Selector::matches(const Labels &OperatorLabels, std::string_view Id,
                       std::string_view Zone) const noexcept {
  return !Terms.empty() && std::all_of(Terms.begin(), Terms.end(), [&](const SelectorTerm &Term) {
    return termMatches(Term, labelValue(Term.Key, OperatorLabels, Id, Zone));
  });
}

} // namespace galenarelay::config
