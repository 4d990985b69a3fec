#ifndef GALENARELAY_COMMON_CALLER_LEDGER_H
#define GALENARELAY_COMMON_CALLER_LEDGER_H

#include "galenarelay/common/time.h"

#include <cstdint>
#include <unordered_map>

namespace galenarelay::common {

/// Bound on the callers whose service time is stored. Above it, the callers that are least ahead of
/// their fair share are removed.
inline constexpr std::size_t MaxLedgerCallers = 8192;

/// Service time used per caller, as tags of start-time fair queueing (Goyal, Vin, Cheng 1996). All
/// tags are on the scale of the virtual time.
class CallerLedger {
public:
  /// Virtual time: the highest start tag of a dispatched request.
  [[nodiscard]] Duration virtualTime() const noexcept { return VirtualTime; }
  /// Earliest start tag of the caller's next request.
  [[nodiscard]] Duration startTag(std::uint32_t Caller) const noexcept;
  /// The caller's finish tag, or VirtualTime - Credit if that is later or the caller is unknown.
  [[nodiscard]] Duration boundedFinishTag(std::uint32_t Caller, Duration Credit) const noexcept;
  [[nodiscard]] std::size_t callerCount() const noexcept { return FinishTags.size(); }

  /// Charges the predicted service time at dispatch and advances the virtual time to the start tag.
  /// A caller that used less than its share keeps up to Credit of the unused part.
  void chargeDispatch(std::uint32_t Caller, Duration Start, Duration Predicted, Duration Credit);
  /// Corrects the charge of a request by Difference = used - predicted service time. An increase
  /// moves the caller's finish tag to at most MaxAhead after the virtual time.
  void correctCharge(std::uint32_t Caller, Duration Difference, Duration MaxAhead);

private:
  void prune();

  Duration VirtualTime{};
  /// Finish tags by caller. The iteration order is unspecified; only prune iterates, as its result
  /// doesn't depend on the order.
  std::unordered_map<std::uint32_t, Duration> FinishTags;
};

} // namespace galenarelay::common

#endif // GALENARELAY_COMMON_CALLER_LEDGER_H
