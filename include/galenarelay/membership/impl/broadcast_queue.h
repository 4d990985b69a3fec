#ifndef GALENARELAY_MEMBERSHIP_IMPL_BROADCAST_QUEUE_H
#define GALENARELAY_MEMBERSHIP_IMPL_BROADCAST_QUEUE_H

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <tuple>

namespace galenarelay::membership::impl {

/// Records that wait to be piggybacked, the least often sent first. One record per member, so the
/// queue is bounded by the number of members.
class BroadcastQueue {
public:
  [[nodiscard]] bool empty() const noexcept { return Items.empty(); }
  [[nodiscard]] std::size_t size() const noexcept { return Items.size(); }
  /// Times that the least often sent record was sent; 0 if the queue is empty.
  [[nodiscard]] std::uint32_t leastSent() const noexcept;

  /// Adds the newest record of a member; an older one of the same member is replaced.
  void put(const std::string &Id, nlohmann::json Record);
  void erase(const std::string &Id);
  /// Moves records of at most Budget CBOR bytes into List; a record that was sent Limit times
  /// leaves the queue. Returns the bytes added.
  std::size_t take(nlohmann::json &List, std::size_t Budget, std::uint32_t Limit);

private:
  struct Item {
    nlohmann::json Record;
    std::size_t Bytes = 0;
    std::uint32_t Sent = 0;
    std::uint64_t Rank = 0;
  };
  using Position = std::tuple<std::uint32_t, std::uint64_t, std::string>;

  std::map<std::string, Item> Items;
  std::set<Position> Order;
  std::uint64_t NextRank = 0;
};

/// Size of a value as CBOR, in bytes.
[[nodiscard]] std::size_t cborBytes(const nlohmann::json &Value);

} // namespace galenarelay::membership::impl

#endif // GALENARELAY_MEMBERSHIP_IMPL_BROADCAST_QUEUE_H
