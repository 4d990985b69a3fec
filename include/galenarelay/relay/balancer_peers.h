#ifndef GALENARELAY_RELAY_BALANCER_PEERS_H
#define GALENARELAY_RELAY_BALANCER_PEERS_H

#include "galenarelay/common/time.h"
#include "galenarelay/relay/peer_message.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace galenarelay::relay {

/// A balancer without a beacon for this time isn't counted as live: more than two intervals of the
/// beacons that agents get.
inline constexpr common::Duration BeaconStale = std::chrono::milliseconds(2500);
/// A balancer without a beacon for this time is contacted no longer, unless it is a seed.
inline constexpr common::Duration BeaconForget = std::chrono::seconds(60);
/// Addresses to contact that come from others.
inline constexpr std::size_t MaxContacts = 1000;

/// What a node knows of balancers, and which addresses it may find more of them at.
class BalancerPeers {
public:
  struct Peer {
    std::string Id;
    std::string Zone;
    std::uint64_t Incarnation = 0;
    Revision Held = 0;
    bool Leaving = false;
    common::TimePoint HeardAt{};

    friend bool operator==(const Peer &, const Peer &) = default;
  };

  explicit BalancerPeers(NodeAddress Self) : Self(Self) {}

  /// Addresses from the settings: contacted for as long as the process runs.
  void addSeed(NodeAddress Address);
  /// Addresses from the store or a peer.
  void addContact(NodeAddress Address, common::TimePoint Now);
  /// Returns true if the sender is new or has started again.
  bool onBeacon(NodeAddress From, const BalancerBeacon &Beacon, common::TimePoint Now);
  void forgetOld(common::TimePoint Now);

  [[nodiscard]] std::vector<NodeAddress> live(common::TimePoint Now) const;
  /// Addresses that may be balancers and have not been heard lately.
  [[nodiscard]] std::vector<NodeAddress> contacts(common::TimePoint Now) const;
  [[nodiscard]] const Peer *find(NodeAddress Address) const;
  /// A live peer with a newer configuration than Held.
  [[nodiscard]] std::optional<NodeAddress> aheadOf(Revision Held, common::TimePoint Now) const;

private:
  NodeAddress Self;
  std::set<NodeAddress> Seeds;
  std::map<NodeAddress, common::TimePoint> Contacts; ///< With the time at which they were named.
  std::map<NodeAddress, Peer> Peers;
};

} // namespace galenarelay::relay

#endif // GALENARELAY_RELAY_BALANCER_PEERS_H
