#include "galenarelay/relay/policy/learned_capacity.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace galenarelay::relay::policy {

namespace {

/// Candidates whose log-likelihoods differ by less than this can't be told apart.
constexpr double EqualEvidence = 0.5;
/// Expected answers after which the check for a change of speed begins anew, so that it looks at
/// recent ones.
constexpr double SpeedCheckAnswers = 32;
/// Changes of speed smaller than this factor are left to the decay of the observations.
constexpr double MinSpeedChange = 1.5;
/// Largest change of the answer time that is assumed before answers confirm it.
constexpr double MaxSpeedChange = 5;
/// Answers at a number of requests in progress from which its rate can be checked for a change.
constexpr double MinLevelAnswers = 4;
/// Least number of answers, expected or seen, by which throughput above the capacity is judged.
constexpr double MinCrowdingAnswers = 8;
/// Log-likelihood ratio from which throughput above the capacity counts as lower: odds of 400 to 1,
/// since the comparison is repeated ten times a second for as long as the upstream runs.
constexpr double CrowdingEvidence = 6;
/// Fraction of the time between two fits with all slots taken from which demand counts as steady.
constexpr double SaturatedShare = 0.9;

double secondsOf(common::Duration Time) noexcept {
  return std::chrono::duration<double>(Time).count();
}

double xLogX(double X, double Y) noexcept { return X > 0 ? X * std::log(Y) : 0; }

} // namespace

std::string_view name(CapacityChange Change) noexcept {
  constexpr std::array<std::string_view, 6> Names{"declared", "lowered",       "raised",
                                                  "faded",    "speed_changed", "pinned"};
  return Names[static_cast<std::size_t>(Change)];
}

void LearnedCapacity::onStart(std::uint32_t DeclaredSlots, common::TimePoint Now) {
  Pending.clear();
  forgetObservations();
  AnswerSeconds = 0;
  AnswerCount = 0;
  LowerSuspected = false;
  TrialAnswersLeft = 0;
  CrowdingHarms = false;
  TrialDistance = AnswersUntilTrial = MinTrialDistance;
  Declared = 0;
  LastAt = LastFitAt = LastAnswerAt = LastAtCapacityAt = LastFadeAt = Now;
  onSlots(DeclaredSlots, Now);
}

void LearnedCapacity::onSlots(std::uint32_t DeclaredSlots, common::TimePoint Now) {
  if (std::exchange(Declared, DeclaredSlots) == DeclaredSlots)
    return;
  LastAtCapacityAt = Now;
  if (Bounds.Pinned != 0)
    setCapacity(std::min(Bounds.Pinned, Declared), CapacityChange::Pinned);
  else
    setCapacity(Declared, CapacityChange::Declared);
}

std::uint32_t LearnedCapacity::least() const noexcept {
  return std::clamp<std::uint32_t>(Bounds.Least, 1, std::max(1U, Declared));
}

CapacityFigure LearnedCapacity::figure() const noexcept {
  const auto Time =
      std::chrono::duration_cast<common::Duration>(std::chrono::duration<double>(AnswerSeconds));
  return {told() == Declared ? 0 : told(), Time};
}

std::uint32_t LearnedCapacity::told() const noexcept {
  return inTrial() && !TrialAbove ? std::max(least(), Capacity / 2) : Capacity;
}

std::uint32_t LearnedCapacity::limit(std::uint32_t) const noexcept {
  if (Declared == 0)
    return 0;
  if (inTrial())
    return TrialAbove ? Capacity + 1 : told();
  return CrowdingHarms ? Capacity : requestLimit(Capacity);
}

void LearnedCapacity::forgetObservations() noexcept {
  Levels = {};
  Fitted = {};
  SpeedAnswers = ExpectedAnswers = 0;
  SaturatedSeconds = 0;
}

