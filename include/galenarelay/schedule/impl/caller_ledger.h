#ifndef GALENARELAY_SCHEDULE_IMPL_CALLER_LEDGER_H
#define GALENARELAY_SCHEDULE_IMPL_CALLER_LEDGER_H

#include "galenarelay/common/time.h"

#include <cstdint>
#include <unordered_map>

namespace galenarelay::schedule::impl {

/// Callers whose used service time is remembered. Above it, callers that are least ahead of their
/// fair share are forgotten.
inline constexpr std::size_t MaxLedgerCallers = 8192;

/// Service time used per caller, as tags of start-time fair queueing (Goyal, Vin, Cheng 1996).
class CallerLedger {
public:
  /// Virtual time: start tag of the request dispatched last.
  [[nodiscard]] common::Duration now() const noexcept { return Virtual; }
  /// Earliest start tag of the caller's next request.
  [[nodiscard]] common::Duration startTag(std::uint32_t Caller) const noexcept;
  /// Service time used, on the scale of the start tags; at most Credit behind the virtual time.
  [[nodiscard]] common::Duration usedTag(std::uint32_t Caller,
                                         common::Duration Credit) const noexcept;
  [[nodiscard]] std::size_t callers() const noexcept { return Finish.size(); }

  /// Charges predicted service time at dispatch and moves the virtual time to the start tag. A
  /// caller that used less than its share is up to Credit behind the virtual time.
  void dispatched(std::uint32_t Caller, common::Duration Start, common::Duration Predicted,
                  common::Duration Credit);
  /// Replaces the prediction by the time used. Difference = used - predicted. The caller's tag
  /// ends at most MaxAhead after the virtual time.
  void corrected(std::uint32_t Caller, common::Duration Difference, common::Duration MaxAhead);

private:
  void prune();

  common::Duration Virtual{};
  std::unordered_map<std::uint32_t, common::Duration> Finish; ///< Never iterated to decide.
};

} // namespace galenarelay::schedule::impl

#endif // GALENARELAY_SCHEDULE_IMPL_CALLER_LEDGER_H
