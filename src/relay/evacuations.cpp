#include "galenarelay/relay/evacuations.h"

#include <iterator>

namespace galenarelay::relay {

bool isZoneName(std::string_view Text) noexcept {
  return !Text.empty() && Text.size() <= MaxZoneNameBytes &&
         std::all_of(Text.begin(), Text.end(),
                     [](char Each) { return Each > ' ' && Each <= '~' && Each != '/'; });
}

Evacuations Evacuations::ofZone(const std::string &Zone) const {
  return contains(Zone) ? Evacuations{AsOf, {Zone}} : Evacuations{AsOf, {}};
}

bool Evacuations::fitsBeacon() const noexcept {
  std::size_t Bytes = 0;
  for (const auto &Zone : EvacuatedZones)
    Bytes += Zone.size();
  return EvacuatedZones.size() <= MaxBeaconZones && Bytes <= MaxBeaconZoneBytes;
}

std::vector<std::string> changedZones(const Evacuations &Before, const Evacuations &After) {
  std::vector<std::string> Changed;
  std::set_symmetric_difference(Before.zones().begin(), Before.zones().end(), After.zones().begin(),
                                After.zones().end(), std::back_inserter(Changed));
  return Changed;
}

Evacuations EvacuationRequests::listed(StoreRevision AsOf) const {
  std::set<std::string, std::less<>> Zones;
  for (const auto &Each : Rows)
    if (!Each.Removed)
      Zones.insert(Each.Zone);
  return {AsOf, std::move(Zones)};
}

Evacuations EvacuationRequests::appliedTo(const Evacuations &Before, StoreRevision AsOf) const {
  if (Rows.empty())
    return Before;
  auto Zones = Before.zones();
  for (const auto &Each : Rows) {
    if (Each.Removed)
      Zones.erase(Each.Zone);
    else
      Zones.insert(Each.Zone);
  }
  return {AsOf, std::move(Zones)};
}

} // namespace galenarelay::relay
