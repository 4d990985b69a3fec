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
  Peer &Known = Peers[From];
  const bool New = Known.Incarnation != Beacon.Incarnation;
  Known = {Beacon.Id, Beacon.Zone, Beacon.Incarnation, Beacon.Held, Beacon.Leaving, Now};
  for (const NodeAddress Named : Beacon.Balancers)
    addContact(Named, Now);
  return New;
}

void BalancerPeers::forgetOld(common::TimePoint Now) {
  std::erase_if(Peers,
                [Now](const auto &Entry) { return Now - Entry.second.HeardAt > BeaconRetention; });
  std::erase_if(Contacts,
                [Now](const auto &Entry) { return Now - Entry.second > BeaconRetention; });
}

bool BalancerPeers::fresh(const Peer &Known, common::TimePoint Now) const {
  const auto TwoTurns = std::chrono::duration_cast<common::Duration>(
      std::chrono::duration<double>(2 * static_cast<double>(Peers.size()) / BeaconsPerSecond));
  return Now - Known.HeardAt <= std::max(BeaconLiveTime, TwoTurns);
}

std::vector<NodeAddress> BalancerPeers::live(common::TimePoint Now) const {
  std::vector<NodeAddress> Found;
  for (const auto &[Address, Known] : Peers)
    if (fresh(Known, Now) && !Known.Leaving)
      Found.push_back(Address);
  return Found;
}

std::vector<NodeAddress> BalancerPeers::all() const {
  std::set<NodeAddress> Found = Seeds;
  for (const auto &[Address, NamedAt] : Contacts)
    Found.insert(Address);
  for (const auto &[Address, Known] : Peers) {
    if (Known.Leaving)
      Found.erase(Address);
    else
      Found.insert(Address);
  }
  return {Found.begin(), Found.end()};
}

std::vector<NodeAddress> BalancerPeers::contacts(common::TimePoint Now) const {
  std::set<NodeAddress> Found = Seeds;
  for (const auto &[Address, NamedAt] : Contacts)
    Found.insert(Address);
  for (const auto &[Address, Known] : Peers)
    Found.insert(Address);
  for (const NodeAddress Address : live(Now))
    Found.erase(Address);
  return {Found.begin(), Found.end()};
}

const BalancerPeers::Peer *BalancerPeers::find(NodeAddress Address) const {
  const auto Found = Peers.find(Address);
  return Found == Peers.end() ? nullptr : &Found->second;
}

std::optional<NodeAddress> BalancerPeers::aheadOf(Revision Held, const std::string &OwnZone) const {
  std::optional<NodeAddress> Found;
  for (const auto &[Address, Known] : Peers) {
    if (Known.Held <= Held)
      continue;
    Found = Address;
    if (Known.Zone == OwnZone)
      break;
  }
  return Found;
}

std::vector<NodeAddress> BalancerPeers::withoutConfiguration(std::size_t Count) const {
  std::vector<NodeAddress> Found;
  for (const auto &[Address, Known] : Peers)
    if (Known.Held == 0 && !Known.Leaving && Found.size() < Count)
      Found.push_back(Address);
  return Found;
}

void BalancerPeers::noteUnreachable(NodeAddress Address) {
  if (const auto Found = Peers.find(Address); Found != Peers.end())
    Found->second.Held = 0;
}

bool BalancerPeers::watches(const std::string &OwnZone, common::TimePoint Now) const {
  const auto Before = std::count_if(Peers.begin(), Peers.end(), [&](const auto &Entry) {
    const auto &[Address, Known] = Entry;
    return Known.Zone == OwnZone && !Known.Leaving && fresh(Known, Now) &&
           common::mixHash(0, Address) > common::mixHash(0, Self);
  });
  return static_cast<std::size_t>(Before) < WatchersPerZone;
}

} // namespace galenarelay::relay
