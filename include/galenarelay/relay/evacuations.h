#ifndef GALENARELAY_RELAY_EVACUATIONS_H
#define GALENARELAY_RELAY_EVACUATIONS_H

#include "galenarelay/relay/store_call.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace galenarelay::relay {

/// Maximum length of a zone's name. The store's keys have at most 200 bytes.
inline constexpr std::size_t MaxZoneNameBytes = 128;
/// Maximum number of zones, and of bytes in their names, that a beacon carries: with the longest
/// lists of nodes it stays below MaxMessageBytes.
inline constexpr std::size_t MaxBeaconZones = 32;
inline constexpr std::size_t MaxBeaconZoneBytes = 1500;

/// Whether a name can be that of a zone: 1 to MaxZoneNameBytes printable ASCII characters without
/// a slash.
[[nodiscard]] bool isZoneName(std::string_view Text) noexcept;

/// The zones that the operator has evacuated, as of a revision of the store. Upstreams in these
/// zones get no new flows. The default value is that of a node that has heard of no request.
class Evacuations {
public:
  Evacuations() = default;
  Evacuations(StoreRevision AsOf, std::set<std::string, std::less<>> Zones)
      : AsOf(AsOf), EvacuatedZones(std::move(Zones)) {}

  [[nodiscard]] bool known() const noexcept { return AsOf.Number != 0; }
  [[nodiscard]] StoreRevision asOf() const noexcept { return AsOf; }
  [[nodiscard]] const std::set<std::string, std::less<>> &zones() const noexcept {
    return EvacuatedZones;
  }
  [[nodiscard]] bool contains(std::string_view Zone) const { return EvacuatedZones.contains(Zone); }
  /// The same revision with this zone alone, if it is evacuated.
  [[nodiscard]] Evacuations ofZone(const std::string &Zone) const;
  /// Whether a beacon can carry all zones.
  [[nodiscard]] bool fitsBeacon() const noexcept;

  /// Takes the other value if its revision is newer. One of a later era is, as the restored copy
  /// states the operator's requests from then on.
  Evacuations takingNewer(const Evacuations &Other) const {
    return Other.known() && Other.AsOf > AsOf ? Other : *this;
  }

  friend bool operator==(const Evacuations &, const Evacuations &) = default;

private:
  StoreRevision AsOf;
  std::set<std::string, std::less<>> EvacuatedZones;
};

/// Zones that are in one set of zones only, in order.
[[nodiscard]] std::vector<std::string> changedZones(const Evacuations &Before,
                                                    const Evacuations &After);

/// The evacuation requests among the keys of a page of the store.
struct EvacuationRequests {
  struct Row {
    std::string Zone;
    bool Removed = false;

    friend bool operator==(const Row &, const Row &) = default;
  };
  std::vector<Row> Rows;                ///< In the order of their revisions.
  std::vector<std::string> IgnoredKeys; ///< Those that name no zone.

  /// The zones that these requests name, if they are all that there are.
  [[nodiscard]] Evacuations listed(StoreRevision AsOf) const;
  /// Before with these changes. Without changes it is Before with its revision: an answer that
  /// tells of none may come from a store that has not told yet.
  [[nodiscard]] Evacuations appliedTo(const Evacuations &Before, StoreRevision AsOf) const;

  friend bool operator==(const EvacuationRequests &, const EvacuationRequests &) = default;
};

/// Reads the requests among the keys of a page. ZoneOf returns the zone that a key names, which may
/// be no zone's name, and an empty optional for other keys. A request's value says nothing.
template <typename F> EvacuationRequests readEvacuations(const StorePage &Page, F &&ZoneOf) {
  EvacuationRequests Read;
  const auto Add = [&](const std::string &Key, bool Removed) {
    const auto Zone = ZoneOf(Key);
    if (!Zone)
      return;
    if (isZoneName(*Zone))
      Read.Rows.push_back({*Zone, Removed});
    else if (!Removed)
      Read.IgnoredKeys.push_back(Key);
  };
  std::vector<const StoreItem *> InOrder;
  for (const auto &Item : Page.Items)
    InOrder.push_back(&Item);
  std::stable_sort(InOrder.begin(), InOrder.end(), [](const StoreItem *A, const StoreItem *B) {
    return A->Revision < B->Revision;
  });
  for (const std::string &Key : Page.UnreadableKeys)
    Add(Key, false);
  for (const StoreItem *Item : InOrder)
    Add(Item->Key, Item->Removed);
  return Read;
}

} // namespace galenarelay::relay

#endif // GALENARELAY_RELAY_EVACUATIONS_H