// Counts the time since the last event for the present number of requests in progress.
void LearnedCapacity::advance(common::TimePoint Now) {
  const common::Duration Elapsed = Now - LastAt;
  LastAt = std::max(LastAt, Now);
  if (Pending.empty() || Elapsed <= common::Duration::zero() || Elapsed > MaxObservedInterval)
    return;
  const double Seconds = secondsOf(Elapsed);
  const std::size_t InProgress = std::min(Pending.size(), MaxCapacityLevels - 1);
  Levels[InProgress].Seconds += Seconds;
  if (Pending.size() >= Capacity) {
    SaturatedSeconds += Seconds;
    LastAtCapacityAt = Now;
  }
  UncheckedLevel = true;
  if (Fitted.PerRequest <= 0 || inTrial() || (CrowdingHarms && Pending.size() > Capacity))
    return;
  // A request that takes much longer than others counts only for a limited time. If the upstream
  // has a queue, requests take longer by its length.
  const double QueueFactor =
      std::max(1.0, static_cast<double>(Pending.size()) / std::max(1U, Capacity));
  const auto Limit = std::chrono::duration_cast<common::Duration>(
      std::chrono::duration<double>(LongRequestFactor * AnswerSeconds * QueueFactor));
  const auto Recent = std::find_if(Pending.begin(), Pending.end(), [&](const Request &Each) {
    return AnswerSeconds <= 0 || Now - Each.BeganAt <= Limit;
  });
  const auto Counted = static_cast<std::size_t>(Pending.end() - Recent);
  if (Levels[std::min(Counted, MaxCapacityLevels - 1)].Answers < MinLevelAnswers)
    return;
  UncheckedLevel = false;
  const auto Running = static_cast<double>(std::min<std::size_t>(Counted, Fitted.Capacity));
  ExpectedAnswers += Seconds * Running * Fitted.PerRequest;
}

void LearnedCapacity::onRequest(common::TimePoint Now) {
  advance(Now);
  Pending.push_back({Now, static_cast<std::uint32_t>(Pending.size() + 1)});
}

void LearnedCapacity::onAnswer(common::TimePoint BeganAt, common::TimePoint Now) {
  advance(Now);
  const auto It = std::find_if(Pending.begin(), Pending.end(),
                               [&](const Request &Each) { return Each.BeganAt == BeganAt; });
  if (It == Pending.end())
    return;
  Levels[std::min(Pending.size(), MaxCapacityLevels - 1)].Answers += 1;
  AnswersSinceFit += 1;
  SpeedAnswers += UncheckedLevel ? 0 : 1;
  LastAnswerAt = Now;
  noteAnswerTime(Now - BeganAt, It->Level);
  Pending.erase(It);
  if (TrialAnswersLeft > 0)
    TrialAnswersLeft -= TrialAbove || Pending.size() <= told() ? 1 : 0;
  else
    AnswersUntilTrial -= 1;
  checkSpeed();
  if (Now - LastFitAt >= CapacityFitInterval)
    fit(Now);
}

// The time since the last event, at most a timer interval, counts for the requests that remain.
void LearnedCapacity::onAbandoned(common::TimePoint BeganAt) {
  const auto It = std::find_if(Pending.begin(), Pending.end(),
                               [&](const Request &Each) { return Each.BeganAt == BeganAt; });
  if (It != Pending.end())
    Pending.erase(It);
}

void LearnedCapacity::onTimer(common::TimePoint Now) {
  advance(Now);
  checkSpeed();
  fade(Now);
  if (Now - LastFitAt >= CapacityFitInterval)
    fit(Now);
}

// A request that began above the capacity waited for earlier ones. By Little's law, its time at the
// capacity would have been shorter by the ratio of the two.
void LearnedCapacity::noteAnswerTime(common::Duration Time, std::uint32_t LevelAtBegin) {
  const double Queue =
      Capacity == 0 ? 1 : std::max(1.0, static_cast<double>(LevelAtBegin) / Capacity);
  double Seconds = secondsOf(Time) / Queue;
  if (AnswerCount >= 1)
    Seconds = std::min(Seconds, LongRequestFactor * AnswerSeconds);
  AnswerCount = std::min(AnswerCount + 1, 1 / AnswerTimeWeight);
  AnswerSeconds += (Seconds - AnswerSeconds) / AnswerCount;
}

