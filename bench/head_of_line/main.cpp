// Wait of short orders with and without stragglers.
#include "galenarelay/bench/fleet.h"
#include "galenarelay/bench/report.h"

namespace galenarelay::bench {

namespace {

using common::TimePoint;
using std::chrono::seconds;

constexpr seconds WarmUp{30};
constexpr double StragglerShare = 0.3;
/// A p99 wait below a quarter of an order's time counts as this; a ratio of two waits near 0 would
/// say nothing.
constexpr double LeastWaitMs = 10;

struct Shape {
  const char *Name;
  std::uint32_t Hosts;
  std::uint32_t Slots;
};

constexpr Shape Shapes[] = {{"dealer desk 7x5", 7, 5}, {"shop 7x3", 7, 3}, {"x10 70x5", 70, 5}};

/// Waits and endings after the warm-up.
struct Waits {
  double Short99Ms = 0;
  double ShortMeanMs = 0;
  double Straggler99Ms = 0;
  double Rejected = 0; ///< Share of short orders.
  double StragglersRejected = 0;
};

double milliseconds(common::Duration Value) {
  return std::chrono::duration<double, std::milli>(Value).count();
}

Waits runOnce(Policy Which, const FleetOptions &Options) {
  Fleet Run(Which, Options);
  Run.run();
  std::vector<double> Short;
  std::vector<double> Long;
  double Sum = 0;
  double Count[2]{};
  double Rejected[2]{};
  for (const Attempt &Each : Run.attempts()) {
    if (Each.Arrived < TimePoint(WarmUp))
      continue;
    const bool Straggler = Run.orders()[Each.OrderIndex].Straggler;
    ++Count[Straggler ? 1 : 0];
    if (Each.End == Ending::Rejected)
      ++Rejected[Straggler ? 1 : 0];
    // A request that still waits at the end counts with the time waited so far.
    const bool Waits = Each.Started == TimePoint{};
    if (Each.End == Ending::Rejected)
      continue;
    const double Wait =
        milliseconds((Waits ? TimePoint(Options.Length) : Each.Started) - Each.Arrived);
    (Straggler ? Long : Short).push_back(Wait);
    Sum += Straggler ? 0 : Wait;
  }
  return {quantile(Short, 0.99), Sum / std::max<double>(1, Short.size()), quantile(Long, 0.99),
          Rejected[0] / std::max(1.0, Count[0]), Rejected[1] / std::max(1.0, Count[1])};
}

/// Load is the demand with stragglers. The comparison without them is made at the same total work
/// and with the same short work only.
Table compare(const BenchArguments &Given, const Shape &Of, bool Predictable, double Load) {
  Table Result{std::string(Of.Name) + ", load " + std::to_string(Load).substr(0, 4) +
                   (Predictable ? ", stragglers are a class" : ", stragglers can't be told before"),
               {}};
  for (const Policy Which : policies(Given.Policy)) {
    FleetOptions Options;
    Options.Hosts = Of.Hosts;
    Options.Slots = Of.Slots;
    Options.Seed = Given.Seed;
    Options.Length = WarmUp + std::chrono::duration_cast<seconds>(std::chrono::duration<double>(
                                  (Of.Hosts > 10 ? 30 : 120) * Given.Scale));
    Options.Demand = {{common::Duration{}, Load}};
    const Waits SameWork = runOnce(Which, Options);
    Options.Demand = {{common::Duration{}, Load * (1 - StragglerShare)}};
    const Waits ShortOnly = runOnce(Which, Options);
    Options.Demand = {{common::Duration{}, Load}};
    Options.StragglerShare = StragglerShare;
    Options.StragglersPredictable = Predictable;
    const Waits With = runOnce(Which, Options);
    const auto Ratio = [&With](const Waits &Without) {
      return std::max(LeastWaitMs, With.Short99Ms) / std::max(LeastWaitMs, Without.Short99Ms);
    };
    Result.Rows.push_back({{"policy", name(Which)},
                           {"p99_ms", With.Short99Ms},
                           {"p99_same_work_ms", SameWork.Short99Ms},
                           {"ratio_same_work", Ratio(SameWork)},
                           {"p99_short_only_ms", ShortOnly.Short99Ms},
                           {"ratio_short_only", Ratio(ShortOnly)},
                           {"mean_ms", With.ShortMeanMs},
                           {"rejected", With.Rejected},
                           {"straggler_p99_ms", With.Straggler99Ms},
                           {"stragglers_rejected", With.StragglersRejected}});
  }
  return Result;
}

std::vector<Table> measure(const BenchArguments &Given) {
  std::vector<Table> Tables;
  for (const Shape &Of : Shapes)
    for (const bool Predictable : {true, false})
      for (const double Load : {0.5, 0.7, 0.85})
        Tables.push_back(compare(Given, Of, Predictable, Load));
  return Tables;
}

} // namespace

} // namespace galenarelay::bench

int main(int ArgumentCount, char **Arguments) {
  return galenarelay::bench::runBench("head_of_line", ArgumentCount, Arguments,
                                      galenarelay::bench::measure);
}
