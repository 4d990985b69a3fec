#include "galenarelay/relay/policy/release_shares.h"

#include "galenarelay/relay/policy/admission.h"

#include <algorithm>
#include <deque>
#include <tuple>
#include <unordered_map>

namespace galenarelay::relay::policy {

namespace {

/// Charge of one release. Only ratios of charges matter: every flow counts the same.
constexpr common::Duration ReleaseCharge = std::chrono::milliseconds(1);

/// Flows of one class are interchangeable but for priority, caller and age.
enum class FlowClass : std::uint8_t { InTime, Late, CallerGone };

bool isLate(const WaitingFlow &Flow, common::TimePoint Now) noexcept {
  return Flow.requestAge(Now) >= Flow.LatencyObjective;
}

// On its last try a late flow counts as one in time, behind those of its priority: an urgent
// request would fail for good otherwise while less urgent ones are served.
FlowClass classOf(const WaitingFlow &Flow, common::TimePoint Now) noexcept {
  if (Flow.callerProbablyGone(Now))
    return FlowClass::CallerGone;
  const bool LastTry = Flow.EarlierTries + 1 >= MaxCallerTries;
  return isLate(Flow, Now) && !LastTry ? FlowClass::Late : FlowClass::InTime;
}

struct Place {
  std::size_t Index = 0;
  FlowClass Class = FlowClass::InTime;
  std::uint32_t Priority = 0;
  bool Late = false;
  common::Duration AgeOrder{};
  common::Duration Tag{};
};

} // namespace

std::vector<std::size_t> ReleaseShares::order(std::span<const WaitingFlow> Flows,
                                              common::TimePoint Now) const {
  std::vector<Place> Places;
  Places.reserve(Flows.size());
  for (std::size_t I = 0; I < Flows.size(); ++I) {
    const bool Late = isLate(Flows[I], Now);
    const auto Age = Flows[I].requestAge(Now);
    Places.push_back({I, classOf(Flows[I], Now), Flows[I].Priority, Late, Late ? -Age : Age, {}});
  }
  std::sort(Places.begin(), Places.end(), [](const Place &A, const Place &B) {
    return std::tie(A.Class, A.Priority, A.Late, A.AgeOrder, A.Index) <
           std::tie(B.Class, B.Priority, B.Late, B.AgeOrder, B.Index);
  });
  // Start tags continue from those of the caller's earlier releases.
  std::unordered_map<std::uint32_t, common::Duration> NextTags;
  for (auto &Entry : Places) {
    const auto Caller = Flows[Entry.Index].Caller;
    const auto It = NextTags.try_emplace(Caller, Ledger.startTag(Caller)).first;
    Entry.Tag = It->second;
    It->second += ReleaseCharge;
  }
  std::stable_sort(Places.begin(), Places.end(), [](const Place &A, const Place &B) {
    return std::tie(A.Class, A.Priority, A.Late, A.Tag) <
           std::tie(B.Class, B.Priority, B.Late, B.Tag);
  });

  std::vector<std::size_t> Order;
  Order.reserve(Places.size());
  std::uint32_t CurrentRun = Run;
  for (auto First = Places.begin(); First != Places.end();) {
    const auto ClassEnd =
        std::find_if(First, Places.end(), [&](const Place &P) { return P.Class != First->Class; });
    auto Urgent = First;
    const auto Others = std::find_if(First, ClassEnd,
                                     [&](const Place &P) { return P.Priority != First->Priority; });
    auto Other = Others;
    while (Urgent != Others || Other != ClassEnd) {
      const bool TakeOther = Other != ClassEnd && (Urgent == Others || CurrentRun >= UrgentRun);
      CurrentRun = TakeOther ? 0 : CurrentRun + 1;
      Order.push_back((TakeOther ? Other : Urgent)->Index);
      ++(TakeOther ? Other : Urgent);
    }
    First = ClassEnd;
  }
  return Order;
}

void ReleaseShares::noteReleased(const WaitingFlow &Flow, bool MostUrgent, bool Contended) {
  Ledger.chargeDispatch(Flow.Caller, Ledger.startTag(Flow.Caller), ReleaseCharge,
                        common::Duration::zero());
  Run = MostUrgent && Contended ? Run + 1 : 0;
}

} // namespace galenarelay::relay::policy
