#include "galenarelay/common/caller_ledger.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace galenarelay::common {

Duration CallerLedger::startTag(std::uint32_t Caller) const noexcept {
  return boundedFinishTag(Caller, Duration{});
}

Duration CallerLedger::boundedFinishTag(std::uint32_t Caller, Duration Credit) const noexcept {
  const Duration MinTag = VirtualTime - Credit;
  const auto It = FinishTags.find(Caller);
  return It == FinishTags.end() ? MinTag : std::max(MinTag, It->second);
}

void CallerLedger::chargeDispatch(std::uint32_t Caller, Duration Start, Duration Predicted,
                                  Duration Credit) {
  VirtualTime = std::max(VirtualTime, Start);
  FinishTags[Caller] = boundedFinishTag(Caller, Credit) + Predicted;
  if (FinishTags.size() > MaxLedgerCallers)
    prune();
}

void CallerLedger::correctCharge(std::uint32_t Caller, Duration Difference, Duration MaxAhead) {
  const auto It = FinishTags.find(Caller);
  const Duration OldTag = It == FinishTags.end() ? VirtualTime : It->second;
  // MaxAhead bounds only what the correction adds; earlier dispatches stay charged.
  const Duration MaxTag = std::max(OldTag, VirtualTime + MaxAhead);
  FinishTags[Caller] = std::min(OldTag + Difference, MaxTag);
  if (FinishTags.size() > MaxLedgerCallers)
    prune();
}

/// Removes the half of the callers that is least ahead, so that the amortised cost per call stays
/// constant.
void CallerLedger::prune() {
  std::vector<std::pair<Duration, std::uint32_t>> CallersByTag;
  CallersByTag.reserve(FinishTags.size());
  for (const auto &Entry : FinishTags)
    CallersByTag.emplace_back(Entry.second, Entry.first);
  const auto Middle = CallersByTag.begin() + static_cast<std::ptrdiff_t>(CallersByTag.size() / 2);
  std::nth_element(CallersByTag.begin(), Middle, CallersByTag.end());
  for (auto It = CallersByTag.begin(); It != Middle; ++It)
    FinishTags.erase(It->second);
}

} // namespace galenarelay::common
