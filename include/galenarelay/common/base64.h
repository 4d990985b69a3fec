#ifndef GALENARELAY_COMMON_BASE64_H
#define GALENARELAY_COMMON_BASE64_H

#include <boost/beast/core/detail/base64.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace galenarelay::common {

/// Standard base64 with padding. Example: `encodeBase64("ab") == "YWI="`
[[nodiscard]] inline std::string encodeBase64(const std::string &Bytes) {
  namespace base64 = boost::beast::detail::base64;
  std::string Text(base64::encoded_size(Bytes.size()), '\0');
  Text.resize(base64::encode(Text.data(), Bytes.data(), Bytes.size()));
  return Text;
}

/// Empty if the text isn't standard base64 with padding.
[[nodiscard]] inline std::optional<std::string> decodeBase64(const std::string &Text) {
  namespace base64 = boost::beast::detail::base64;
  constexpr std::size_t GroupCharacters = 4;
  std::string Bytes(base64::decoded_size(Text.size()), '\0');
  const auto [Written, Read] = base64::decode(Bytes.data(), Text.data(), Text.size());
  const auto Padding = std::string_view(Text).substr(Read);
  if (Text.size() % GroupCharacters != 0 || !std::string_view("==").starts_with(Padding))
    return std::nullopt;
  Bytes.resize(Written);
  return Bytes;
}

} // namespace galenarelay::common

#endif // GALENARELAY_COMMON_BASE64_H
