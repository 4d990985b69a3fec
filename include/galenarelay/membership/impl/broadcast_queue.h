#ifndef GALENARELAY_MEMBERSHIP_IMPL_BROADCAST_QUEUE_H
#define GALENARELAY_MEMBERSHIP_IMPL_BROADCAST_QUEUE_H

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <tuple>

namespace galenarelay::membership::impl {

/// Queue of member records to piggyback on messages. Records that were sent least often come first,
/// and among these the ones that were queued first. It holds at most one record per member, which
/// bounds its size by the number of members.
class BroadcastQueue {
public:
  [[nodiscard]] bool empty() const noexcept { return RecordsById.empty(); }
  [[nodiscard]] std::size_t size() const noexcept { return RecordsById.size(); }
  /// Lowest send count of the queued records; 0 if the queue is empty.
  [[nodiscard]] std::uint32_t minSendCount() const noexcept;

  /// Queues the newest record of a member with a send count of 0; replaces its queued record.
  void put(const std::string &Id, nlohmann::json Record);
  void erase(const std::string &Id);
  /// Appends records of at most MaxBytes CBOR bytes in total to List and counts them as sent. A
  /// record that was sent MaxSends times is removed from the queue. Returns the number of bytes
  /// appended.
  std::size_t take(nlohmann::json &List, std::size_t MaxBytes, std::uint32_t MaxSends);

private:
  struct QueuedRecord {
    nlohmann::json Record;
    std::size_t Bytes = 0;
    std::uint32_t SendCount = 0;
    std::uint64_t InsertionNumber = 0;
  };
  using SendOrderKey = std::tuple<std::uint32_t, std::uint64_t, std::string>;

  std::map<std::string, QueuedRecord> RecordsById;
  std::set<SendOrderKey> SendOrder;
  std::uint64_t NextInsertionNumber = 0;
};

/// Size of a value as CBOR, in bytes.
[[nodiscard]] std::size_t cborBytes(const nlohmann::json &Value);

} // namespace galenarelay::membership::impl

#endif // GALENARELAY_MEMBERSHIP_IMPL_BROADCAST_QUEUE_H
