#include "galenarelay/schedule/impl/caller_ledger.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace galenarelay::schedule::impl {

using common::Duration;

namespace {

/// Longest service time by which a caller can be ahead of its share. Without the bound a caller
/// with one upload of an hour would wait behind everybody else for as long.
constexpr Duration MaxAhead = std::chrono::seconds(10);

} // namespace

Duration CallerLedger::startTag(std::uint32_t Caller) const noexcept {
  const auto Found = Finish.find(Caller);
  return Found == Finish.end() ? Virtual : std::max(Virtual, Found->second);
}

void CallerLedger::dispatched(std::uint32_t Caller, Duration Start, Duration Predicted) {
  Virtual = std::max(Virtual, Start);
  Finish[Caller] = std::min(startTag(Caller) + Predicted, Virtual + MaxAhead);
  if (Finish.size() > MaxLedgerCallers)
    prune();
}

void CallerLedger::corrected(std::uint32_t Caller, Duration Difference) {
  const Duration Tag = startTag(Caller) + Difference;
  Finish[Caller] = std::clamp(Tag, Virtual, Virtual + MaxAhead);
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
