#include "galenarelay/schedule/impl/caller_ledger.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace galenarelay::schedule::impl {

using common::Duration;

Duration CallerLedger::startTag(std::uint32_t Caller) const noexcept {
  const auto Found = Finish.find(Caller);
  return Found == Finish.end() ? Virtual : std::max(Virtual, Found->second);
}

void CallerLedger::dispatched(std::uint32_t Caller, Duration Start, Duration Predicted) {
  Virtual = std::max(Virtual, Start);
  Finish[Caller] = startTag(Caller) + Predicted;
  if (Finish.size() > MaxLedgerCallers)
    prune();
}

void CallerLedger::corrected(std::uint32_t Caller, Duration Difference, Duration MaxAhead) {
  const Duration Before = startTag(Caller);
  // The bound limits what a correction adds; what was dispatched stays charged.
  const Duration Highest = std::max(Before, Virtual + MaxAhead);
  Finish[Caller] = std::clamp(Before + Difference, Virtual, Highest);
  if (Finish.size() > MaxLedgerCallers)
    prune();
}

/// Forgets the half of the callers that is least ahead, so that the cost per call stays constant
/// on average.
void CallerLedger::prune() {
  std::erase_if(Finish, [this](const auto &Entry) { return Entry.second <= Virtual; });
  if (Finish.size() <= MaxLedgerCallers / 2)
    return;
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
