#include "galenarelay/common/json_fields.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <string>

namespace galenarelay::common {

using nlohmann::json;

namespace {

/// Doubles represent all whole numbers below this one.
constexpr double ExactWholeLimit = 9007199254740992.0; // 2^53

/// Returns the index after the string that begins at a quotation mark.
std::size_t skipString(std::string_view Text, std::size_t At) noexcept {
  for (++At; At < Text.size() && Text[At] != '"'; ++At)
    if (Text[At] == '\\')
      ++At;
  return std::min(At + 1, Text.size());
}

bool exceedsDepth(std::string_view Text) noexcept {
  std::size_t Depth = 0;
  for (std::size_t I = 0; I < Text.size(); ++I) {
    const char C = Text[I];
    if (C == '"')
      I = skipString(Text, I) - 1;
    else if (C == '[' || C == '{')
      ++Depth;
    else if ((C == ']' || C == '}') && Depth > 0)
      --Depth;
    if (Depth > MaxJsonDepth)
      return true;
  }
  return false;
}

/// Replaces numbers beyond the range of a double and values nested too deeply by null.
std::string withoutExtremes(std::string_view Text) {
  constexpr std::string_view NumberCharacters = "+-.0123456789Ee";
  std::string Kept;
  std::size_t Depth = 0;
  std::size_t At = 0;
  while (At < Text.size()) {
    const char C = Text[At];
    std::size_t End = At + 1;
    std::string_view Token = Text.substr(At, 1);
    bool Keep = Depth <= MaxJsonDepth;
    if (C == '"') {
      End = skipString(Text, At);
      Token = Text.substr(At, End - At);
    } else if (C == '[' || C == '{') {
      if (++Depth == MaxJsonDepth + 1)
        Kept += "null";
      Keep = Depth <= MaxJsonDepth;
    } else if ((C == ']' || C == '}') && Depth > 0) {
      --Depth;
    } else if (C == '-' || (C >= '0' && C <= '9')) {
      End = std::min(Text.find_first_not_of(NumberCharacters, At), Text.size());
      const std::string Number(Text.substr(At, End - At));
      Token = std::isfinite(std::strtod(Number.c_str(), nullptr)) ? Text.substr(At, End - At)
                                                                  : std::string_view("null");
    }
    if (Keep)
      Kept += Token;
    At = End;
  }
  return Kept;
}

[[noreturn]] void refuse(const json &Value, const std::string &Expected) {
  throw json::type_error::create(302, "expected " + Expected + ", got " + Value.type_name(),
                                 &Value);
}

} // namespace

json parseJson(std::string_view Text) {
  if (exceedsDepth(Text))
    return json::parse(withoutExtremes(Text));
  try {
    return json::parse(Text);
  } catch (const json::out_of_range &) {
    return json::parse(withoutExtremes(Text));
  }
}

json parseJsonOrDiscard(std::string_view Text) {
  try {
    return parseJson(Text);
  } catch (const json::exception &) {
    return json(json::value_t::discarded); // Braces would make it an element of an array.
  }
}

std::uint64_t impl::readWhole(const json &Value, std::uint64_t Most) {
  const auto Refuse = [&] { refuse(Value, "a whole number of 0 to " + std::to_string(Most)); };
  std::uint64_t Number = 0;
  if (Value.is_number_unsigned()) {
    Number = Value.get<std::uint64_t>();
  } else if (Value.is_number_integer()) {
    const auto Signed = Value.get<std::int64_t>();
    if (Signed < 0)
      Refuse();
    Number = static_cast<std::uint64_t>(Signed);
  } else if (Value.is_number_float()) {
    // Some writers state whole numbers as 3.0.
    const auto Real = Value.get<double>();
    if (!(Real >= 0 && Real < ExactWholeLimit && Real == std::floor(Real)))
      Refuse();
    Number = static_cast<std::uint64_t>(Real);
  } else {
    Refuse();
  }
  if (Number > Most)
    Refuse();
  return Number;
}

Duration readMilliseconds(const json &Value) {
  return std::chrono::milliseconds(readUnsigned<std::uint64_t>(
      Value, static_cast<std::uint64_t>(wholeMilliseconds(MaxStatedTime))));
}

double readNumber(const json &Value, double Least, double Most) {
  if (!Value.is_number())
    refuse(Value, "a number");
  const auto Number = Value.get<double>();
  if (!(Number >= Least && Number <= Most))
    refuse(Value, "a number of " + std::to_string(Least) + " to " + std::to_string(Most));
  return Number;
}

} // namespace galenarelay::common
