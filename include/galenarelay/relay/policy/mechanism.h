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

/// A part of the policy that an experiment can switch off, to measure what it is worth.
enum class Mechanism : std::uint8_t {
  LoadQuestions,   ///< Candidates tell their load before a flow is placed; off: old figures.
  BusyDecline,     ///< Agents decline flows while all slots are taken; off: until they are full.
  Holding,         ///< First packets wait for room; off: refused at once.
  ReleaseOrder,    ///< Waiting flows go by urgency and age; off: in the order of arrival.
  RoomNotices,     ///< Agents tell waiting balancers of each free place; off: by reports only.
  LongFlowBalance, ///< Long flows are spread by their number; off: by requests in progress.
  ColdDiscount,    ///< A cold upstream counts with half of its slots; off: with all.
  PlacementCount,  ///< A placement counts until the agent's figure does; off: never.
  OwnZone,         ///< The own zone wins between equals; off: no zone does.
  LossWitnesses,   ///< Other balancers confirm a lost agent; off: own questions decide.
  LossReset,       ///< Repeatable flows of a lost agent are reset; off: their callers time out.
  CommonStart,     ///< Searches end early after a common start; off: after the settling time.
  CopyAge,         ///< A first packet's age includes that of its copies; off: since its arrival.
  AbsentCallers,   ///< Callers whose copies are overdue go last; off: in their order.
  PredictedWait,   ///< A flow that would wait too long is refused at once; off: once it has.
  RequestPatience, ///< An opened flow counts as work for a learned time; off: a fixed one.
  WidePace         ///< Small fleets are searched more often; off: at the interval of large ones.
};
inline constexpr std::size_t MechanismCount = 17;

/// The name that settings use, for example "load_questions".
[[nodiscard]] std::string_view name(Mechanism Which) noexcept;
/// The mechanism of a name; empty if there is none.
[[nodiscard]] std::optional<Mechanism> mechanismNamed(std::string_view Name) noexcept;

/// Which mechanisms are in use. All are unless an experiment says otherwise.
class Mechanisms {
public:
  Mechanisms() = default;

  [[nodiscard]] Mechanisms without(Mechanism Which) const {
    Mechanisms Fewer = *this;
    Fewer.Off.set(static_cast<std::size_t>(Which));
    return Fewer;
  }
  [[nodiscard]] bool uses(Mechanism Which) const noexcept {
    return !Off[static_cast<std::size_t>(Which)];
  }
  [[nodiscard]] bool all() const noexcept { return Off.none(); }

  friend bool operator==(const Mechanisms &, const Mechanisms &) = default;

private:
  std::bitset<MechanismCount> Off;
};

/// The names of the mechanisms that are switched off.
[[nodiscard]] std::vector<std::string> namesOff(const Mechanisms &InUse);

} // namespace galenarelay::relay::policy

#endif // GALENARELAY_RELAY_POLICY_MECHANISM_H
