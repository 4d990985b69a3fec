#ifndef GALENARELAY_ROUTING_SERVICE_TABLE_H
#define GALENARELAY_ROUTING_SERVICE_TABLE_H

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace galenarelay::routing {

/// Slots of a table. Prime, and large enough that home shares of 7 members differ by about 8%.
inline constexpr std::size_t TableSlots = 1021;

/// Position of no member.
inline constexpr std::uint16_t NoMember = 0xffff;

/// The two members of a slot, as positions in ServiceTable::members().
struct Choice {
  std::uint16_t First = NoMember;
  std::uint16_t Second = NoMember;

  friend auto operator<=>(const Choice &, const Choice &) = default;
};

/// Maps flow hashes of one service to a home and a second choice by rendezvous hashing.
class ServiceTable {
public:
  ServiceTable() = default;
  /// Builds the table; the order of the member IDs doesn't matter. At most 65,534 members.
  ServiceTable(std::string_view ServiceName, std::vector<std::string> MemberIds);

  /// Sorted member IDs.
  [[nodiscard]] const std::vector<std::string> &members() const noexcept { return Members; }
  [[nodiscard]] bool empty() const noexcept { return Members.empty(); }
  [[nodiscard]] Choice choose(std::uint64_t FlowHash) const noexcept {
    return Slots[FlowHash % TableSlots];
  }

  friend bool operator==(const ServiceTable &, const ServiceTable &) = default;

private:
  std::vector<std::string> Members;
  std::array<Choice, TableSlots> Slots{};
};

} // namespace galenarelay::routing

#endif // GALENARELAY_ROUTING_SERVICE_TABLE_H
