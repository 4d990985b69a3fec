#ifndef GALENARELAY_COMMON_TIME_H
#define GALENARELAY_COMMON_TIME_H

#include <chrono>
#include <cstdint>
#include <ctime>

namespace galenarelay::common {

using Duration = std::chrono::microseconds;

/// Clock type of decision code; its now() belongs to the program that drives the code.
struct EventClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<EventClock>;
  // NOLINTNEXTLINE(readability-identifier-naming): required by the Clock concept.
  static constexpr bool is_steady = true;
};

/// A moment in microseconds since an origin that the driver chooses.
using TimePoint = EventClock::time_point;

/// Monotonic time of this process, for programs only.
[[nodiscard]] inline TimePoint steadyNow() noexcept {
  return TimePoint(
      std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch()));
}

/// As steadyNow, but goes on while the machine is suspended, so that knowledge from before a
/// suspension is seen to be old. Differences of the two clocks have no meaning.
[[nodiscard]] inline TimePoint suspendAwareNow() noexcept {
  timespec Now{};
  clock_gettime(CLOCK_BOOTTIME, &Now);
  return TimePoint(std::chrono::duration_cast<Duration>(std::chrono::seconds(Now.tv_sec) +
                                                        std::chrono::nanoseconds(Now.tv_nsec)));
}

/// Whole milliseconds, for texts and logs.
[[nodiscard]] constexpr std::int64_t wholeMilliseconds(Duration Value) noexcept {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Value).count();
}

/// Wall-clock time in milliseconds since 1970-01-01 UTC, for audit entries and logs.
[[nodiscard]] inline std::int64_t wallMilliseconds() noexcept {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

} // namespace galenarelay::common

#endif // GALENARELAY_COMMON_TIME_H
