#ifndef GALENARELAY_RELAY_POLICY_LEARNED_CAPACITY_H
#define GALENARELAY_RELAY_POLICY_LEARNED_CAPACITY_H

#include "galenarelay/common/time.h"
#include "galenarelay/relay/packet_head.h"

#include <array>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace galenarelay::relay::policy {

/// Requests in progress up to which throughput is told apart. Higher counts share the last entry,
/// and capacities above it aren't learned.
inline constexpr std::size_t MaxCapacityLevels = 128;
/// A longer time between two events isn't counted: the process was suspended, as its timer runs far
/// more often.
inline constexpr common::Duration MaxObservedInterval = std::chrono::milliseconds(500);
/// Time in which the weight of an observation falls to 1/e: some hundred answers of a busy
/// upstream. A change of speed discards observations at once; see SpeedChangeEvidence.
inline constexpr common::Duration ObservationDecay = std::chrono::seconds(10);
/// Minimum time between two comparisons of the levels, so that their cost doesn't grow with the
/// rate of requests.
inline constexpr common::Duration CapacityFitInterval = std::chrono::milliseconds(100);
/// Log-likelihood ratio from which a lower capacity is believed: odds of 20 to 1, twice. The ratio
/// takes answers as a Poisson process, whose counts vary about twice as much as those of work with
/// a spread of half its mean.
inline constexpr double LowerEvidence = 3;
/// The same for a higher capacity: odds of 2.7 to 1. A figure that is too high lets some requests
/// wait at the upstream instead of at a balancer; one that is too low leaves work undone.
inline constexpr double RaiseEvidence = 1;
/// The same for a change of speed: odds of 400 to 1, as it discards all observations.
inline constexpr double SpeedChangeEvidence = 6;
/// Answers after which the speed is known well enough to notice that it changes.
inline constexpr double MinSpeedAnswers = 12;
/// Weight of a new answer in the answer time: the standard error is 0.12 of the mean with a spread
/// of half the mean.
inline constexpr double AnswerTimeWeight = 0.1;
/// A request counts at most as this many times the answer time, so that a single long one neither
/// slows the figure down by more than a third nor shows a change of speed.
inline constexpr double LongRequestFactor = 4;
/// A figure without observations stays for this time, in which a caller's last try ends.
inline constexpr common::Duration FigureHold = std::chrono::seconds(5);
/// After FigureHold the capacity rises by one slot towards the declared ones at this interval.
inline constexpr common::Duration FigureFadeInterval = std::chrono::seconds(1);
/// Answers awaited at half of the capacity when it is in doubt under steady demand. They tell
/// whether throughput halves (some 3 units of log-likelihood).
inline constexpr double TrialAnswers = 16;
/// Answers between two trials. The number doubles up to the second value after each trial without
/// effect, so that trials cost less than 2 of 100 answers in the long run.
inline constexpr double MinTrialDistance = 64;
inline constexpr double MaxTrialDistance = 512;

/// Why a capacity figure last changed.
enum class CapacityChange : std::uint8_t {
  Declared,     ///< The upstream has started or has declared other slots.
  Lowered,      ///< More requests in progress brought no more answers.
  Raised,       ///< One more request in progress brought more answers.
  Faded,        ///< Too few requests to keep the earlier figure.
  SpeedChanged, ///< Requests take longer, or less long, at any number of requests in progress.
  Pinned        ///< By the operator.
};
[[nodiscard]] std::string_view name(CapacityChange Change) noexcept;

/// What an upstream takes well.
struct CapacityFigure {
  std::uint32_t Capacity = 0;    ///< Requests in progress; 0 for the declared slots.
  common::Duration AnswerTime{}; ///< For one request while slots are free; 0 if unknown.

  friend bool operator==(const CapacityFigure &, const CapacityFigure &) = default;
};

/// Bounds of the capacity that an operator sets.
struct CapacityBounds {
  std::uint32_t Least = 1;
  std::uint32_t Pinned = 0; ///< 0 if the capacity is learned.

  friend bool operator==(const CapacityBounds &, const CapacityBounds &) = default;
};

/// Estimates what an upstream takes well from the times at which requests and answers begin.
template <typename T>
concept CapacityEstimator = requires(T &Estimator, const T &Known, common::TimePoint Now,
                                     std::uint32_t Slots) {
  Estimator.onStart(Slots, Now);
  Estimator.onSlots(Slots, Now);
  Estimator.onRequest(Now);
  Estimator.onAnswer(Now, Now);
  Estimator.onAbandoned(Now);
  Estimator.onTimer(Now);
  { Known.figure() } -> std::same_as<CapacityFigure>;
  { Known.limit(Slots) } -> std::same_as<std::uint32_t>;
};

/// Takes the declared slots for what an upstream takes well.
struct DeclaredSlots {
  void onStart(std::uint32_t, common::TimePoint) noexcept {}
  void onSlots(std::uint32_t, common::TimePoint) noexcept {}
  void onRequest(common::TimePoint) noexcept {}
  void onAnswer(common::TimePoint, common::TimePoint) noexcept {}
  void onAbandoned(common::TimePoint) noexcept {}
  void onTimer(common::TimePoint) noexcept {}
  [[nodiscard]] static CapacityFigure figure() noexcept { return {}; }
  /// Requests at the upstream from which further flows are declined; 0 for no limit.
  [[nodiscard]] static std::uint32_t limit(std::uint32_t DeclaredSlots) noexcept {
    return DeclaredSlots == 0 ? 0 : requestLimit(DeclaredSlots);
  }
};

