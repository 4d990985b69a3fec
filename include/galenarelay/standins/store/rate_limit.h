#ifndef GALENARELAY_STANDINS_STORE_RATE_LIMIT_H
#define GALENARELAY_STANDINS_STORE_RATE_LIMIT_H

#include "galenarelay/common/time.h"

#include <algorithm>

namespace galenarelay::standins::store {

/// Token bucket that holds at most one second's worth of calls.
class RateLimit {
public:
  explicit RateLimit(double PerSecond) noexcept : PerSecond(PerSecond), Tokens(PerSecond) {}

  /// Takes one token; false if there is none.
  [[nodiscard]] bool take(common::TimePoint Now) noexcept {
    if (Started && Now > Last) {
      const double Seconds = std::chrono::duration<double>(Now - Last).count();
      Tokens = std::min(PerSecond, Tokens + Seconds * PerSecond);
    }
    Last = Started ? std::max(Last, Now) : Now;
    Started = true;
    if (Tokens < 1)
      return false;
    Tokens -= 1;
    return true;
  }

private:
  double PerSecond;
  double Tokens;
  common::TimePoint Last{};
  bool Started = false;
};

} // namespace galenarelay::standins::store

#endif // GALENARELAY_STANDINS_STORE_RATE_LIMIT_H
