#ifndef GALENARELAY_RELAY_REGISTRATION_H
#define GALENARELAY_RELAY_REGISTRATION_H

#include "galenarelay/common/endpoint.h"
#include "galenarelay/common/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace galenarelay::relay {

/// What an upstream says of itself in a heartbeat.
struct Heartbeat {
  std::string Id;
  std::string Service;
  common::Endpoint Address;
  std::string Zone;
  std::string SoftwareVersion;
  std::uint32_t Slots = 0; ///< Requests that it runs at a time.
  bool Draining = false;
  common::Duration ColdFor{};    ///< How long it stays slow after its start.
  std::uint64_t Incarnation = 0; ///< Start of the upstream, Unix milliseconds; 0 if not said.
  std::uint64_t Sequence = 0;    ///< Rises with each heartbeat of an incarnation.

  friend bool operator==(const Heartbeat &, const Heartbeat &) = default;
};

/// What a heartbeat changed.
enum class HeartbeatEffect : std::uint8_t {
  Refreshed,      ///< Same incarnation, same state.
  Changed,        ///< Same incarnation; it drains or its service or slots differ.
  NewIncarnation, ///< The upstream started again; it knows nothing of earlier flows.
  Outdated        ///< From an earlier incarnation or an earlier moment; ignored.
};

[[nodiscard]] std::string_view name(HeartbeatEffect Effect) noexcept;

/// State of the upstream beside an agent, ordered by (incarnation, sequence).
class Registration {
public:
  /// Without a heartbeat for this many intervals the upstream takes no new flows: its address may
  /// be given to another service soon afterwards.
  static constexpr double SilentIntervals = 1.5;

  explicit Registration(common::Duration HeartbeatInterval) : Interval(HeartbeatInterval) {}

  [[nodiscard]] HeartbeatEffect onHeartbeat(const Heartbeat &Heard, common::TimePoint Now);
  /// The upstream says that it ends. False if the ID is another's.
  bool onDeparture(const std::string &Id);

  [[nodiscard]] bool known() const noexcept { return Last.has_value(); }
  [[nodiscard]] const std::optional<Heartbeat> &last() const noexcept { return Last; }
  /// True if it drains or has ended.
  [[nodiscard]] bool leaving() const noexcept { return Departed || (Last && Last->Draining); }
  [[nodiscard]] bool departed() const noexcept { return Departed; }
  /// True if a heartbeat is recent enough to rely on.
  [[nodiscard]] bool fresh(common::TimePoint Now) const noexcept;
  /// True if new flows may open at the upstream.
  [[nodiscard]] bool takesFlows(common::TimePoint Now) const noexcept {
    return known() && !leaving() && fresh(Now);
  }
  /// How long the upstream stays slow.
  [[nodiscard]] common::Duration coldFor(common::TimePoint Now) const noexcept;

private:
  common::Duration Interval;
  std::optional<Heartbeat> Last;
  common::TimePoint HeardAt{};
  bool Departed = false;
};

} // namespace galenarelay::relay

#endif // GALENARELAY_RELAY_REGISTRATION_H
