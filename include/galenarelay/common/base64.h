#ifndef GALENARELAY_COMMON_BASE64_H
#define GALENARELAY_COMMON_BASE64_H

#include <boost/beast/core/detail/base64.hpp>

#include <string>

namespace galenarelay::common {

/// Standard base64 with padding. Example: `encodeBase64("ab") == "YWI="`
[[nodiscard]] inline std::string encodeBase64(const std::string &Bytes) {
  namespace base64 = boost::beast::detail::base64;
  std::string Text(base64::encoded_size(Bytes.size()), '\0');
  Text.resize(base64::encode(Text.data(), Bytes.data(), Bytes.size()));
  return Text;
}

/// Reads up to the first character that isn't base64.
[[nodiscard]] inline std::string decodeBase64(const std::string &Text) {
  namespace base64 = boost::beast::detail::base64;
  std::string Bytes(base64::decoded_size(Text.size()), '\0');
  Bytes.resize(base64::decode(Bytes.data(), Text.data(), Text.size()).first);
  return Bytes;
}

} // namespace galenarelay::common

#endif // GALENARELAY_COMMON_BASE64_H
