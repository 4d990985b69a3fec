#include "galenarelay/schedule/impl/caller_ledger.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace galenarelay::schedule::impl {

using common::Duration;

Duration CallerLedger::startTag(std::uint32_t Caller) const noexcept {
  return usedTag(Caller, Duration{});
}

Duration CallerLedger::usedTag(std::uint32_t Caller, Duration Credit) const noexcept {
  const Duration Lowest = Virtual - Credit;
  const auto Found = Finish.find(Caller);
  return Found == Finish.end() ? Lowest : std::max(Lowest, Found->second);
}

void CallerLedger::dispatched(std::uint32_t Caller, Duration Start, Duration Predicted,
                              Duration Credit) {
  Virtual = std::max(Virtual, Start);
  Finish[Caller] = usedTag(Caller, Credit) + Predicted;
  if (Finish.size() > MaxLedgerCallers)
    prune();
}

void CallerLedger::corrected(std::uint32_t Caller, Duration Difference, Duration MaxAhead) {
  const auto Found = Finish.find(Caller);
  const Duration Before = Found == Finish.end() ? Virtual : Found->second;
  // The bound limits what a correction adds; what was dispatched stays charged.
  const Duration Highest = std::max(Before, Virtual + MaxAhead);
  Finish[Caller] = std::min(Before + Difference, Highest);
  if (Finish.size() > MaxLedgerCallers)
    prune();
}

/// Forgets the half of the callers that is least ahead, so that the cost per call stays constant
/// on average.
void CallerLedger::prune() {
  std::vector<std::pair<Duration, std::uint32_t>> Order;
  Order.reserve(Finish.size());
  for (const auto &Entry : Finish)
    Order.emplace_back(Entry.second, Entry.first);
  const auto Middle = Order.begin() + static_cast<std::ptrdiff_t>(Order.size() / 2);
  std::nth_element(Order.begin(), Middle, Order.end());
  for (auto It = Order.begin(); It != Middle; ++It)
    Finish.erase(It->second);
}

} // namespace galenarelay::schedule::impl
