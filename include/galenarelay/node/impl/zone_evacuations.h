#ifndef GALENARELAY_NODE_IMPL_ZONE_EVACUATIONS_H
#define GALENARELAY_NODE_IMPL_ZONE_EVACUATIONS_H

#include "galenarelay/common/json_fields.h"
#include "galenarelay/common/log.h"
#include "galenarelay/common/metrics.h"
#include "galenarelay/relay/evacuations.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace galenarelay::node::impl {

/// The evacuated zones as a node knows them, with what operators see of them: log lines, a gauge
/// and a document for the admin address.
class ZoneEvacuations {
public:
  explicit ZoneEvacuations(common::Metrics &Metrics)
      : ZoneGauge(Metrics.gauge("evacuated_zones", "Zones under evacuation")) {}

  [[nodiscard]] const relay::Evacuations &current() const noexcept { return Current; }

  /// Takes a newer value. Returns the zones whose evacuation began or ended. Source is for the log.
  std::vector<std::string> take(const relay::Evacuations &Offered, const char *Source) {
    const auto Before = std::exchange(Current, Current.takingNewer(Offered));
    auto Changed = changedZones(Before, Current);
    for (const auto &Zone : Changed) {
      const bool Evacuated = Current.contains(Zone);
      common::log(common::LogLevel::Info, "evacuation_changed",
                  {{"zone", Zone},
                   {"evacuated", Evacuated},
                   {"revision", Current.asOf().Number},
                   {"era", Current.asOf().Era},
                   {"source", Source}});
      if (Evacuated)
        Learned[Zone] = {Current.asOf(), common::wallMilliseconds(), Source};
      else
        Learned.erase(Zone);
    }
    ZoneGauge.Set(static_cast<double>(Current.zones().size()));
    return Changed;
  }

  /// The admin document. Each zone has the revision by which the node learned of its evacuation,
  /// and when, in Unix milliseconds.
  [[nodiscard]] nlohmann::json toJson(const std::string &OwnZone) const {
    nlohmann::json Zones = nlohmann::json::array();
    for (const auto &[Zone, By] : Learned)
      Zones.push_back({{"zone", Zone},
                       {"revision", By.At.Number},
                       {"era", By.At.Era},
                       {"since_ms", By.SinceMs},
                       {"source", By.Source}});
    return {{"own_zone", OwnZone},
            {"own_zone_evacuated", Current.contains(OwnZone)},
            {"revision", Current.asOf().Number},
            {"era", Current.asOf().Era},
            {"evacuated", std::move(Zones)}};
  }

private:
  struct Origin {
    relay::StoreRevision At;
    std::int64_t SinceMs = 0;
    std::string Source;
  };

  relay::Evacuations Current;
  std::map<std::string, Origin> Learned;
  prometheus::Gauge &ZoneGauge;
};

/// Reads a node's admin document; zones that can't be read are left out. Throws
/// nlohmann::json::exception.
[[nodiscard]] inline relay::Evacuations evacuationsFromJson(const nlohmann::json &Document) {
  const relay::StoreRevision AsOf{common::readUnsigned<relay::StoreEra>(Document.at("era")),
                                  common::readUnsigned<std::uint64_t>(Document.at("revision"))};
  std::set<std::string, std::less<>> Zones;
  for (const auto &Row : Document.at("evacuated").get_ref<const nlohmann::json::array_t &>())
    if (auto Zone = Row.at("zone").get<std::string>(); relay::isZoneName(Zone))
      Zones.insert(std::move(Zone));
  return {AsOf, std::move(Zones)};
}

} // namespace galenarelay::node::impl

#endif // GALENARELAY_NODE_IMPL_ZONE_EVACUATIONS_H
