#include "galenarelay/relay/balancer_peers.h"

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
                [Now](const auto &Entry) { return Now - Entry.second.HeardAt > BeaconForget; });
  std::erase_if(Contacts, [Now](const auto &Entry) { return Now - Entry.second > BeaconForget; });
}

std::vector<NodeAddress> BalancerPeers::live(common::TimePoint Now) const {
  std::vector<NodeAddress> Found;
  for (const auto &[Address, Known] : Peers)
    if (Now - Known.HeardAt <= BeaconStale)
      Found.push_back(Address);
  return Found;
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

std::optional<NodeAddress> BalancerPeers::aheadOf(Revision Held, common::TimePoint Now) const {
  for (const auto &[Address, Known] : Peers)
    if (Known.Held > Held && Now - Known.HeardAt <= BeaconStale)
      return Address;
  return std::nullopt;
}

} // namespace galenarelay::relay
