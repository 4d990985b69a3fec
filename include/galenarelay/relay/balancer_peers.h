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

/// Beacons per second that a balancer sends to other balancers in turn, and also to agents in turn.
inline constexpr double BeaconsPerSecond = 10;
/// A balancer counts as live for this time after its last beacon, or for twice the time in which
/// its beacons go round all balancers if that is longer.
inline constexpr common::Duration BeaconLiveTime = std::chrono::milliseconds(2500);
/// A balancer that has sent no beacon for this time is removed, and contacted no longer unless it
/// is a seed: twice the time in which the beacons of one balancer go round 700.
inline constexpr common::Duration BeaconRetention = std::chrono::seconds(140);
/// Number of balancers in each zone that watch the store. The others get the configuration from
/// them.
inline constexpr std::size_t WatchersPerZone = 2;
/// Maximum number of contacts named by others. Further ones are ignored.
inline constexpr std::size_t MaxContacts = 1000;

/// The balancers known to a node, and the addresses at which it may find more of them.
class BalancerPeers {
public:
  struct Peer {
    std::string Id;
    std::string Zone;
    std::uint64_t Incarnation = 0;
    Revision ConfigurationRevision = 0;
    bool Leaving = false;
    common::TimePoint HeardAt{};

    friend bool operator==(const Peer &, const Peer &) = default;
  };

  explicit BalancerPeers(NodeAddress Self) : Self(Self) {}

  /// Adds an address from the settings, which is contacted as long as the process runs.
  void addSeed(NodeAddress Address);
  /// Adds an address from the store or a peer.
  void addContact(NodeAddress Address, common::TimePoint Now);
  /// Updates the sender's state. Returns true if the sender is new or has restarted.
  bool onBeacon(NodeAddress From, const BalancerBeacon &Beacon, common::TimePoint Now);
  void expirePeers(common::TimePoint Now);

  [[nodiscard]] std::vector<NodeAddress> live(common::TimePoint Now) const;
  /// All balancers that may be running, heard or not, in ascending order: for changes that all of
  /// them have to learn. Includes leaving ones, which may have started again meanwhile.
  [[nodiscard]] std::vector<NodeAddress> all() const;
  /// Addresses of possible balancers that aren't live, or are leaving.
  [[nodiscard]] std::vector<NodeAddress> contacts(common::TimePoint Now) const;
  [[nodiscard]] const Peer *find(NodeAddress Address) const;
  /// A peer with a newer configuration than OwnRevision, preferably of the own zone; empty if
  /// there is none.
  [[nodiscard]] std::optional<NodeAddress> peerNewerThan(Revision OwnRevision,
                                                         const std::string &OwnZone) const;
  /// At most Count peers that had no configuration by their last beacon, and aren't leaving.
  [[nodiscard]] std::vector<NodeAddress> withoutConfiguration(std::size_t Count) const;
  /// Notes that a peer could not be reached. Its configuration isn't requested until its next
  /// beacon.
  void noteUnreachable(NodeAddress Address);
  /// Whether this node is one of the WatchersPerZone of its zone: the live balancers with the
  /// highest address hashes.
  [[nodiscard]] bool isStoreWatcher(const std::string &OwnZone, common::TimePoint Now) const;

private:
  [[nodiscard]] bool isLive(const Peer &Balancer, common::TimePoint Now) const;

  NodeAddress Self;
  std::set<NodeAddress> Seeds;
  std::map<NodeAddress, common::TimePoint>
      Contacts; ///< With the time at which they were last named.
  std::map<NodeAddress, Peer> Peers;
};

} // namespace galenarelay::relay

#endif // GALENARELAY_RELAY_BALANCER_PEERS_H
