#ifndef GALENARELAY_TESTS_SOAK_LEDGER_H
#define GALENARELAY_TESTS_SOAK_LEDGER_H

#include "stream.h"

#include "galenarelay/packet/packet.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace galenarelay::soak {

/// What a request asks for, as the platform's configuration calls it.
enum class Kind : std::uint8_t {
  Feed,  ///< May be repeated; many on one flow.
  Order, ///< Must run at most once; a flow each.
  Photo  ///< Must run at most once; many packets.
};
inline constexpr std::size_t Kinds = 3;

/// Bounds of time-bounded promises, as the sites of the platform have them.
inline constexpr auto StableWindow = std::chrono::milliseconds(4000);
inline constexpr auto ConfigurationBound = std::chrono::milliseconds(3000);
inline constexpr auto DrainBound = std::chrono::milliseconds(3000);

/// What callers and upstreams have seen, and whether it keeps the promises.
class Ledger {
public:
  /// With CheckTimes, promises with a time bound are checked as well. A busy machine can break
  /// these without a fault of the system.
  explicit Ledger(bool CheckTimes) : CheckTimes(CheckTimes) {}

  struct Totals {
    std::size_t Asked = 0;
    std::size_t Served = 0;
    std::size_t Refused = 0; ///< Reset before the flow opened, or said not to have run.
    std::size_t Failed = 0;
  };

  /// A configuration that the store has acknowledged: the service of each route.
  void onConfiguration(std::map<common::Endpoint, std::set<std::string>> Services);
  void onUnplannedFault() { LastUnplanned = Clock::now(); }
  void onDrainAcknowledged(const std::string &Host) { Drained.try_emplace(Host, Clock::now()); }

  /// A caller opens a flow.
  void onFirstPacket(const packet::FlowKey &Flow) { Opened[Flow] = Clock::now(); }
  /// An upstream has taken the first packet of a flow.
  void onOpened(const std::string &Host, const std::string &Service, const packet::FlowKey &Flow);
  /// An upstream begins to work on an attempt of a request.
  void onRun(std::uint64_t Request, std::uint64_t Attempt, Kind What);
  /// The caller was told that the attempt has not run, or its flow never opened.
  void onNotRun(std::uint64_t Attempt);
  /// The system reset an open flow that this living upstream holds.
  void onOpenFlowReset(const std::string &Flow, const std::string &Host);
  void violation(const std::string &Promise, const std::string &Detail);

  [[nodiscard]] bool checksTimes() const noexcept { return CheckTimes; }
  [[nodiscard]] bool calm() const { return Clock::now() - LastUnplanned > StableWindow; }
  [[nodiscard]] std::size_t violations() const noexcept { return Violations; }

  Totals Counts;

private:
  struct Version {
    Clock::time_point At;
    std::map<common::Endpoint, std::set<std::string>> Services;
  };

  bool CheckTimes;
  std::vector<Version> Versions;
  std::map<std::string, Clock::time_point> Drained;
  std::map<packet::FlowKey, Clock::time_point> Opened;
  std::map<std::uint64_t, std::size_t> RunsOfRequest;
  std::set<std::uint64_t> RunAttempts;
  std::set<std::uint64_t> NotRunAttempts;
  Clock::time_point LastUnplanned{};
  std::size_t Violations = 0;
};

} // namespace galenarelay::soak

#endif // GALENARELAY_TESTS_SOAK_LEDGER_H
