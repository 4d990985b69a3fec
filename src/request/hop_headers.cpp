#include "galenarelay/request/hop_headers.h"

#include <boost/beast/http/rfc7230.hpp>

#include <algorithm>
#include <array>
#include <string>
#include <string_view>

namespace galenarelay::request {

namespace {

constexpr std::array<std::string_view, 11> HopHeaders{
    "Connection", "Keep-Alive",     "Proxy-Connection",   "Proxy-Authenticate",
    "TE",         "Trailer",        "Transfer-Encoding",  "Upgrade",
    "Expect",     "Content-Length", "Proxy-Authorization"};

} // namespace

void removeHopHeaders(std::vector<Header> &Headers) {
  std::vector<std::string> RemovedNames(HopHeaders.begin(), HopHeaders.end());
  for (const auto &[Name, Value] : Headers)
    if (headerNamesEqual(Name, "Connection"))
      for (const auto Token : boost::beast::http::token_list(Value))
        RemovedNames.emplace_back(Token);
  std::erase_if(Headers, [&](const Header &Field) {
    return std::any_of(RemovedNames.begin(), RemovedNames.end(), [&](const std::string &Name) {
      return headerNamesEqual(Name, Field.first);
    });
  });
}

} // namespace galenarelay::request
