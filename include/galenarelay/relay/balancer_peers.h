#ifndef GALENARELAY_RELAY_BALANCER_PEERS_H
#define GALENARELAY_RELAY_BALANCER_PEERS_H

#include "galenarelay/common/time.h"
#include "galenarelay/relay/candidates.h"
#include "galenarelay/relay/peer_message.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace galenarelay::relay {

/// Beacons that a balancer sends to other balancers, and to agents, in turn.
inline constexpr double BeaconsPerSecond = 10;
/// A balancer without a beacon for this time isn't counted as live, nor before its turn has passed
/// twice.
inline constexpr common::Duration BeaconLiveTime = std::chrono::milliseconds(2500);
/// A balancer without a beacon for this time is contacted no longer, unless it is a seed: twice the
/// time in which the beacons of one go round 700.
inline constexpr common::Duration BeaconRetention = std::chrono::seconds(140);
/// Balancers of a zone that watch the store; the others learn from them.
inline constexpr std::size_t WatchersPerZone = 2;
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
  /// Balancers that may run, heard or not, in ascending order: for changes that all have to know.
  [[nodiscard]] std::vector<NodeAddress> all() const;
  /// Addresses that may be balancers and have not been heard lately.
  [[nodiscard]] std::vector<NodeAddress> contacts(common::TimePoint Now) const;
  [[nodiscard]] const Peer *find(NodeAddress Address) const;
  /// A peer with a newer configuration than Held, of the own zone if there is one.
  [[nodiscard]] std::optional<NodeAddress> aheadOf(Revision Held, const std::string &OwnZone) const;
  /// At most Count peers that had no configuration when they were last heard.
  [[nodiscard]] std::vector<NodeAddress> withoutConfiguration(std::size_t Count) const;
  /// The peer could not be reached: its configuration isn't asked for until it is heard again.
  void noteUnreachable(NodeAddress Address);
  /// True if this node is one of the WatchersPerZone of its zone: those with the highest hashes
  /// among the live ones.
  [[nodiscard]] bool watches(const std::string &OwnZone, common::TimePoint Now) const;

private:
  [[nodiscard]] bool fresh(const Peer &Known, common::TimePoint Now) const;

  NodeAddress Self;
  std::set<NodeAddress> Seeds;
  std::map<NodeAddress, common::TimePoint> Contacts; ///< With the time at which they were named.
  std::map<NodeAddress, Peer> Peers;
};

} // namespace galenarelay::relay

#endif // GALENARELAY_RELAY_BALANCER_PEERS_H
