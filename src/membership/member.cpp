#include "galenarelay/membership/member.h"

#include <array>

namespace galenarelay::membership {

using common::Endpoint;
using common::fail;
using common::ResultCode;

namespace {

constexpr std::array<std::string_view, 2> KindNames{"balancer", "agent"};
constexpr std::array<std::string_view, 5> StateNames{"joining", "active", "suspect", "leaving",
                                                     "dead"};

template <typename E, std::size_t N>
common::Result<E> parseEnum(const std::array<std::string_view, N> &Names, const std::string &Text) {
  for (std::size_t I = 0; I < N; ++I)
    if (Names[I] == Text)
      return static_cast<E>(I);
  return fail(ResultCode::MessageMalformed, "unknown member field value '" + Text + "'");
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
    return fail(ResultCode::MessageMalformed, "a member needs an ID");
  BOOST_LEAF_ASSIGN(Parsed.Kind, parseEnum<MemberKind>(KindNames, Document.at("kind")));
  BOOST_LEAF_ASSIGN(Parsed.State, parseEnum<MemberState>(StateNames, Document.at("state")));
  Parsed.Zone = Document.value("zone", std::string());
  Parsed.Incarnation = Document.at("inc").get<std::uint64_t>();
  BOOST_LEAF_ASSIGN(Parsed.Data, endpointField(Document, "data"));
  BOOST_LEAF_ASSIGN(Parsed.Control, endpointField(Document, "control"));
  BOOST_LEAF_ASSIGN(Parsed.Admin, endpointField(Document, "admin"));
  BOOST_LEAF_ASSIGN(Parsed.Upstream, endpointField(Document, "upstream"));
  Parsed.Slots = Document.value("slots", 0U);
  Parsed.Residual = Document.value("residual", std::vector<std::string>());
  return Parsed;
}

} // namespace

std::string_view name(MemberKind Kind) noexcept {
  return KindNames[static_cast<std::size_t>(Kind)];
}

std::string_view name(MemberState State) noexcept {
  return StateNames[static_cast<std::size_t>(State)];
}

bool supersedes(const Member &Offered, const Member &Known) noexcept {
  if (Offered.Incarnation != Known.Incarnation)
    return Offered.Incarnation > Known.Incarnation;
  return Offered.State > Known.State;
}

nlohmann::json toJson(const Member &Value) {
  nlohmann::json Document{{"id", Value.Id},
                          {"kind", name(Value.Kind)},
                          {"state", name(Value.State)},
                          {"zone", Value.Zone},
                          {"inc", Value.Incarnation},
                          {"data", common::toString(Value.Data)},
                          {"control", common::toString(Value.Control)},
                          {"admin", common::toString(Value.Admin)}};
  if (Value.Kind == MemberKind::Agent) {
    Document["upstream"] = common::toString(Value.Upstream);
    Document["slots"] = Value.Slots;
  }
  if (!Value.Residual.empty())
    Document["residual"] = Value.Residual;
  return Document;
}

common::Result<Member> memberFromJson(const nlohmann::json &Document) {
  try {
    return parseFields(Document);
  } catch (const nlohmann::json::exception &Problem) {
    return fail(ResultCode::MessageMalformed, Problem.what());
  }
}

} // namespace galenarelay::membership
