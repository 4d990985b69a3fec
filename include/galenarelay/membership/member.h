#ifndef GALENARELAY_MEMBERSHIP_MEMBER_H
#define GALENARELAY_MEMBERSHIP_MEMBER_H

#include "galenarelay/common/endpoint.h"
#include "galenarelay/common/error.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace galenarelay::membership {

/// Role of a member.
enum class MemberKind : std::uint8_t { Balancer, Agent };

/// Lifecycle state of a member, in ascending order of precedence at equal incarnation: a record
/// with a higher state supersedes one with a lower state.
enum class MemberState : std::uint8_t { Joining, Active, Suspect, Leaving, Dead };

/// Membership record of one member. The member announces its own record; peers may only set the
/// state to Suspect or Dead.
struct Member {
  std::string Id;
  MemberKind Kind = MemberKind::Agent;
  std::string Zone;
  common::Endpoint Data;    ///< UDP; data packets.
  common::Endpoint Control; ///< UDP; CBOR datagrams.
  common::Endpoint Admin;   ///< TCP; HTTP with JSON.
  std::uint64_t Incarnation = 0;
  MemberState State = MemberState::Joining;
  common::Endpoint Upstream; ///< Agents only.
  std::uint32_t Slots = 0;   ///< Agents only.
  /// Services that the member is no longer eligible for but still holds flows of.
  std::vector<std::string> ResidualServices;

  friend bool operator==(const Member &, const Member &) = default;
};

[[nodiscard]] std::string_view name(MemberKind Kind) noexcept;
[[nodiscard]] std::string_view name(MemberState State) noexcept;

/// Returns true if Incoming replaces Known: it has a higher incarnation, or the same incarnation
/// and a state of higher precedence.
[[nodiscard]] bool supersedes(const Member &Incoming, const Member &Known) noexcept;

/// Converts a record to the JSON form used in messages, in the store and by /v1/members.
[[nodiscard]] nlohmann::json toJson(const Member &Record);

/// Parses the JSON form of a record. Errors: MessageMalformed.
[[nodiscard]] common::Result<Member> memberFromJson(const nlohmann::json &Document);

/// Parses a list of records. Leaves out those that can't be read, and calls OnUnreadable with the
/// reason of each. Throws nlohmann::json::exception if Records isn't a list.
template <typename F>
[[nodiscard]] std::vector<Member> membersFromJson(const nlohmann::json &Records, F &&OnUnreadable) {
  std::vector<Member> Members;
  for (const auto &Record : Records.get_ref<const nlohmann::json::array_t &>()) {
    auto Parsed = common::capture([&] { return memberFromJson(Record); });
    if (Parsed)
      Members.push_back(std::move(*Parsed));
    else
      OnUnreadable(Parsed.Failure);
  }
  return Members;
}

} // namespace galenarelay::membership

#endif // GALENARELAY_MEMBERSHIP_MEMBER_H
