#ifndef GALENARELAY_RELAY_REGISTRATION_H
#define GALENARELAY_RELAY_REGISTRATION_H

#include "galenarelay/common/endpoint.h"
#include "galenarelay/common/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace galenarelay::relay {

/// What an upstream reports about itself in a heartbeat.
struct Heartbeat {
  std::string Id;
  std::string Service;
  common::Endpoint Address;
  std::string Zone;
  std::string SoftwareVersion;
  std::uint32_t Slots = 0; ///< Requests that it runs at the same time.
  bool Draining = false;
  common::Duration ColdFor{};    ///< How much longer it is slow after its start.
  std::uint64_t Incarnation = 0; ///< Start time of the upstream in Unix milliseconds; 0 if unknown.
  std::uint64_t Sequence = 0;    ///< Increases with each heartbeat of an incarnation.

  friend bool operator==(const Heartbeat &, const Heartbeat &) = default;
};

/// What a heartbeat changed.
enum class HeartbeatEffect : std::uint8_t {
  Refreshed,      ///< Same incarnation and status.
  Changed,        ///< Same incarnation, but the draining flag, service or slots differ.
  NewIncarnation, ///< First heartbeat of an incarnation, which holds no flows of earlier ones.
  Outdated        ///< From an earlier incarnation, or late or repeated; ignored.
};

[[nodiscard]] std::string_view name(HeartbeatEffect Effect) noexcept;

/// State of an agent's upstream according to its latest heartbeat. Heartbeats are ordered by
/// incarnation and sequence number.
class Registration {
public:
  /// An upstream without a heartbeat for this many intervals takes no new flows, as its address may
  /// be assigned to another service soon afterwards.
  static constexpr double SilentIntervals = 1.5;

  explicit Registration(common::Duration HeartbeatInterval) : Interval(HeartbeatInterval) {}

  [[nodiscard]] HeartbeatEffect onHeartbeat(const Heartbeat &Received, common::TimePoint Now);
  /// Marks the upstream as ended. Returns false if the ID is that of another upstream.
  bool onDeparture(const std::string &Id);

  [[nodiscard]] bool known() const noexcept { return Last.has_value(); }
  [[nodiscard]] const std::optional<Heartbeat> &last() const noexcept { return Last; }
  /// True if the upstream is draining or has ended.
  [[nodiscard]] bool leaving() const noexcept { return Departed || (Last && Last->Draining); }
  [[nodiscard]] bool departed() const noexcept { return Departed; }
  /// True if the last heartbeat is at most SilentIntervals old.
  [[nodiscard]] bool fresh(common::TimePoint Now) const noexcept;
  /// True if new flows may open at the upstream.
  [[nodiscard]] bool takesFlows(common::TimePoint Now) const noexcept {
    return known() && !leaving() && fresh(Now);
  }
  /// How much longer the upstream is slow after its start.
  [[nodiscard]] common::Duration coldFor(common::TimePoint Now) const noexcept;

private:
  common::Duration Interval;
  std::optional<Heartbeat> Last;
  common::TimePoint ReceivedAt{};
  bool Departed = false;
};

} // namespace galenarelay::relay

#endif // GALENARELAY_RELAY_REGISTRATION_H
