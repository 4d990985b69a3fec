#ifndef GALENARELAY_RELAY_POLICY_MECHANISM_H
#define GALENARELAY_RELAY_POLICY_MECHANISM_H

#include <bitset>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace galenarelay::relay::policy {

/// Part of the policy that can be switched off in experiments, to measure its effect.
enum class Mechanism : std::uint8_t {
  LoadQueries,  ///< Candidates are queried for their load before a placement; off: the last
                ///< reported load is used.
  BusyDecline,  ///< Agents decline new flows while all slots are taken; off: only while they are
                ///< full.
  Holding,      ///< SYNs wait for capacity; off: they are refused at once.
  ReleaseOrder, ///< Waiting flows are released by priority and age; off: in the order of arrival.
  SlotNotices,  ///< Agents notify waiting balancers of each free slot; off: only by their reports.
  LongFlowBalance, ///< Long flows are balanced by their number; off: by requests in progress.
  ColdDiscount,    ///< A cold upstream counts with half of its slots; off: with all slots.
  PlacementCount,  ///< Placements count as load until the agent's load figure includes them; off:
                   ///< they never count.
  OwnZone,         ///< The own zone is preferred among equal agents; off: zones are ignored.
  LossWitnesses,   ///< Other balancers have to confirm that an agent is lost; off: own queries
                   ///< suffice.
  LossReset, ///< Flows of a lost agent with idempotent requests are reset; off: their callers time
             ///< out.
  CommonStart, ///< Searches end early if all upstreams have started together; off: after the settle
               ///< time.
  FirstSynAge, ///< The age of a flow counts from its first SYN, also if a retransmission arrives
               ///< first; off: from its arrival.
  GoneCallersLast, ///< Flows whose retransmission is overdue are released last; off: in their usual
                   ///< order.
  PredictedWait,   ///< Flows that would expire while they wait are refused at once; off: when they
                   ///< expire.
  RequestPatience, ///< An open flow counts as load for a learned time; off: for a fixed time.
  BroadcastPace, ///< Small fleets are searched at shorter intervals; off: at the interval of large
                 ///< fleets.
  // Optional mechanisms, off by default.
  UpstreamDamping,  ///< Upstreams that lose flows again and again get fewer new ones.
  SharedContention, ///< Waiting flows are placed or refused by their callers' shares and by what
                    ///< remains of their time.
  ZonePlacement,   ///< New flows leave the own zone only if waiting here takes longer than the way.
  RestartRecovery, ///< After a loss of everything, searches end early and only free places are
                   ///< taken.
  LearnedCapacity  ///< Upstreams are loaded by what they have proved to take well.
};
inline constexpr std::size_t MechanismCount = 22;
inline constexpr Mechanism FirstOptionalMechanism = Mechanism::UpstreamDamping;

/// The name of a mechanism in settings, for example "load_questions".
[[nodiscard]] std::string_view name(Mechanism Which) noexcept;
/// The mechanism with a name; empty if there is none.
[[nodiscard]] std::optional<Mechanism> parseMechanism(std::string_view Name) noexcept;

/// Whether a mechanism is off by default.
[[nodiscard]] constexpr bool isOptional(Mechanism Which) noexcept {
  return Which >= FirstOptionalMechanism;
}

/// The set of mechanisms in use: by default all that aren't optional.
class Mechanisms {
public:
  Mechanisms() = default;

  [[nodiscard]] Mechanisms without(Mechanism Which) const { return changed(Which, false); }
  [[nodiscard]] Mechanisms with(Mechanism Which) const { return changed(Which, true); }
  [[nodiscard]] bool uses(Mechanism Which) const noexcept {
    return Changed[static_cast<std::size_t>(Which)] == isOptional(Which);
  }
  /// Whether these are the mechanisms that are in use by default.
  [[nodiscard]] bool areDefault() const noexcept { return Changed.none(); }

  friend bool operator==(const Mechanisms &, const Mechanisms &) = default;

private:
  [[nodiscard]] Mechanisms changed(Mechanism Which, bool Used) const {
    Mechanisms Result = *this;
    Result.Changed.set(static_cast<std::size_t>(Which), Used == isOptional(Which));
    return Result;
  }

  std::bitset<MechanismCount> Changed; ///< Those that differ from the default.
};

/// The names of the mechanisms whose use differs from the default.
[[nodiscard]] std::vector<std::string> changedNames(const Mechanisms &InUse);

} // namespace galenarelay::relay::policy

#endif // GALENARELAY_RELAY_POLICY_MECHANISM_H
