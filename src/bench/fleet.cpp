#include "galenarelay/bench/fleet.h"

#include <algorithm>
#include <cmath>

namespace galenarelay::bench {

using common::Duration;
using common::TimePoint;
using schedule::Completion;
using schedule::Decision;
using schedule::Scheduler;

namespace {

/// Resolution of the busy time per host.
constexpr Duration BusyBucket = std::chrono::milliseconds(100);
/// One way between hosts of a region (docs/design.md, section 1.2).
constexpr Duration PeerDelay = std::chrono::microseconds(500);
constexpr Duration FailFastTime = std::chrono::milliseconds(1);
/// What baselines answer when their queue is full.
constexpr Duration FixedRetryAfter = std::chrono::seconds(1);
/// Bound of the baselines' FIFO queues, the same as the scheduler's default.
constexpr std::size_t FifoBound = 1024;

double seconds(Duration Value) noexcept { return std::chrono::duration<double>(Value).count(); }

Duration fromSeconds(double Value) noexcept {
  return Duration(std::max<std::int64_t>(1, std::llround(Value * 1e6)));
}

const schedule::WorkClass OrderClass{"desk", "POST", "orders", 0};
const schedule::WorkClass StragglerClass{"desk", "POST", "photos", 5};

} // namespace

std::string_view name(Policy Which) noexcept {
  switch (Which) {
  case Policy::Galenarelay:
    return "galenarelay";
  case Policy::RoundRobin:
    return "round-robin";
  case Policy::Random:
    return "random";
  case Policy::TwoChoices:
    return "two-choices";
  case Policy::NoAdmission:
    return "no-admission";
  }
  return "unknown";
}

std::vector<Policy> policies(std::string_view Only) {
  std::vector<Policy> Chosen{Policy::Galenarelay, Policy::RoundRobin, Policy::Random,
                             Policy::TwoChoices, Policy::NoAdmission};
  if (!Only.empty())
    std::erase_if(Chosen, [Only](Policy Each) { return name(Each) != Only; });
  return Chosen;
}

Fleet::Fleet(Policy Which, FleetOptions Wanted, std::vector<FleetChange> Planned)
    : Which(Which), Options(std::move(Wanted)), Changes(std::move(Planned)), Traffic(Options.Seed),
      Choices(Options.Seed ^ 0x9e3779b97f4a7c15ULL) {
  for (std::uint32_t I = 0; I < Options.Hosts; ++I)
    addHost();
  rebuildRoute();
  for (std::size_t I = 0; I < Changes.size(); ++I)
    push(Changes[I].At, Kind::Change, I);
}

void Fleet::run() {
  scheduleFlow();
  const TimePoint End{Options.Length};
  while (!Pending.empty() && Pending.top().At < End) {
    const Event Next = Pending.top();
    Pending.pop();
    Now = Next.At;
    handle(Next);
  }
  Now = End;
  for (Host &Each : Hosts)
    account(Each);
}

double Fleet::handOffShare() const noexcept {
  return Opened == 0 ? 0 : static_cast<double>(HandOffs) / static_cast<double>(Opened);
}

double Fleet::capacity() const noexcept {
  return static_cast<double>(Options.Hosts) * Options.Slots;
}

Imbalance Fleet::imbalance(TimePoint From, TimePoint To) const {
  const auto First = static_cast<std::size_t>(From.time_since_epoch() / BusyBucket);
  const auto Last = static_cast<std::size_t>(To.time_since_epoch() / BusyBucket);
  std::vector<double> Busy;
  for (const Host &Each : Hosts) {
    if (Each.Joined > From || Each.Left < To)
      continue;
    double Sum = 0;
    for (std::size_t I = First; I < Last && I < Each.BusySeconds.size(); ++I)
      Sum += Each.BusySeconds[I];
    Busy.push_back(Sum);
  }
  const auto Count = static_cast<double>(Busy.size());
  double Sum = 0;
  for (const double Each : Busy)
    Sum += Each;
  const double Mean = Sum / Count;
  if (Mean <= 0)
    return {};
  double Square = 0;
  for (const double Each : Busy)
    Square += (Each - Mean) * (Each - Mean);
  return {*std::max_element(Busy.begin(), Busy.end()) / Mean, std::sqrt(Square / Count) / Mean};
}

void Fleet::push(TimePoint At, Kind What, std::uint64_t Subject, std::uint64_t Detail) {
  Pending.push({At, ++Events, What, Subject, Detail});
}

void Fleet::handle(const Event &Next) {
  const auto HostIndex = static_cast<std::uint32_t>(Next.Subject);
  switch (Next.What) {
  case Kind::NewFlow:
    openFlow();
    break;
  case Kind::Request:
    nextRequest(Next.Subject);
    break;
  case Kind::Retry:
    retry(Next.Subject);
    break;
  case Kind::Finish:
    finish(Next.Subject);
    break;
  case Kind::Report:
    sendReport(HostIndex);
    break;
  case Kind::Deliver:
    for (Host &Each : Hosts)
      Each.View.onReport(Hosts[HostIndex].Sent, Now);
    break;
  case Kind::Timer:
    if (const auto Due = Hosts[HostIndex].Scheduled->nextTimer(); Due && *Due <= Now)
      apply(HostIndex, Hosts[HostIndex].Scheduled->onTimer(Now));
    break;
  case Kind::Change:
    apply(Changes[Next.Subject]);
    break;
  }
}

void Fleet::addHost() {
  Host Fresh;
  if (Which == Policy::Galenarelay) {
    schedule::SchedulerOptions Own = Options.Schedule;
    Own.Slots = Options.Slots;
    Own.Seed = Choices();
    Fresh.Scheduled = std::make_unique<Scheduler>(Own);
  }
  Fresh.View = schedule::LoadView(Choices(), Options.View);
  Fresh.Turn = static_cast<std::uint32_t>(Choices() % 1000);
  Fresh.Joined = Now;
  Fresh.BusySince = Now;
  Fresh.BusySeconds.resize(static_cast<std::size_t>(Options.Length / BusyBucket) + 1);
  Hosts.push_back(std::move(Fresh));
  const auto Phase = common::uniformBelow(Choices, schedule::ReportInterval.count());
  push(Now + Duration(Phase), Kind::Report, Hosts.size() - 1);
}

void Fleet::rebuildRoute() {
  std::vector<std::string> Ids;
  Route.Candidates.clear();
  CandidateHosts.clear();
  for (std::uint32_t I = 0; I < Hosts.size(); ++I) {
    if (Hosts[I].Left != TimePoint::max())
      continue;
    // Fixed width, so that the order of the IDs is the order of the hosts.
    membership::Member Member;
    Member.Id = "agent-" + std::to_string(100000 + I);
    Member.State = membership::MemberState::Active;
    Member.Slots = Options.Slots;
    Ids.push_back(Member.Id);
    Route.Candidates.push_back(Member);
    CandidateHosts.push_back(I);
  }
  Route.Table = routing::ServiceTable("desk", Ids);
}

double Fleet::stragglerChance() const noexcept {
  const double Share = Options.StragglerShare;
  return Share / (Options.StragglerFactor - (Options.StragglerFactor - 1) * Share);
}

double Fleet::meanWork() const noexcept {
  return seconds(Options.OrderTime) * (1 + stragglerChance() * (Options.StragglerFactor - 1));
}

double Fleet::exponential(double Mean) {
  return -Mean * std::log(1 - common::uniformUnit(Traffic));
}

double Fleet::demandAt(TimePoint When) const noexcept {
  const Duration At = When.time_since_epoch();
  const auto &Points = Options.Demand;
  for (std::size_t I = 1; I < Points.size(); ++I) {
    if (At >= Points[I].first)
      continue;
    const double Part = seconds(At - Points[I - 1].first) /
                        std::max(1e-6, seconds(Points[I].first - Points[I - 1].first));
    return Points[I - 1].second + Part * (Points[I].second - Points[I - 1].second);
  }
  return Points.back().second;
}

/// Draws the next flow by thinning: candidates come at the highest rate of the demand and are kept
/// with the share that the demand has then.
void Fleet::scheduleFlow() {
  double Peak = 0;
  for (const auto &Point : Options.Demand)
    Peak = std::max(Peak, Point.second);
  const double PerSecond = Peak * capacity() / (meanWork() * Options.RequestsPerFlow);
  TimePoint At = Now;
  do {
    At += fromSeconds(exponential(1 / PerSecond));
  } while (common::uniformUnit(Traffic) * Peak >= demandAt(At));
  push(At, Kind::NewFlow, 0);
}

void Fleet::openFlow() {
  Flow Opening;
  const bool Dealer = common::uniformUnit(Traffic) < Options.DealerShare;
  const auto Small = 1 + common::uniformBelow(Traffic, Options.Callers - 1);
  Opening.Caller = Dealer ? 0 : static_cast<std::uint32_t>(Small);
  Opening.Left = Options.RequestsPerFlow;
  Opening.Host = chooseHost();
  Flows.push_back(Opening);
  nextRequest(Flows.size() - 1);
  scheduleFlow();
}

std::uint32_t Fleet::chooseHost() {
  const std::uint32_t Home = CandidateHosts[Route.Table.choose(Traffic()).First];
  const auto Count = CandidateHosts.size();
  std::uint32_t Chosen = Home;
  ++Opened;
  switch (Which) {
  case Policy::Galenarelay:
  case Policy::NoAdmission: {
    const schedule::LoadReport Own = reportOf(Home);
    Hosts[Home].View.onReport(Own, Now);
    Chosen = CandidateHosts[Hosts[Home].View.chooseUpstream(Route, Own.MemberId, Now).value_or(0)];
    break;
  }
  case Policy::RoundRobin:
    Chosen = CandidateHosts[Hosts[Home].Turn++ % Count];
    break;
  case Policy::Random:
    Chosen = CandidateHosts[common::uniformBelow(Choices, Count)];
    break;
  case Policy::TwoChoices: {
    const std::uint32_t First = CandidateHosts[common::uniformBelow(Choices, Count)];
    const std::uint32_t Second = CandidateHosts[common::uniformBelow(Choices, Count)];
    const auto Load = [this](std::uint32_t I) { return Hosts[I].Sent.Busy + Hosts[I].Sent.Queued; };
    Chosen = Load(Second) < Load(First) ? Second : First;
    break;
  }
  }
  HandOffs += Chosen == Home ? 0 : 1;
  return Chosen;
}

void Fleet::nextRequest(std::uint64_t FlowIndex) {
  Flow &Of = Flows[FlowIndex];
  Order Fresh;
  Fresh.Caller = Of.Caller;
  Fresh.Straggler = common::uniformUnit(Traffic) < stragglerChance();
  // Half of an order's time is fixed, half is exponential.
  const double Mean = seconds(Options.OrderTime) * (Fresh.Straggler ? Options.StragglerFactor : 1);
  Fresh.Work = fromSeconds(Mean / 2 + exponential(Mean / 2));
  Fresh.Fresh = Now;
  Orders.push_back(Fresh);
  if (--Of.Left > 0)
    push(Now + fromSeconds(exponential(seconds(Options.RequestGap))), Kind::Request, FlowIndex);
  attempt(Orders.size() - 1, Of.Host, 1);
}

void Fleet::attempt(std::uint64_t OrderIndex, std::uint32_t HostIndex, std::uint32_t Number) {
  const Order &Of = Orders[OrderIndex];
  Attempt Fresh;
  Fresh.OrderIndex = static_cast<std::uint32_t>(OrderIndex);
  Fresh.Host = HostIndex;
  Fresh.Number = Number;
  Fresh.Arrived = Now;
  Attempts.push_back(Fresh);
  const std::uint64_t Id = Attempts.size() - 1;
  Host &At = Hosts[HostIndex];
  if (At.Scheduled) {
    const bool OwnClass = Of.Straggler && Options.StragglersPredictable;
    const Duration Deadline = Of.Straggler ? Options.StragglerDeadline : Options.OrderDeadline;
    const schedule::RequestInfo Request{Id, Of.Caller, OwnClass ? StragglerClass : OrderClass,
                                        Now + Deadline};
    apply(HostIndex, At.Scheduled->onArrival(Request, Now));
    return;
  }
  if (Which != Policy::NoAdmission && At.Fifo.size() >= FifoBound) {
    reject(Id, FixedRetryAfter, common::ResultCode::RequestQueueFull);
    return;
  }
  At.Fifo.push_back(Id);
  fifoFill(HostIndex);
}

void Fleet::retry(std::uint64_t AttemptIndex) {
  const Attempt Before = Attempts[AttemptIndex];
  // A client with a kept flow resends on it; otherwise it opens a new one.
  const bool Kept = Options.RequestsPerFlow > 1 && Hosts[Before.Host].Left == TimePoint::max();
  attempt(Before.OrderIndex, Kept ? Before.Host : chooseHost(), Before.Number + 1);
}

void Fleet::start(std::uint64_t AttemptIndex) {
  Attempt &Started = Attempts[AttemptIndex];
  Started.Started = Now;
  const bool Fails = static_cast<std::int32_t>(Started.Host) == Options.FailFastHost;
  push(Now + (Fails ? FailFastTime : Orders[Started.OrderIndex].Work), Kind::Finish, AttemptIndex);
}

void Fleet::reject(std::uint64_t AttemptIndex, Duration RetryAfter, common::ResultCode Reason) {
  Attempt &Of = Attempts[AttemptIndex];
  Of.End = Ending::Rejected;
  Of.Reason = Reason;
  Of.Finished = Now;
  if (Of.Number < Options.MaxAttempts)
    push(Now + RetryAfter, Kind::Retry, AttemptIndex);
}

void Fleet::finish(std::uint64_t AttemptIndex) {
  Attempt &Of = Attempts[AttemptIndex];
  const std::uint32_t HostIndex = Of.Host;
  const bool Fails = static_cast<std::int32_t>(HostIndex) == Options.FailFastHost;
  Of.End = Fails ? Ending::Failed : Ending::Done;
  Of.Finished = Now;
  Host &At = Hosts[HostIndex];
  account(At);
  if (At.Scheduled) {
    const Completion How = Fails ? Completion::Failed : Completion::Succeeded;
    apply(HostIndex, At.Scheduled->onFinished(AttemptIndex, How, Now));
    return;
  }
  --At.FifoBusy;
  fifoFill(HostIndex);
}

void Fleet::fifoFill(std::uint32_t HostIndex) {
  Host &At = Hosts[HostIndex];
  account(At);
  while (At.FifoBusy < Options.Slots && !At.Fifo.empty()) {
    const std::uint64_t Id = At.Fifo.front();
    At.Fifo.pop_front();
    ++At.FifoBusy;
    start(Id);
  }
  account(At);
}

void Fleet::apply(std::uint32_t HostIndex, const std::vector<Decision> &Decisions) {
  Host &At = Hosts[HostIndex];
  for (const Decision &Made : Decisions) {
    if (Made.Dispatch)
      start(Made.Id);
    else
      reject(Made.Id, Made.RetryAfter, Made.Reason);
  }
  account(At);
  const auto Due = At.Scheduled->nextTimer();
  if (Due && (At.TimerAt <= Now || *Due < At.TimerAt)) {
    At.TimerAt = *Due;
    push(*Due, Kind::Timer, HostIndex);
  }
}

void Fleet::apply(const FleetChange &Change) {
  if (Change.Leaves >= 0)
    Hosts[static_cast<std::size_t>(Change.Leaves)].Left = Now;
  for (std::uint32_t I = 0; I < Change.Joins; ++I)
    addHost();
  rebuildRoute();
}

void Fleet::sendReport(std::uint32_t HostIndex) {
  Host &From = Hosts[HostIndex];
  ++From.Sequence;
  From.Sent = reportOf(HostIndex);
  push(Now + PeerDelay, Kind::Deliver, HostIndex);
  if (From.Left == TimePoint::max())
    push(Now + schedule::ReportInterval, Kind::Report, HostIndex);
}

schedule::LoadReport Fleet::reportOf(std::uint32_t HostIndex) const {
  const Host &From = Hosts[HostIndex];
  schedule::LoadReport Report;
  if (From.Scheduled) {
    Report = From.Scheduled->report(Now);
  } else {
    Report.Slots = Options.Slots;
    Report.Busy = From.FifoBusy;
    Report.Queued = static_cast<std::uint32_t>(From.Fifo.size());
    Report.QueuedWorkMs = 1e3 * meanWork() * Report.Queued;
  }
  Report.MemberId = "agent-" + std::to_string(100000 + HostIndex);
  Report.Sequence = From.Sequence;
  return Report;
}

std::uint32_t Fleet::busy(const Host &Of) const noexcept {
  return Of.Scheduled ? Of.Scheduled->busySlots() : Of.FifoBusy;
}

/// Adds the busy time since the last call, with the number of slots busy at that call.
void Fleet::account(Host &Of) {
  while (Of.BusySince < Now) {
    const auto Bucket = static_cast<std::size_t>(Of.BusySince.time_since_epoch() / BusyBucket);
    const TimePoint Until =
        std::min(Now, TimePoint(BusyBucket * static_cast<std::int64_t>(Bucket + 1)));
    if (Bucket < Of.BusySeconds.size())
      Of.BusySeconds[Bucket] += seconds(Until - Of.BusySince) * Of.BusyCount;
    Of.BusySince = Until;
  }
  Of.BusyCount = busy(Of);
}

} // namespace galenarelay::bench
