#ifndef GALENARELAY_BENCH_REPORT_H
#define GALENARELAY_BENCH_REPORT_H

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace galenarelay::bench {

/// One line of a table; the keys are its columns, in order.
using Row = nlohmann::ordered_json;

/// A table of results. Example: `T.Rows.push_back({{"policy", "random"}, {"p99_ms", 12.5}})`
struct Table {
  std::string Title;
  std::vector<Row> Rows;
};

/// What a benchmark gets from its command line.
struct BenchArguments {
  std::uint64_t Seed = 1;
  double Scale = 1;   ///< Multiplies simulated lengths and repetitions.
  std::string Policy; ///< Only this policy; empty for all.
};

/// Value that the given share of the values doesn't exceed; 0 without values.
[[nodiscard]] double quantile(std::vector<double> Values, double Share);

/// Parses --seed, --scale and --json, runs the benchmark, prints its tables and writes the JSON.
/// Returns the exit code. Example: `return runBench("crest", C, V, measure);`
int runBench(const std::string &Name, int ArgumentCount, char **Arguments,
             const std::function<std::vector<Table>(const BenchArguments &)> &Measure);

} // namespace galenarelay::bench

#endif // GALENARELAY_BENCH_REPORT_H
