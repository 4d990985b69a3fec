#include "galenarelay/relay/balancer_peers.h"

#include "galenarelay/common/hash_mix.h"

#include <algorithm>

namespace galenarelay::relay {

void BalancerPeers::addSeed(NodeAddress Address) {
  if (Address != Self)
    Seeds.insert(Address);
}

void BalancerPeers::addContact(NodeAddress Address, common::TimePoint Now) {
  if (Address == Self || (Contacts.size() >= MaxContacts && !Contacts.contains(Address)))
    return;
  Contacts[Address] = Now;
}

bool BalancerPeers::onBeacon(NodeAddress From, const BalancerBeacon &Beacon,
                             common::TimePoint Now) {
  Peer &Balancer = Peers[From];
  const bool NewIncarnation = Balancer.Incarnation != Beacon.Incarnation;
  Balancer = {Beacon.Id,      Beacon.Zone, Beacon.Incarnation, Beacon.ConfigurationRevision,
              Beacon.Leaving, Now};
  for (const NodeAddress Address : Beacon.Balancers)
    addContact(Address, Now);
  return NewIncarnation;
}

void BalancerPeers::expirePeers(common::TimePoint Now) {
  std::erase_if(Peers,
                [Now](const auto &Entry) { return Now - Entry.second.HeardAt > BeaconRetention; });
  std::erase_if(Contacts,
                [Now](const auto &Entry) { return Now - Entry.second > BeaconRetention; });
}

bool BalancerPeers::isLive(const Peer &Balancer, common::TimePoint Now) const {
  const auto TwoRounds = std::chrono::duration_cast<common::Duration>(
      std::chrono::duration<double>(2 * static_cast<double>(Peers.size()) / BeaconsPerSecond));
  return Now - Balancer.HeardAt <= std::max(BeaconLiveTime, TwoRounds);
}

std::vector<NodeAddress> BalancerPeers::live(common::TimePoint Now) const {
  std::vector<NodeAddress> LiveBalancers;
  for (const auto &[Address, Balancer] : Peers)
    if (isLive(Balancer, Now) && !Balancer.Leaving)
      LiveBalancers.push_back(Address);
  return LiveBalancers;
}

std::vector<NodeAddress> BalancerPeers::all() const {
  std::set<NodeAddress> Balancers = Seeds;
  for (const auto &[Address, NamedAt] : Contacts)
    Balancers.insert(Address);
  for (const auto &[Address, Balancer] : Peers)
    Balancers.insert(Address);
  return {Balancers.begin(), Balancers.end()};
}

std::vector<NodeAddress> BalancerPeers::contacts(common::TimePoint Now) const {
  std::set<NodeAddress> Addresses = Seeds;
  for (const auto &[Address, NamedAt] : Contacts)
    Addresses.insert(Address);
  for (const auto &[Address, Balancer] : Peers)
    Addresses.insert(Address);
  for (const NodeAddress Address : live(Now))
    Addresses.erase(Address);
  return {Addresses.begin(), Addresses.end()};
}

const BalancerPeers::Peer *BalancerPeers::find(NodeAddress Address) const {
  const auto It = Peers.find(Address);
  return It == Peers.end() ? nullptr : &It->second;
}

std::optional<NodeAddress> BalancerPeers::peerNewerThan(Revision OwnRevision,
                                                        const std::string &OwnZone) const {
  std::optional<NodeAddress> Newer;
  for (const auto &[Address, Balancer] : Peers) {
    if (Balancer.ConfigurationRevision <= OwnRevision)
      continue;
    Newer = Address;
    if (Balancer.Zone == OwnZone)
      break;
  }
  return Newer;
}

std::vector<NodeAddress> BalancerPeers::withoutConfiguration(std::size_t Count) const {
  std::vector<NodeAddress> Unconfigured;
  for (const auto &[Address, Balancer] : Peers)
    if (Balancer.ConfigurationRevision == 0 && !Balancer.Leaving && Unconfigured.size() < Count)
      Unconfigured.push_back(Address);
  return Unconfigured;
}

void BalancerPeers::noteUnreachable(NodeAddress Address) {
  if (const auto It = Peers.find(Address); It != Peers.end())
    It->second.ConfigurationRevision = 0;
}

bool BalancerPeers::isStoreWatcher(const std::string &OwnZone, common::TimePoint Now) const {
  const auto RankedHigher = std::count_if(Peers.begin(), Peers.end(), [&](const auto &Entry) {
    const auto &[Address, Balancer] = Entry;
    return Balancer.Zone == OwnZone && !Balancer.Leaving && isLive(Balancer, Now) &&
           common::mixHash(0, Address) > common::mixHash(0, Self);
  });
  return static_cast<std::size_t>(RankedHigher) < WatchersPerZone;
}

} // namespace galenarelay::relay
