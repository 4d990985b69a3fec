#ifndef GALENARELAY_STANDINS_UPSTREAM_RUN_LOG_H
#define GALENARELAY_STANDINS_UPSTREAM_RUN_LOG_H

#include "galenarelay/common/time.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>

namespace galenarelay::standins::upstream {

/// How a run ended.
enum class RunOutcome : std::uint8_t {
  Running,
  Answered,
  Cancelled, ///< The peer closed the connection.
  Deadline,  ///< The stated deadline passed.
  Broken,    ///< The stand-in closed the connection on purpose.
};

/// One run of one request.
struct Run {
  std::uint64_t Number = 0;
  std::string RequestId; ///< Galenarelay-Request-Id, empty if absent.
  std::string Method;
  std::string Target;
  common::TimePoint Start{}; ///< Monotonic clock of the machine.
  common::TimePoint End{};   ///< Unset while running.
  RunOutcome Outcome = RunOutcome::Running;

  friend bool operator==(const Run &, const Run &) = default;
};

[[nodiscard]] std::string_view name(RunOutcome Outcome) noexcept;

/// All runs of the stand-in, oldest first.
class RunLog {
public:
  /// Runs kept; the oldest is dropped first and counted.
  static constexpr std::size_t MaxRuns = 200'000;

  [[nodiscard]] const std::deque<Run> &runs() const noexcept { return Runs; }
  /// Number of runs with this request ID.
  [[nodiscard]] std::size_t count(std::string_view RequestId) const noexcept;
  /// JSON of all runs, or of those with a request ID if it isn't empty.
  [[nodiscard]] nlohmann::json toJson(std::string_view RequestId) const;

  /// Returns the number of the new run.
  std::uint64_t start(std::string RequestId, std::string Method, std::string Target,
                      common::TimePoint Now);
  void end(std::uint64_t Number, RunOutcome Outcome, common::TimePoint Now);

private:
  std::deque<Run> Runs;
  std::uint64_t Dropped = 0;
};

} // namespace galenarelay::standins::upstream

#endif // GALENARELAY_STANDINS_UPSTREAM_RUN_LOG_H
