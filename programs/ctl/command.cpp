#include "command.h"

#include <charconv>
#include <random>

namespace galenarelay::ctl {

using common::capture;
using common::fail;
using common::Result;
using common::ResultCode;

Result<std::uint64_t> parseNumber(const std::string &What, const std::string &Text) {
  std::uint64_t Value = 0;
  const char *Last = Text.data() + Text.size();
  const auto Parsed = std::from_chars(Text.data(), Last, Value);
  if (Text.empty() || Parsed.ec != std::errc() || Parsed.ptr != Last)
    return fail(ResultCode::Usage, What + ": '" + Text + "' isn't a number");
  return Value;
}

std::optional<std::string> Invocation::option(const std::string &Name) const {
  const auto Found = Options.find(Name);
  return Found == Options.end() ? std::nullopt : std::optional(Found->second);
}

Result<std::string> Invocation::required(const std::string &Name) const {
  const auto Given = option(Name);
  if (!Given || Given->empty())
    return fail(ResultCode::Usage, "--" + Name + " is required, here or in the settings file");
  return *Given;
}

Result<std::uint64_t> Invocation::numberOr(const std::string &Name, std::uint64_t Default) const {
  const auto Given = option(Name);
  return Given ? parseNumber("--" + Name, *Given) : Result<std::uint64_t>(Default);
}

Result<common::Endpoint> Invocation::address(const std::string &Name) const {
  BOOST_LEAF_AUTO(Text, required(Name));
  const auto Parsed = capture([&] { return common::parseEndpoint(Text); });
  if (!Parsed)
    return fail(ResultCode::Usage, "--" + Name + ": " + Parsed.Failure.Detail);
  return *Parsed;
}

Result<Client> Invocation::store() const {
  constexpr std::uint64_t DefaultTimeoutMs = 2000;
  BOOST_LEAF_AUTO(Address, address("store"));
  BOOST_LEAF_AUTO(TimeoutMs, numberOr("store-timeout-ms", DefaultTimeoutMs));
  return Client(config::BlockingTransport(Address, std::chrono::milliseconds(TimeoutMs),
                                          std::random_device()()));
}

} // namespace galenarelay::ctl
