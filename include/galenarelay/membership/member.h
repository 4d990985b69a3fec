#ifndef GALENARELAY_MEMBERSHIP_MEMBER_H
#define GALENARELAY_MEMBERSHIP_MEMBER_H

#include "galenarelay/common/endpoint.h"
#include "galenarelay/common/error.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace galenarelay::membership {

/// What a member does.
enum class MemberKind : std::uint8_t { Balancer, Agent };

/// Life of a member, in rising order of precedence at equal incarnation.
enum class MemberState : std::uint8_t { Joining, Active, Suspect, Leaving, Dead };

/// One member as it announces itself.
struct Member {
  std::string Id;
  MemberKind Kind = MemberKind::Agent;
  std::string Zone;
  common::Endpoint Data;    ///< UDP, packets.
  common::Endpoint Control; ///< UDP, CBOR datagrams.
  common::Endpoint Admin;   ///< TCP, HTTP with JSON.
  std::uint64_t Incarnation = 0;
  MemberState State = MemberState::Joining;
  common::Endpoint Upstream;         ///< Agents only.
  std::uint32_t Slots = 0;           ///< Agents only.
  std::vector<std::string> Residual; ///< Services it no longer may carry but still holds flows of.

  friend bool operator==(const Member &, const Member &) = default;
};

[[nodiscard]] std::string_view name(MemberKind Kind) noexcept;
[[nodiscard]] std::string_view name(MemberState State) noexcept;

/// True if Offered replaces Known: higher incarnation, or the same and a later state.
[[nodiscard]] bool supersedes(const Member &Offered, const Member &Known) noexcept;

/// Writes the JSON form used in messages, in the store and by /v1/members.
[[nodiscard]] nlohmann::json toJson(const Member &Value);

/// Reads the JSON form. Errors: MessageMalformed.
[[nodiscard]] common::Result<Member> memberFromJson(const nlohmann::json &Document);

} // namespace galenarelay::membership

#endif // GALENARELAY_MEMBERSHIP_MEMBER_H