/// Finds the least number of requests in progress beyond which an upstream answers no more of them
/// per second, and the time that it needs for one. Compares throughput per level of concurrency by
/// maximum likelihood, with the constants above; docs/design/learned-capacity.md has the reasons.
class LearnedCapacity {
public:
  explicit LearnedCapacity(CapacityBounds Bounds = {}) noexcept : Bounds(Bounds) {}

  /// The upstream has started; what was learned of an earlier incarnation is forgotten.
  void onStart(std::uint32_t DeclaredSlots, common::TimePoint Now);
  /// The upstream has declared its slots. Without effect if they are unchanged.
  void onSlots(std::uint32_t DeclaredSlots, common::TimePoint Now);
  void onRequest(common::TimePoint Now);
  /// The answer to a request that began at BeganAt has begun.
  void onAnswer(common::TimePoint BeganAt, common::TimePoint Now);
  /// A request that began at BeganAt ended without an answer.
  void onAbandoned(common::TimePoint BeganAt);
  void onTimer(common::TimePoint Now);

  /// The figure to tell: during a trial a lower one than learned().
  [[nodiscard]] CapacityFigure figure() const noexcept;
  /// Requests at the upstream from which further flows are declined; 0 for no limit. Above the
  /// capacity, so that demand shows whether one more would do; in a trial it is the capacity.
  [[nodiscard]] std::uint32_t limit(std::uint32_t DeclaredSlots) const noexcept;
  /// Capacity believed; 0 if the upstream has declared no slots.
  [[nodiscard]] std::uint32_t learned() const noexcept { return Capacity; }
  [[nodiscard]] std::uint32_t declared() const noexcept { return Declared; }
  [[nodiscard]] CapacityChange lastChange() const noexcept { return LastChange; }
  /// Number of changes of the capacity or the speed so far.
  [[nodiscard]] std::uint64_t changes() const noexcept { return Changes; }
  /// Whether throughput falls while there are more requests than the capacity.
  [[nodiscard]] bool crowdingHarms() const noexcept { return CrowdingHarms; }
  [[nodiscard]] bool inTrial() const noexcept { return TrialAnswersLeft > 0; }
  /// Requests that have begun and aren't answered.
  [[nodiscard]] std::size_t inProgress() const noexcept { return Pending.size(); }

private:
  struct Request {
    common::TimePoint BeganAt{};
    std::uint32_t Level = 0; ///< Requests in progress at its begin, itself included.
  };
  /// Decaying observations at one number of requests in progress.
  struct Level {
    double Seconds = 0;
    double Answers = 0;
  };
  /// Answers per second for each request in progress, of which at most Capacity make progress.
  struct Rate {
    std::uint32_t Capacity = 0;
    double PerRequest = 0;
  };
  using LevelTable = std::array<Level, MaxCapacityLevels>;

  void advance(common::TimePoint Now);
  void noteAnswerTime(common::Duration Time, std::uint32_t LevelAtBegin);
  void checkSpeed();
  void fit(common::TimePoint Now);
  /// Lowers the capacity if there was evidence for it in earlier observations already.
  void noteLower(std::uint32_t Value);
  void setCapacity(std::uint32_t Value, CapacityChange Reason);
  void startTrial(bool HalfInDoubt);
  void checkCrowding();
  void fade(common::TimePoint Now);
  void forgetObservations() noexcept;
  [[nodiscard]] Rate rateFor(std::uint32_t Candidate, double &LogLikelihood) const noexcept;
  [[nodiscard]] std::uint32_t least() const noexcept;
  [[nodiscard]] std::uint32_t told() const noexcept;

  CapacityBounds Bounds;
  std::uint32_t Declared = 0;
  std::uint32_t Capacity = 0;
  CapacityChange LastChange = CapacityChange::Declared;
  std::uint64_t Changes = 0;
  std::vector<Request> Pending; ///< In the order of their begin.
  LevelTable Levels{};
  Rate Fitted; ///< For the most likely capacity; 0 while unknown.
  bool LowerSuspected =
      false; ///< Observations before the present ones were evidence for a lower one.
  bool CrowdingHarms = false;  ///< Requests above the capacity slow the others down.
  bool TrialAbove = false;     ///< The trial is with more requests than the capacity.
  bool UncheckedLevel = false; ///< Too few observations at the present level to expect a rate.
  double AnswersSinceFit = 0;
  double SpeedAnswers = 0;    ///< Answers since ExpectedAnswers counts.
  double ExpectedAnswers = 0; ///< By the fitted rates.
  double AnswerSeconds = 0;   ///< Mean time to answer; 0 if unknown.
  double AnswerCount = 0;     ///< Answers in the mean, up to 1 / AnswerTimeWeight.
  double TrialAnswersLeft = 0;
  double TrialDistance = MinTrialDistance;
  double AnswersUntilTrial = MinTrialDistance;
  double SaturatedSeconds = 0; ///< Since the last fit, at Capacity or above.
  common::TimePoint LastAt{};
  common::TimePoint LastFitAt{};
  common::TimePoint LastAnswerAt{};
  common::TimePoint LastAtCapacityAt{}; ///< Last time with Capacity or more in progress.
  common::TimePoint LastFadeAt{};
};

static_assert(CapacityEstimator<DeclaredSlots> && CapacityEstimator<LearnedCapacity>);

} // namespace galenarelay::relay::policy

#endif // GALENARELAY_RELAY_POLICY_LEARNED_CAPACITY_H
