#include "galenarelay/common/endpoint.h"

#include <boost/asio/ip/address_v4.hpp>

#include <charconv>

namespace galenarelay::common {

Result<Endpoint> parseEndpoint(std::string_view Text) {
  const auto Colon = Text.rfind(':');
  const auto Refused = [&] {
    return fail(ResultCode::SettingsBadValue,
                "'" + std::string(Text) + "' isn't an IPv4 address and port such as 10.0.0.1:80");
  };
  if (Colon == std::string_view::npos)
    return Refused();
  boost::system::error_code Failure;
  const auto Address =
      boost::asio::ip::make_address_v4(std::string(Text.substr(0, Colon)), Failure);
  const std::string_view PortText = Text.substr(Colon + 1);
  std::uint16_t Port = 0;
  const auto [End, Status] =
      std::from_chars(PortText.data(), PortText.data() + PortText.size(), Port);
  const bool PortValid =
      Status == std::errc() && End == PortText.data() + PortText.size() && !PortText.empty();
  if (Failure || !PortValid)
    return Refused();
  return Endpoint{Address.to_uint(), Port};
}

std::string toString(const Endpoint &Value) {
  return addressToString(Value.Address) + ":" + std::to_string(Value.Port);
}

std::string addressToString(std::uint32_t Address) {
  return boost::asio::ip::address_v4(Address).to_string();
}

} // namespace galenarelay::common
