// Imbalance of busy slots across a service's upstreams: steady, and after a join, leave or relabel.
#include "galenarelay/bench/fleet.h"
#include "galenarelay/bench/report.h"

namespace galenarelay::bench {

namespace {

using common::Duration;
using common::TimePoint;
using std::chrono::seconds;

constexpr seconds WarmUp{20};
constexpr Duration Settle = seconds(10); ///< Within this time after a change.
constexpr Duration Window = seconds(20);

struct Shape {
  const char *Name;
  std::uint32_t Hosts;
  std::uint32_t Slots;
};

constexpr Shape Shapes[] = {{"dealer desk 7x5", 7, 5},
                            {"warranty 3x5", 3, 5},
                            {"shop 7x3", 7, 3},
                            {"records 3x3", 3, 3},
                            {"dealer desk x10 70x5", 70, 5}};

FleetOptions baseOptions(const Shape &Of, std::uint32_t RequestsPerFlow, std::uint64_t Seed) {
  FleetOptions Options;
  Options.Hosts = Of.Hosts;
  Options.Slots = Of.Slots;
  Options.RequestsPerFlow = RequestsPerFlow;
  Options.Seed = Seed;
  return Options;
}

/// Flows of many requests last long; the demand is steady after twice their mean time.
seconds warmUp(std::uint32_t RequestsPerFlow) {
  const Duration FlowTime = FleetOptions().RequestGap * RequestsPerFlow;
  return WarmUp + std::chrono::duration_cast<seconds>(2 * FlowTime);
}

/// Mean over consecutive windows of one second of max/mean.
double shortTerm(const Fleet &Run, TimePoint From, TimePoint To) {
  double Sum = 0;
  int Count = 0;
  for (TimePoint At = From; At + seconds(1) <= To; At += seconds(1), ++Count)
    Sum += Run.imbalance(At, At + seconds(1)).MaxOverMean;
  return Sum / Count;
}

Table steady(const BenchArguments &Given, std::uint32_t RequestsPerFlow) {
  Table Result{"steady half load, " + std::to_string(RequestsPerFlow) + " requests per flow", {}};
  for (const Shape &Of : Shapes) {
    for (const Policy Which : policies(Given.Policy)) {
      FleetOptions Options = baseOptions(Of, RequestsPerFlow, Given.Seed);
      const auto Length =
          std::chrono::duration_cast<seconds>(std::chrono::duration<double>(60 * Given.Scale));
      const seconds Begin = warmUp(RequestsPerFlow);
      Options.Length = Begin + Length;
      Fleet Run(Which, Options);
      Run.run();
      const TimePoint From{Begin};
      const TimePoint To = From + Length;
      const Imbalance Whole = Run.imbalance(From, To);
      Result.Rows.push_back({{"fleet", Of.Name},
                             {"policy", name(Which)},
                             {"max_over_mean", Whole.MaxOverMean},
                             {"variation", Whole.Variation},
                             {"max_over_mean_1s", shortTerm(Run, From, To)},
                             {"hand_offs", Run.handOffShare()}});
    }
  }
  return Result;
}

Table changed(const BenchArguments &Given, const char *What, std::uint32_t RequestsPerFlow) {
  const std::string Title = std::string(What) + ", 7x5 at half load, " +
                            std::to_string(RequestsPerFlow) + " requests per flow";
  Table Result{Title, {}};
  for (const Policy Which : policies(Given.Policy)) {
    FleetOptions Options = baseOptions(Shapes[0], RequestsPerFlow, Given.Seed);
    const seconds Begin = warmUp(RequestsPerFlow);
    Options.Length = Begin + Settle + Window;
    FleetChange Change;
    Change.At = TimePoint(Begin);
    Change.Leaves = std::string_view(What) == "join" ? -1 : 2;
    Change.Joins = std::string_view(What) == "leave" ? 0 : 1;
    Fleet Run(Which, Options, {Change});
    Run.run();
    const TimePoint At{Begin};
    const Imbalance During = Run.imbalance(At + Duration(1), At + Settle);
    const Imbalance After = Run.imbalance(At + Settle, At + Settle + Window);
    Result.Rows.push_back({{"policy", name(Which)},
                           {"max_over_mean_0_10s", During.MaxOverMean},
                           {"variation_0_10s", During.Variation},
                           {"max_over_mean_10_30s", After.MaxOverMean},
                           {"variation_10_30s", After.Variation}});
  }
  return Result;
}

/// Share of the orders that the failing upstream of seven got; a seventh is its fair share.
Table failFast(const BenchArguments &Given) {
  Table Result{"one upstream of 7x5 fails in 1 ms", {}};
  for (const Policy Which : policies(Given.Policy)) {
    FleetOptions Options = baseOptions(Shapes[0], 1, Given.Seed);
    Options.FailFastHost = 3;
    Fleet Run(Which, Options);
    Run.run();
    double Failed = 0;
    double All = 0;
    for (const Attempt &Each : Run.attempts()) {
      if (Each.Arrived < TimePoint(WarmUp))
        continue;
      ++All;
      Failed += Each.End == Ending::Failed ? 1 : 0;
    }
    Result.Rows.push_back({{"policy", name(Which)}, {"failed_share", Failed / All}});
  }
  return Result;
}

std::vector<Table> measure(const BenchArguments &Given) {
  std::vector<Table> Tables;
  for (const std::uint32_t Requests : {1U, 20U, 200U})
    Tables.push_back(steady(Given, Requests));
  for (const char *What : {"join", "leave", "relabel"})
    for (const std::uint32_t Requests : {1U, 20U})
      Tables.push_back(changed(Given, What, Requests));
  Tables.push_back(failFast(Given));
  return Tables;
}

} // namespace

} // namespace galenarelay::bench

int main(int ArgumentCount, char **Arguments) {
  return galenarelay::bench::runBench("imbalance", ArgumentCount, Arguments,
                                      galenarelay::bench::measure);
}