// Observations from before a change of speed would be compared with later ones at other levels:
// levels rise when an upstream turns slow, which looks like a limit of its throughput.
void LearnedCapacity::checkSpeed() {
  if (ExpectedAnswers < 1)
    return;
  const double Ratio = SpeedAnswers / ExpectedAnswers;
  const double Evidence = xLogX(SpeedAnswers, Ratio) - (SpeedAnswers - ExpectedAnswers);
  const bool Differs = Ratio > MinSpeedChange || Ratio * MinSpeedChange < 1;
  if (Differs && Evidence >= SpeedChangeEvidence) {
    const double Change = std::clamp(1 / std::max(Ratio, 1e-3), 1 / MaxSpeedChange, MaxSpeedChange);
    AnswerSeconds *= Change;
    AnswerCount = std::min(AnswerCount, 2.0);
    forgetObservations();
    TrialAnswersLeft = 0;
    LowerSuspected = false;
    CrowdingHarms = false;
    TrialDistance = AnswersUntilTrial = MinTrialDistance;
    LastChange = CapacityChange::SpeedChanged;
    ++Changes;
  } else if (ExpectedAnswers >= SpeedCheckAnswers) {
    SpeedAnswers = ExpectedAnswers = 0;
  }
}

// For a capacity of Candidate, answers are a Poisson process of rate PerRequest * min(n, Candidate)
// with n requests in progress; PerRequest is at its maximum likelihood.
LearnedCapacity::Rate LearnedCapacity::rateFor(std::uint32_t Candidate,
                                               double &LogLikelihood) const noexcept {
  double Answers = 0;
  double Work = 0; // In request-seconds.
  LogLikelihood = 0;
  for (std::size_t N = 1; N < MaxCapacityLevels; ++N) {
    const auto Running = static_cast<double>(std::min<std::size_t>(N, Candidate));
    Answers += Levels[N].Answers;
    Work += Running * Levels[N].Seconds;
    LogLikelihood += xLogX(Levels[N].Answers, Running);
  }
  const Rate Result{Candidate, Work > 0 ? Answers / Work : 0};
  LogLikelihood += xLogX(Answers, Result.PerRequest);
  return Result;
}

void LearnedCapacity::fit(common::TimePoint Now) {
  const double Elapsed = secondsOf(Now - LastFitAt);
  LastFitAt = Now;
  const bool Saturated = SaturatedSeconds >= SaturatedShare * Elapsed;
  SaturatedSeconds = 0;
  const double Kept = std::exp(-Elapsed / secondsOf(ObservationDecay));
  for (Level &Each : Levels) {
    Each.Seconds *= Kept;
    Each.Answers *= Kept;
  }
  if (std::exchange(AnswersSinceFit, 0) <= 0 || Declared == 0)
    return;
  if (Declared >= MaxCapacityLevels || Bounds.Pinned != 0)
    return;
  std::array<double, MaxCapacityLevels> Likelihood{};
  for (std::uint32_t Candidate = least(); Candidate <= Declared; ++Candidate)
    (void)rateFor(Candidate, Likelihood[Candidate]);
  const double *const Lowest = Likelihood.data() + least();
  const double *const Current = Likelihood.data() + Capacity;
  const auto *const Lower = std::max_element(Lowest, Current);
  const auto *const Higher = std::max_element(Current, Lowest + (Declared - least() + 1));
  if (Lower != Current && *Lower - *Current >= LowerEvidence) {
    // Of candidates that can't be told apart, the highest one leaves no work undone.
    auto Chosen = static_cast<std::uint32_t>(Lower - Likelihood.data());
    for (std::uint32_t Candidate = Chosen; Candidate < Capacity; ++Candidate)
      if (Likelihood[Candidate] >= *Lower - EqualEvidence)
        Chosen = Candidate;
    return noteLower(Chosen);
  }
  if (*Higher - *Current >= RaiseEvidence)
    setCapacity(Capacity + 1, CapacityChange::Raised);
  const auto Best = static_cast<std::uint32_t>(
      std::max(Lower, Higher, [](auto *A, auto *B) { return *A < *B; }) - Likelihood.data());
  double Answers = 0;
  for (const Level &Each : Levels)
    Answers += Each.Answers;
  double Unused = 0;
  Fitted = Answers >= MinSpeedAnswers ? rateFor(Best, Unused) : Rate{};
  checkCrowding();
  const std::uint32_t Half = std::max(least(), Capacity / 2);
  const double Doubt = Half < Capacity ? Likelihood[Capacity] - Likelihood[Half]
                                       : std::abs(Likelihood[Capacity + 1] - Likelihood[Capacity]);
  if (Saturated && Capacity < Declared + (Half < Capacity ? 1 : 0) && !inTrial() &&
      AnswersUntilTrial <= 0 && (Doubt < RaiseEvidence || CrowdingHarms))
    startTrial(Doubt < RaiseEvidence);
}

