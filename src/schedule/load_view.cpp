#include "galenarelay/schedule/load_view.h"

#include <algorithm>
#include <cmath>

namespace galenarelay::schedule {

using common::Duration;
using common::TimePoint;

namespace {

/// A member that is no candidate and has not reported for this long is removed.
constexpr Duration PeerTimeout = std::chrono::seconds(60);
/// After this silence, a lower sequence number is taken for a restarted agent, not a late datagram.
constexpr Duration RestartAfter = std::chrono::seconds(2);
/// Bound on the members stored; a service has far fewer agents.
constexpr std::size_t MaxPeers = 4096;
/// Members first seen within this time of the first report or choice count as established and skip
/// the slow start.
constexpr Duration StartupWindow = std::chrono::seconds(1);
/// Least share of its work that a joining member gets.
constexpr double RampFloor = 0.1;
/// Share of the own assignments that a new report doesn't include yet: those made while it was in
/// transit, and those whose requests have not arrived.
constexpr double KeptAssignments = 0.25;
/// Gain with which flows are moved from members above the average load to those below it.
constexpr double BalanceGain = 5.0;
/// Relative excess over the average load up to which a home keeps its flows; a smaller one is noise
/// of the average.
constexpr double BalanceSlack = 0.02;
/// Load per slot from which the free share in a weight is counted down. It is above 1 because
/// queues are short-lived.
constexpr double FullLoad = 1.25;
/// Least free share in a weight, as members that were full in the last report may be free again.
constexpr double LeastFree = 0.1;
/// Exponent of the success share in a weight: 1 failure in 2 leaves a sixteenth of the weight.
constexpr double HealthPower = 4;
/// Least success share in a weight, so that a flow is still assigned when every member fails.
constexpr double LeastHealth = 0.01;
/// Bounds of the factor by which members below the average load are preferred.
constexpr double LeastPreference = 0.1;
constexpr double MostPreference = 3.0;

double ratio(Duration Part, Duration Whole) noexcept {
  return static_cast<double>(Part.count()) /
         static_cast<double>(std::max<std::int64_t>(1, Whole.count()));
}

double slotsOf(const LoadReport &Report) noexcept { return std::max(1U, Report.Slots); }

} // namespace

LoadView::LoadView(std::uint64_t Seed, LoadViewOptions Options) : Options(Options), Random(Seed) {}

double LoadView::ramp(const Peer &Known, TimePoint Now) const noexcept {
  if (!FirstEventTime || Known.FirstSeen - *FirstEventTime < StartupWindow)
    return 1;
  return std::clamp(ratio(Now - Known.FirstSeen, Options.JoinSlowStart), RampFloor, 1.0);
}

/// Load per slot from the last report. With its age the report loses weight in favour of the recent
/// average: most requests that a report counts have ended when the next one arrives, and the
/// average covers those that last.
double LoadView::reportedLoad(const Peer &Known, TimePoint Now) const noexcept {
  const double Slots = slotsOf(Known.Last);
  const Duration Age = std::max(Duration{}, Now - Known.Received);
  const double Weight = std::exp2(-ratio(Age, Options.ReportHalfLife));
  const double Last = (Known.Last.Busy + Known.Last.Queued) / Slots;
  return Weight * Last + (1 - Weight) * Known.Recent + Known.Assigned / Slots +
         Options.ErrorWeight * Known.Last.ErrorShare;
}

std::optional<double> LoadView::expectedLoad(const std::string &MemberId, TimePoint Now) const {
  const auto It = Peers.find(MemberId);
  if (It == Peers.end() || !It->second.Reported)
    return std::nullopt;
  return reportedLoad(It->second, Now);
}

void LoadView::onReport(const LoadReport &Report, TimePoint Now) {
  // An error share outside 0 to 1, NaN included, would corrupt every weight.
  if (!(Report.ErrorShare >= 0 && Report.ErrorShare <= 1))
    return;
  if (!FirstEventTime)
    FirstEventTime = Now;
  const auto It = Peers.find(Report.MemberId);
  if (It == Peers.end()) {
    if (Peers.size() >= MaxPeers)
      return;
    Peer NewPeer;
    NewPeer.FirstSeen = Now;
    Peers.emplace(Report.MemberId, NewPeer);
  }
  Peer &Known = Peers[Report.MemberId];
  const bool Older = Known.Reported && Report.Sequence < Known.Last.Sequence;
  if (Older && Now - Known.Received < RestartAfter)
    return;
  const double Busy = Report.Busy / slotsOf(Report);
  const double BusyAndQueued = Busy + Report.Queued / slotsOf(Report);
  const auto Smooth = [&](double Average, double Value, Duration Window) {
    const double OldWeight = Known.Reported ? std::exp(-ratio(Now - Known.LastSampled, Window)) : 0;
    return Average * OldWeight + Value * (1 - OldWeight);
  };
  // Only regular reports enter the averages. This member's report is also refreshed when a flow
  // arrives, which ends an idle period, so these refreshes would bias its own average downwards.
  const bool Regular = !Known.Reported || Report.Sequence != Known.Last.Sequence;
  if (Regular) {
    Known.Average = Smooth(Known.Average, Busy, Options.AverageWindow);
    Known.Recent = Smooth(Known.Recent, BusyAndQueued, Options.RecentWindow);
    Known.LastSampled = Now;
  }
  if (Regular)
    Known.Assigned *= KeptAssignments;
  Known.Last = Report;
  Known.Received = Now;
  Known.Reported = true;
}

std::vector<LoadView::Candidate> LoadView::assessCandidates(const routing::ServiceRoute &Route,
                                                            TimePoint Now) {
  updateHomeShares(Route.Table);
  HomeShares.resize(Route.Candidates.size());
  std::vector<Candidate> Assessed;
  std::vector<double> Weights;
  double WeightedLoadSum = 0;
  double WeightSum = 0;
  for (const membership::Member &Member : Route.Candidates) {
    Peer &Known = Peers.try_emplace(Member.Id, Peer{.FirstSeen = Now}).first->second;
    Candidate Next;
    Next.Slots = Known.Reported ? slotsOf(Known.Last) : std::max(1U, Member.Slots);
    Next.Ramp = ramp(Known, Now);
    Next.Usable = Member.State == membership::MemberState::Active;
    Next.Load = Known.Reported ? reportedLoad(Known, Now) : Known.Assigned / Next.Slots;
    Next.Average = Known.Average;
    Next.Health = std::clamp(1 - Known.Last.ErrorShare, LeastHealth, 1.0);
    const Duration Silent = std::max(Duration{}, Now - Known.Received - ReportInterval);
    const double Weight = Known.Reported ? std::exp2(-ratio(Silent, Options.SilenceHalfLife)) : 0;
    Weights.push_back(Weight);
    WeightedLoadSum += Weight * Next.Load;
    WeightSum += Weight;
    Next.HomeShare = HomeShares[Assessed.size()];
    Assessed.push_back(Next);
  }
  const double Mean = WeightSum > 0 ? WeightedLoadSum / WeightSum : 0;
  // If no candidate is active, all of them are usable.
  const bool NoneActive = std::none_of(Assessed.begin(), Assessed.end(),
                                       [](const Candidate &Member) { return Member.Usable; });
  for (Candidate &Member : Assessed)
    Member.Usable = Member.Usable || NoneActive;
  for (std::size_t I = 0; I < Assessed.size(); ++I)
    Assessed[I].Load = Weights[I] * Assessed[I].Load + (1 - Weights[I]) * Mean;
  return Assessed;
}

std::size_t LoadView::weightedIndex(const std::vector<double> &Weights, std::size_t Fallback) {
  double Total = 0;
  for (const double Weight : Weights)
    Total += Weight;
  if (Total <= 0)
    return Fallback;
  double Remaining = common::uniformUnit(Random) * Total;
  for (std::size_t I = 0; I < Weights.size(); ++I) {
    Remaining -= Weights[I];
    if (Remaining < 0)
      return I;
  }
  return Fallback;
}

void LoadView::updateHomeShares(const routing::ServiceTable &Table) {
  if (HomeShareMembers == Table.members())
    return;
  HomeShareMembers = Table.members();
  HomeShares.assign(HomeShareMembers.size(), 0);
  for (std::uint64_t Slot = 0; Slot < routing::TableSlots && !HomeShareMembers.empty(); ++Slot)
    HomeShares[Table.choose(Slot).First] += 1.0 / routing::TableSlots;
}

/// The table's shares are known, so this part of the balance needs no measurement: the flows that
/// homes above their fair share move away equal those that the members below it lack.
std::optional<std::size_t> LoadView::moveExcess(const std::vector<Candidate> &Candidates,
                                                std::size_t Home) {
  double Slots = 0;
  for (const Candidate &Member : Candidates)
    Slots += Member.Usable ? Member.Slots * Member.Ramp : 0;
  const auto FairShare = [Slots](const Candidate &Member) {
    return Member.Usable && Slots > 0 ? Member.Slots * Member.Ramp / Slots : 0;
  };
  const Candidate &Own = Candidates[Home];
  if (Own.HomeShare <= 0 || common::uniformUnit(Random) >= 1 - FairShare(Own) / Own.HomeShare)
    return std::nullopt;
  std::vector<double> Deficits;
  for (const Candidate &Member : Candidates)
    Deficits.push_back(std::max(0.0, FairShare(Member) - Member.HomeShare) *
                       std::pow(Member.Health, HealthPower));
  return weightedIndex(Deficits, Home);
}

std::size_t LoadView::selectCandidate(const std::vector<Candidate> &Candidates, std::size_t Home) {
  const std::size_t None = Candidates.size();
  double Sum = 0;
  double Slots = 0;
  for (const Candidate &Member : Candidates) {
    Sum += Member.Average * Member.Slots;
    Slots += Member.Slots;
  }
  const double Mean = Sum / Slots;
  // The home's own load is known exactly. With a free slot it keeps the flow unless it carries more
  // than its share or is still in slow start.
  if (Home != None && Candidates[Home].Usable && Candidates[Home].Load < 1) {
    const Candidate &Own = Candidates[Home];
    const double Above = Own.Average - Mean * (1 + BalanceSlack);
    const double ScaledExcess = Own.Average > 0 ? BalanceGain * Above / Own.Average : 0;
    if (const auto Moved = moveExcess(Candidates, Home))
      return *Moved;
    if (common::uniformUnit(Random) >= ScaledExcess)
      return Home;
  }
  // All homes choose at the same time from reports of the same age. A weighted random choice
  // spreads their flows; choosing the least loaded member would send all of them to it.
  std::vector<double> Weights;
  for (std::size_t I = 0; I < Candidates.size(); ++I) {
    const double Free = std::max(LeastFree, FullLoad - Candidates[I].Load);
    const double ScaledDeficit = Mean > 0 ? BalanceGain * (Mean - Candidates[I].Average) / Mean : 0;
    const double Preference = std::clamp(1 + ScaledDeficit, LeastPreference, MostPreference);
    const double Weight = Free * Candidates[I].Slots * Candidates[I].Ramp * Preference *
                          std::pow(Candidates[I].Health, HealthPower);
    Weights.push_back(Candidates[I].Usable && I != Home ? Weight : 0);
  }
  const bool HomeServes = Home != None && Candidates[Home].Usable;
  const std::size_t Chosen = weightedIndex(Weights, HomeServes ? Home : None);
  if (!HomeServes || Chosen == Home || Candidates[Home].Load < 1)
    return Chosen;
  return Candidates[Home].Load <= Candidates[Chosen].Load + Options.HandOffMargin ? Home : Chosen;
}

void LoadView::removeSilentPeers(const routing::ServiceRoute &Route, TimePoint Now) {
  if (Now - LastCleanup < PeerTimeout)
    return;
  LastCleanup = Now;
  std::erase_if(Peers, [&](const auto &Entry) {
    const bool Candidate =
        std::any_of(Route.Candidates.begin(), Route.Candidates.end(),
                    [&](const membership::Member &Member) { return Member.Id == Entry.first; });
    return !Candidate && Now - Entry.second.Received > PeerTimeout;
  });
}

std::optional<std::size_t> LoadView::chooseUpstream(const routing::ServiceRoute &Route,
                                                    const std::string &Self, TimePoint Now) {
  if (Route.Candidates.empty())
    return std::nullopt;
  if (!FirstEventTime)
    FirstEventTime = Now;
  removeSilentPeers(Route, Now);
  const std::vector<Candidate> Assessed = assessCandidates(Route, Now);
  const auto Own =
      std::find_if(Route.Candidates.begin(), Route.Candidates.end(),
                   [&](const membership::Member &Member) { return Member.Id == Self; });
  const auto Home = static_cast<std::size_t>(Own - Route.Candidates.begin());
  const std::size_t Chosen = selectCandidate(Assessed, Home);
  if (Chosen >= Route.Candidates.size())
    return std::nullopt;
  // The home's own load is current and already includes its assignments.
  if (Chosen != Home)
    Peers[Route.Candidates[Chosen].Id].Assigned += 1;
  return Chosen;
}

} // namespace galenarelay::schedule
