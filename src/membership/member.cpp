#include "galenarelay/membership/member.h"

#include "galenarelay/common/json_fields.h"

#include <array>

namespace galenarelay::membership {

using common::Endpoint;
using common::fail;
using common::ResultCode;

namespace {

constexpr std::array<std::string_view, 2> KindNames{"balancer", "agent"};
constexpr std::array<std::string_view, 5> StateNames{"joining", "active", "suspect", "leaving",
                                                     "dead"};

template <typename Enum, std::size_t N>
common::Result<Enum> parseEnum(const std::array<std::string_view, N> &Names,
                               const std::string &Name) {
  for (std::size_t I = 0; I < N; ++I)
    if (Names[I] == Name)
      return static_cast<Enum>(I);
  return fail(ResultCode::MessageMalformed, "unknown member kind or state '" + Name + "'");
}

common::Result<Endpoint> endpointField(const nlohmann::json &Document, const char *Key) {
  const auto Found = Document.find(Key);
  if (Found == Document.end())
    return Endpoint{};
  return common::parseEndpoint(Found->get<std::string>());
}

common::Result<Member> parseFields(const nlohmann::json &Document) {
  Member Parsed;
  Parsed.Id = Document.at("id").get<std::string>();
  if (Parsed.Id.empty())
    return fail(ResultCode::MessageMalformed, "member record without an ID");
  BOOST_LEAF_ASSIGN(Parsed.Kind, parseEnum<MemberKind>(KindNames, Document.at("kind")));
  BOOST_LEAF_ASSIGN(Parsed.State, parseEnum<MemberState>(StateNames, Document.at("state")));
  Parsed.Zone = Document.value("zone", std::string());
  Parsed.Incarnation = common::readUnsigned<std::uint64_t>(Document.at("inc"));
  BOOST_LEAF_ASSIGN(Parsed.Data, endpointField(Document, "data"));
  BOOST_LEAF_ASSIGN(Parsed.Control, endpointField(Document, "control"));
  BOOST_LEAF_ASSIGN(Parsed.Admin, endpointField(Document, "admin"));
  BOOST_LEAF_ASSIGN(Parsed.Upstream, endpointField(Document, "upstream"));
  if (Document.contains("slots"))
    Parsed.Slots = common::readUnsigned<std::uint32_t>(Document.at("slots"));
  Parsed.ResidualServices = Document.value("residual", std::vector<std::string>());
  return Parsed;
}

} // namespace

std::string_view name(MemberKind Kind) noexcept {
  return KindNames[static_cast<std::size_t>(Kind)];
}

std::string_view name(MemberState State) noexcept {
  return StateNames[static_cast<std::size_t>(State)];
}

bool supersedes(const Member &Incoming, const Member &Known) noexcept {
  if (Incoming.Incarnation != Known.Incarnation)
    return Incoming.Incarnation > Known.Incarnation;
  return Incoming.State > Known.State;
}

nlohmann::json toJson(const Member &Record) {
  nlohmann::json Document{{"id", Record.Id},
                          {"kind", name(Record.Kind)},
                          {"state", name(Record.State)},
                          {"zone", Record.Zone},
                          {"inc", Record.Incarnation},
                          {"data", common::toString(Record.Data)},
                          {"control", common::toString(Record.Control)},
                          {"admin", common::toString(Record.Admin)}};
  if (Record.Kind == MemberKind::Agent) {
    Document["upstream"] = common::toString(Record.Upstream);
    Document["slots"] = Record.Slots;
  }
  if (!Record.ResidualServices.empty())
    Document["residual"] = Record.ResidualServices;
  return Document;
}

common::Result<Member> memberFromJson(const nlohmann::json &Document) {
  try {
    return parseFields(Document);
  } catch (const nlohmann::json::exception &Exception) {
    return fail(ResultCode::MessageMalformed, Exception.what());
  }
}

} // namespace galenarelay::membership