// Whether the upstream answers fewer requests while there are more than its capacity.
void LearnedCapacity::checkCrowding() {
  Level Above;
  double Below = 0;
  double BelowWork = 0;
  for (std::size_t N = 1; N < MaxCapacityLevels; ++N) {
    if (N > Capacity) {
      Above.Seconds += Levels[N].Seconds;
      Above.Answers += Levels[N].Answers;
    } else {
      Below += Levels[N].Answers;
      BelowWork += static_cast<double>(N) * Levels[N].Seconds;
    }
  }
  if (Below < MinCrowdingAnswers || BelowWork <= 0)
    return;
  const double Expected = Above.Seconds * Capacity * Below / BelowWork;
  if (Expected < MinCrowdingAnswers)
    return;
  const double Ratio = Above.Answers / Expected;
  const double Evidence = xLogX(Above.Answers, Ratio) - (Above.Answers - Expected);
  // Up to half of the growth that one more slot would bring, the upstream only queues requests.
  if (Ratio >= 1 && Ratio < 1 + 0.5 / Capacity)
    CrowdingHarms = false;
  else if (Ratio < 1 && Evidence >= CrowdingEvidence)
    CrowdingHarms = true;
}

// An upstream that turns slow has few requests in progress before and many after it, which looks
// like a limit of its throughput. Observations made after the first evidence tell the two apart.
void LearnedCapacity::noteLower(std::uint32_t Value) {
  if (std::exchange(LowerSuspected, true)) {
    LowerSuspected = false;
    setCapacity(Value, CapacityChange::Lowered);
    checkCrowding();
  }
  forgetObservations();
  AnswersUntilTrial = std::min(AnswersUntilTrial, TrialAnswers);
}

// Under steady demand all observations are at one level, which says nothing of others. While it is
// in doubt whether half of the capacity would do as well, that is tried for a short time.
void LearnedCapacity::startTrial(bool HalfInDoubt) {
  TrialAbove = CrowdingHarms && !(HalfInDoubt && TrialAbove);
  TrialAnswersLeft = TrialAnswers;
  AnswersUntilTrial = TrialDistance;
  TrialDistance = std::min(2 * TrialDistance, MaxTrialDistance);
}

void LearnedCapacity::setCapacity(std::uint32_t Value, CapacityChange Reason) {
  if (Value != Capacity && Reason != CapacityChange::Declared) {
    TrialDistance = MinTrialDistance;
    AnswersUntilTrial = std::min(AnswersUntilTrial, MinTrialDistance);
  }
  Capacity = Value;
  LastChange = Reason;
  ++Changes;
  SpeedAnswers = ExpectedAnswers = 0;
}

// Nothing tells whether an old figure still holds.
void LearnedCapacity::fade(common::TimePoint Now) {
  if (Pending.empty() && Now - LastAnswerAt >= FigureHold) {
    AnswerSeconds = 0;
    AnswerCount = 0;
  }
  if (Capacity >= Declared || Bounds.Pinned != 0 || Now - LastAtCapacityAt < FigureHold ||
      Now - LastFadeAt < FigureFadeInterval)
    return;
  LastFadeAt = Now;
  CrowdingHarms = false;
  setCapacity(Capacity + 1, CapacityChange::Faded);
}

} // namespace galenarelay::relay::policy
