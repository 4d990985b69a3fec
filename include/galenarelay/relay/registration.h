#ifndef GALENARELAY_RELAY_REGISTRATION_H
#define GALENARELAY_RELAY_REGISTRATION_H

#include "galenarelay/common/endpoint.h"
#include "galenarelay/common/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

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

/// What an upstream reports when it is about to exit.
struct Departure {
  std::string Id;
  std::optional<std::uint64_t> Incarnation; ///< As in its heartbeats; empty if it isn't stated.

  friend bool operator==(const Departure &, const Departure &) = default;
};

/// What a heartbeat changed.
enum class HeartbeatEffect : std::uint8_t {
  Refreshed,      ///< Same incarnation and status.
  Changed,        ///< Same incarnation, but the draining flag or slots differ.
  NewIncarnation, ///< An incarnation takes over; it holds no flows of the one before.
  Outdated,       ///< Late or repeated, or of an incarnation that was replaced; ignored.
  Unproven        ///< Ignored, as its sender may not be the running upstream.
};

[[nodiscard]] std::string_view name(HeartbeatEffect Effect) noexcept;

/// State of an agent's upstream according to its latest heartbeat.
///
/// Heartbeats may be late ones of earlier incarnations or come from another writer, and the start
/// times that they state follow clocks that may be wrong. A heartbeat that could be of that kind
/// takes effect only if its sender goes on while the incarnation in effect is silent.
class Registration {
public:
  /// An upstream without a heartbeat for this many intervals takes no new flows, as its address may
  /// be assigned to another service soon afterwards.
  static constexpr double SilentIntervals = 1.5;
  /// Minimum time between two heartbeats that prove their sender alive, in intervals. Delayed
  /// heartbeats of a sender that has ended arrive together.
  static constexpr double ProofIntervals = 0.5;
  /// Maximum number of senders that are observed for a proof, and of earlier incarnations that are
  /// remembered.
  static constexpr std::size_t MaxContenders = 4;
  static constexpr std::size_t MaxReplaced = 8;

  /// The settings' service is that of the upstream until its first heartbeat; it may be empty.
  Registration(std::string SettingsService, common::Duration HeartbeatInterval)
      : SettingsService(std::move(SettingsService)), Interval(HeartbeatInterval) {}

  [[nodiscard]] HeartbeatEffect onHeartbeat(const Heartbeat &Received, common::TimePoint Now);
  /// Marks the upstream as ended. Returns false if it is another upstream or incarnation that ends.
  /// Before the first heartbeat the upstream only takes no new flows, as the sender is unknown.
  bool onDeparture(const Departure &Received);

  [[nodiscard]] bool known() const noexcept { return Last.has_value(); }
  [[nodiscard]] const std::optional<Heartbeat> &last() const noexcept { return Last; }
  [[nodiscard]] const std::string &service() const noexcept {
    return Last ? Last->Service : SettingsService;
  }
  /// True if the upstream is draining or has ended, or an unknown one has announced its end.
  [[nodiscard]] bool leaving() const noexcept {
    return Departed || UnknownDeparted || (Last && Last->Draining);
  }
  [[nodiscard]] bool departed() const noexcept { return Departed; }
  /// True if the last heartbeat is at most SilentIntervals old.
  [[nodiscard]] bool fresh(common::TimePoint Now) const noexcept;
  /// True if new flows may open at the upstream.
  [[nodiscard]] bool takesFlows(common::TimePoint Now) const noexcept {
    return known() && !leaving() && fresh(Now);
  }
  /// True if the incarnation in effect has started while this process ran.
  [[nodiscard]] bool startSeen() const noexcept { return StartSeen; }
  /// How much longer the upstream is slow after its start.
  [[nodiscard]] common::Duration coldFor(common::TimePoint Now) const noexcept;

private:
  /// A sender whose heartbeats are ignored until they prove that it is the running upstream.
  struct Contender {
    Heartbeat First;
    common::TimePoint FirstAt{};
    std::uint64_t Sequence = 0; ///< Of its latest heartbeat.
  };
  /// ID and start time of an incarnation.
  using Lifetime = std::pair<std::string, std::uint64_t>;

  [[nodiscard]] static Lifetime lifetimeOf(const Heartbeat &Received) {
    return {Received.Id, Received.Incarnation};
  }
  [[nodiscard]] bool isCurrent(const Heartbeat &Received) const;
  [[nodiscard]] bool succeeds(const Heartbeat &Received) const;
  [[nodiscard]] bool wasReplaced(const Heartbeat &Received) const;
  /// Notes a heartbeat of a contender. Returns its first one if it is proven now.
  [[nodiscard]] std::optional<Heartbeat> prove(const Heartbeat &Received, common::TimePoint Now);
  HeartbeatEffect refresh(const Heartbeat &Received, common::TimePoint Now);
  HeartbeatEffect replace(const Heartbeat &Received, bool Started, common::TimePoint Now);

  std::string SettingsService;
  common::Duration Interval;
  std::optional<Heartbeat> Last;
  common::TimePoint ReceivedAt{};
  bool StartSeen = false;
  bool Departed = false;
  bool DepartureCertain = false; ///< The departure stated the incarnation in effect.
  bool UnknownDeparted = false;  ///< An upstream departed before the first heartbeat.
  std::vector<Contender> Contenders;
  std::vector<Lifetime> Replaced; ///< Earlier incarnations, the latest one last.
};

} // namespace galenarelay::relay

#endif // GALENARELAY_RELAY_REGISTRATION_H
