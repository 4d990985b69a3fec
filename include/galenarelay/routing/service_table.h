#ifndef GALENARELAY_ROUTING_SERVICE_TABLE_H
#define GALENARELAY_ROUTING_SERVICE_TABLE_H

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace galenarelay::routing {

/// Number of slots of a table. Prime, and large enough that the share of the flows for which each
/// of 7 members is the home has a relative standard deviation of about 8%.
inline constexpr std::size_t TableSlots = 1021;

/// Position that stands for no member.
inline constexpr std::uint16_t NoMemberPosition = 0xffff;

/// The members with the highest and second-highest rendezvous score of a slot, as positions in
/// ServiceTable::members(); NoMemberPosition if there are fewer members.
struct SlotMembers {
  std::uint16_t First = NoMemberPosition;
  std::uint16_t Second = NoMemberPosition;

  friend auto operator<=>(const SlotMembers &, const SlotMembers &) = default;
};

/// Maps the flow hashes of one service to a home and a second choice by rendezvous hashing over a
/// fixed number of slots.
class ServiceTable {
public:
  ServiceTable() = default;
  /// Builds the table for at most 65,534 members. The order of MemberIds doesn't matter and
  /// duplicates are ignored.
  ServiceTable(std::string_view ServiceName, std::vector<std::string> MemberIds);

  /// Sorted member IDs.
  [[nodiscard]] const std::vector<std::string> &members() const noexcept { return Members; }
  [[nodiscard]] bool empty() const noexcept { return Members.empty(); }
  /// The home (First) and the second choice of a flow; NoMemberPosition in an empty table.
  [[nodiscard]] SlotMembers choose(std::uint64_t FlowHash) const noexcept {
    return Slots[FlowHash % TableSlots];
  }

  friend bool operator==(const ServiceTable &, const ServiceTable &) = default;

private:
  std::vector<std::string> Members;
  std::array<SlotMembers, TableSlots> Slots{};
};

} // namespace galenarelay::routing

#endif // GALENARELAY_ROUTING_SERVICE_TABLE_H
