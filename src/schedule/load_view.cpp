#include "galenarelay/schedule/load_view.h"

#include <algorithm>
#include <cmath>

namespace galenarelay::schedule {

using common::Duration;
using common::TimePoint;

namespace {

/// A member that has not reported for this long is forgotten.
constexpr Duration ForgetAfter = std::chrono::seconds(60);
/// A lower sequence after this silence comes from a restarted agent, not from a late datagram.
constexpr Duration RestartAfter = std::chrono::seconds(2);
/// Most members that are remembered; a service has far fewer agents.
constexpr std::size_t MaxPeers = 4096;
/// Members known within this time of the first one were there before this view.
constexpr Duration ViewStart = std::chrono::seconds(1);
/// Share of its work that a joining member gets at once.
constexpr double RampFloor = 0.1;
/// Share of the own assignments that a report doesn't show yet: those made while it was under way,
/// and those whose requests have not come.
constexpr double KeptAssignments = 0.25;
/// How strongly flows are moved away from a home above the average load.
constexpr double BalanceGain = 5.0;
/// A home this much above the average load keeps its flows: less is noise of the average.
constexpr double BalanceSlack = 0.02;
/// Load at which a member is left with the least weight; above 1, since a queue is short-lived.
constexpr double FullLoad = 1.25;
/// Least free share in a weight: members that were full in the last report may be free again.
constexpr double LeastFree = 0.1;
/// Power of the share of good completions in a weight: 1 failure in 2 leaves a sixteenth.
constexpr double HealthPower = 4;
/// When every member fails, a flow still goes to one of them.
constexpr double LeastHealth = 0.01;
/// Bounds of the preference for members below the average load.
constexpr double LeastPreference = 0.1;
constexpr double MostPreference = 3.0;

double ratio(Duration Part, Duration Whole) noexcept {
  return static_cast<double>(Part.count()) /
         static_cast<double>(std::max<std::int64_t>(1, Whole.count()));
}

double slotsOf(const LoadReport &Report) noexcept { return std::max(1U, Report.Slots); }

} // namespace

LoadView::LoadView(std::uint64_t Seed, LoadViewOptions Options) : Options(Options), Random(Seed) {}

double LoadView::ramp(const Peer &Of, TimePoint Now) const noexcept {
  if (!Began || Of.FirstSeen - *Began < ViewStart)
    return 1;
  return std::clamp(ratio(Now - Of.FirstSeen, Options.JoinRamp), RampFloor, 1.0);
}

/// The last report fades into the recent average: most of what a report shows has ended when the
/// next one comes, what stays is in the average.
double LoadView::reportedLoad(const Peer &Of, TimePoint Now) const noexcept {
  const double Slots = slotsOf(Of.Last);
  const Duration Age = std::max(Duration{}, Now - Of.Received);
  const double Weight = std::exp2(-ratio(Age, Options.HalfLife));
  const double Last = (Of.Last.Busy + Of.Last.Queued) / Slots;
  return Weight * Last + (1 - Weight) * Of.Recent + Of.Assigned / Slots +
         Options.ErrorWeight * Of.Last.ErrorShare;
}

std::optional<double> LoadView::expectedLoad(const std::string &MemberId, TimePoint Now) const {
  const auto Found = Peers.find(MemberId);
  if (Found == Peers.end() || !Found->second.Reported)
    return std::nullopt;
  return reportedLoad(Found->second, Now);
}

void LoadView::onReport(const LoadReport &Report, TimePoint Now) {
  // A share that is no share, NaN included, would spoil every weight.
  if (!(Report.ErrorShare >= 0 && Report.ErrorShare <= 1))
    return;
  if (!Began)
    Began = Now;
  const auto Found = Peers.find(Report.MemberId);
  if (Found == Peers.end()) {
    if (Peers.size() >= MaxPeers)
      return;
    Peer Fresh;
    Fresh.FirstSeen = Now;
    Peers.emplace(Report.MemberId, Fresh);
  }
  Peer &Known = Peers[Report.MemberId];
  const bool Late = Known.Reported && Report.Sequence < Known.Last.Sequence;
  if (Late && Now - Known.Received < RestartAfter)
    return;
  const double Busy = Report.Busy / slotsOf(Report);
  const double Occupied = Busy + Report.Queued / slotsOf(Report);
  const auto Smooth = [&](double Before, double Value, Duration Window) {
    const double Kept = Known.Reported ? std::exp(-ratio(Now - Known.Sampled, Window)) : 0;
    return Before * Kept + Value * (1 - Kept);
  };
  // Averages are taken at the regular reports only. The own report is also refreshed when a flow
  // comes, at the end of a quiet time, and would pull the own average down.
  const bool Regular = !Known.Reported || Report.Sequence != Known.Last.Sequence;
  if (Regular) {
    Known.Average = Smooth(Known.Average, Busy, Options.Smoothing);
    Known.Recent = Smooth(Known.Recent, Occupied, Options.RecentWindow);
    Known.Sampled = Now;
  }
  if (Regular)
    Known.Assigned *= KeptAssignments;
  Known.Last = Report;
  Known.Received = Now;
  Known.Reported = true;
}

std::vector<LoadView::Candidate> LoadView::assess(const routing::ServiceRoute &Route,
                                                  TimePoint Now) {
  learnShares(Route.Table);
  HomeShares.resize(Route.Candidates.size());
  std::vector<Candidate> Assessed;
  std::vector<double> Weights;
  double Sum = 0;
  double Total = 0;
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
    Sum += Weight * Next.Load;
    Total += Weight;
    Next.HomeShare = HomeShares[Assessed.size()];
    Assessed.push_back(Next);
  }
  const double Mean = Total > 0 ? Sum / Total : 0;
  const bool NoneActive = std::none_of(Assessed.begin(), Assessed.end(),
                                       [](const Candidate &Each) { return Each.Usable; });
  for (Candidate &Each : Assessed)
    Each.Usable = Each.Usable || NoneActive;
  for (std::size_t I = 0; I < Assessed.size(); ++I)
    Assessed[I].Load = Weights[I] * Assessed[I].Load + (1 - Weights[I]) * Mean;
  return Assessed;
}

