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
inline constexpr auto EvacuationBound = std::chrono::milliseconds(5000);
inline constexpr auto MisrouteBound = std::chrono::milliseconds(2000);
inline constexpr std::size_t MisroutedPackets = 3;
/// A soak that itself stood still for this long excuses what follows, since its upstreams did so
/// too: half of their heartbeat interval, after which an agent may take them for silent.
inline constexpr auto StallBound = std::chrono::milliseconds(400);

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
    /// Open flows that were reset or misrouted at machines with a fault, which the rule doesn't
    /// count.
    std::size_t ExcusedFlows = 0;
  };

  /// A configuration that the store has acknowledged: the service of each route.
  void onConfiguration(std::map<common::Endpoint, std::set<std::string>> Services);
  /// A fault that concerns all machines, as of the links that the soak carries.
  void onUnplannedFault() {
    LastUnplanned = Clock::now();
    LastCommonFault = LastUnplanned;
  }
  /// A fault of the store or of the way to it. Excuses no open flow, which is more than the rule
  /// asks: nodes find open flows without the store.
  void onStoreFault() { LastUnplanned = Clock::now(); }
  /// A fault of one machine, named by the address of its node.
  void onUnplannedFault(std::uint32_t Machine) {
    LastUnplanned = MachineFaults[Machine] = Clock::now();
  }
  /// The store has acknowledged the evacuation of a zone.
  void onEvacuated(const std::string &Zone) { Evacuated.try_emplace(Zone, Clock::now()); }
  /// The zone is about to be taken back, or the store to lose the request.
  void onReturned(const std::string &Zone) { Evacuated.erase(Zone); }
  void onDrainAcknowledged(const std::string &Host) { Drained.try_emplace(Host, Clock::now()); }

  /// Called at short intervals, and before a flow is judged.
  void onTick();

  /// A caller opens a flow.
  void onFirstPacket(const packet::FlowKey &Flow) { Opened[Flow] = Clock::now(); }
  /// An upstream has taken the first packet of a flow.
  void onOpened(const std::string &Host, const std::string &Service, const std::string &Zone,
                const packet::FlowKey &Flow);
  /// An upstream begins to work on an attempt of a request.
  void onRun(std::uint64_t Request, std::uint64_t Attempt, Kind What);
  /// The caller was told that the attempt has not run, or its flow never opened.
  void onNotRun(std::uint64_t Attempt);
  /// The system reset an open flow that this living upstream holds. Sender is the node that sent
  /// the reset, Holder the upstream's machine.
  void onOpenFlowReset(const std::string &Flow, const std::string &Host, std::uint32_t Sender,
                       std::uint32_t Holder);
  /// A caller sends a packet of a flow; the router has given it to this balancer.
  void onSent(const packet::FlowKey &Flow, std::uint32_t Balancer);
  /// A packet of a caller, other than a first one, has reached an upstream. Holds says whether the
  /// flow is open there.
  void onFlowPacket(const packet::FlowKey &Flow, const std::string &Host, std::uint32_t Machine,
                    bool Holds);
  /// The flow is closed, or its upstream has ended.
  void onFlowEnded(const packet::FlowKey &Flow) { OpenFlows.erase(Flow); }
  void violation(const std::string &Promise, const std::string &Detail);

  [[nodiscard]] bool checksTimes() const noexcept { return CheckTimes; }
  [[nodiscard]] bool calm() const { return Clock::now() - LastUnplanned > StableWindow; }
  /// True if neither the common links nor this machine had a fault lately.
  [[nodiscard]] bool inTouch(std::uint32_t Machine) const;
  [[nodiscard]] std::size_t violations() const noexcept { return Violations; }

  Totals Counts;

private:
  struct Version {
    Clock::time_point At;
    std::map<common::Endpoint, std::set<std::string>> Services;
  };

  struct OpenFlow {
    std::string Host;
    std::uint32_t Machine = 0;
    /// Packets that other upstreams got since the last one at its own.
    std::size_t Misrouted = 0;
    Clock::time_point MisroutedSince{};
    std::set<std::uint32_t> TakenBy; ///< Balancers that took its packets since then.
  };

  /// An open flow was reset or misrouted: a broken promise if all these machines are in touch.
  void onFlowDisturbed(const std::string &Detail, const std::set<std::uint32_t> &Machines);
  void checkMisrouted(const packet::FlowKey &Flow, const OpenFlow &Held);

  bool CheckTimes;
  std::vector<Version> Versions;
  std::map<std::string, Clock::time_point> Drained;
  std::map<std::string, Clock::time_point> Evacuated; ///< Zones, with the acknowledgement's time.
  std::map<packet::FlowKey, Clock::time_point> Opened;
  std::map<std::uint64_t, std::size_t> RunsOfRequest;
  std::set<std::uint64_t> RunAttempts;
  std::set<std::uint64_t> NotRunAttempts;
  std::map<packet::FlowKey, OpenFlow> OpenFlows;
  std::map<std::uint32_t, Clock::time_point> MachineFaults;
  Clock::time_point LastCommonFault{};
  Clock::time_point LastTick = Clock::now();
  Clock::time_point LastUnplanned{};
  std::size_t Violations = 0;
};

} // namespace galenarelay::soak

#endif // GALENARELAY_TESTS_SOAK_LEDGER_H