std::size_t LoadView::weighted(const std::vector<double> &Weights, std::size_t Otherwise) {
  double Total = 0;
  for (const double Weight : Weights)
    Total += Weight;
  if (Total <= 0)
    return Otherwise;
  double Left = common::uniformUnit(Random) * Total;
  for (std::size_t I = 0; I < Weights.size(); ++I) {
    Left -= Weights[I];
    if (Left < 0)
      return I;
  }
  return Otherwise;
}

void LoadView::learnShares(const routing::ServiceTable &Table) {
  if (ShareMembers == Table.members())
    return;
  ShareMembers = Table.members();
  HomeShares.assign(ShareMembers.size(), 0);
  for (std::uint64_t Slot = 0; Slot < routing::TableSlots && !ShareMembers.empty(); ++Slot)
    HomeShares[Table.choose(Slot).First] += 1.0 / routing::TableSlots;
}

/// The table's shares are known, so this part of the balance needs no measurement: what the homes
/// above their share move is what those below it lack.
std::optional<std::size_t> LoadView::pickByShare(const std::vector<Candidate> &From,
                                                 std::size_t Home) {
  double Slots = 0;
  for (const Candidate &Each : From)
    Slots += Each.Usable ? Each.Slots * Each.Ramp : 0;
  const auto Fair = [Slots](const Candidate &Of) {
    return Of.Usable && Slots > 0 ? Of.Slots * Of.Ramp / Slots : 0;
  };
  const Candidate &Own = From[Home];
  if (Own.HomeShare <= 0 || common::uniformUnit(Random) >= 1 - Fair(Own) / Own.HomeShare)
    return std::nullopt;
  std::vector<double> Lacks;
  for (const Candidate &Each : From)
    Lacks.push_back(std::max(0.0, Fair(Each) - Each.HomeShare) *
                    std::pow(Each.Health, HealthPower));
  return weighted(Lacks, Home);
}

std::size_t LoadView::pick(const std::vector<Candidate> &From, std::size_t Home) {
  const std::size_t None = From.size();
  double Sum = 0;
  double Slots = 0;
  for (const Candidate &Each : From) {
    Sum += Each.Average * Each.Slots;
    Slots += Each.Slots;
  }
  const double Mean = Sum / Slots;
  // A free slot at the home is known exactly, so the flow stays unless the home carries more than
  // its share or is still joining.
  if (Home != None && From[Home].Usable && From[Home].Load < 1) {
    const Candidate &Own = From[Home];
    const double Above = Own.Average - Mean * (1 + BalanceSlack);
    const double Excess = Own.Average > 0 ? BalanceGain * Above / Own.Average : 0;
    if (const auto Moved = pickByShare(From, Home))
      return *Moved;
    if (common::uniformUnit(Random) >= Excess)
      return Home;
  }
  // Homes choose at the same time from reports of the same age. A choice by weight spreads their
  // flows; the single best member would get them all.
  std::vector<double> Weights;
  for (std::size_t I = 0; I < From.size(); ++I) {
    const double Free = std::max(LeastFree, FullLoad - From[I].Load);
    const double Below = Mean > 0 ? BalanceGain * (Mean - From[I].Average) / Mean : 0;
    const double Preference = std::clamp(1 + Below, LeastPreference, MostPreference);
    const double Weight =
        Free * From[I].Slots * From[I].Ramp * Preference * std::pow(From[I].Health, HealthPower);
    Weights.push_back(From[I].Usable && I != Home ? Weight : 0);
  }
  const bool HomeServes = Home != None && From[Home].Usable;
  const std::size_t Chosen = weighted(Weights, HomeServes ? Home : None);
  if (!HomeServes || Chosen == Home || From[Home].Load < 1)
    return Chosen;
  return From[Home].Load <= From[Chosen].Load + Options.HandOffMargin ? Home : Chosen;
}

void LoadView::forgetOthers(const routing::ServiceRoute &Route, TimePoint Now) {
  if (Now - LastSweep < ForgetAfter)
    return;
  LastSweep = Now;
  std::erase_if(Peers, [&](const auto &Entry) {
    const bool Candidate =
        std::any_of(Route.Candidates.begin(), Route.Candidates.end(),
                    [&](const membership::Member &Member) { return Member.Id == Entry.first; });
    return !Candidate && Now - Entry.second.Received > ForgetAfter;
  });
}

std::optional<std::size_t> LoadView::choose(const routing::ServiceRoute &Route,
                                            const std::string &Self, TimePoint Now) {
  if (Route.Candidates.empty())
    return std::nullopt;
  if (!Began)
    Began = Now;
  forgetOthers(Route, Now);
  const std::vector<Candidate> Assessed = assess(Route, Now);
  const auto Own = std::find_if(Route.Candidates.begin(), Route.Candidates.end(),
                                [&](const membership::Member &Each) { return Each.Id == Self; });
  const auto Home = static_cast<std::size_t>(Own - Route.Candidates.begin());
  const std::size_t Chosen = pick(Assessed, Home);
  if (Chosen >= Route.Candidates.size())
    return std::nullopt;
  // The home's own load is current, so its assignments are in it.
  if (Chosen != Home)
    Peers[Route.Candidates[Chosen].Id].Assigned += 1;
  return Chosen;
}

} // namespace galenarelay::schedule
