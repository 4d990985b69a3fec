#ifndef GALENARELAY_SCHEDULE_IMPL_RETRY_BUDGET_H
#define GALENARELAY_SCHEDULE_IMPL_RETRY_BUDGET_H

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace galenarelay::schedule::impl {

/// Token bucket that limits retries to a share of the requests, with bursts of up to Burst retries.
class RetryBudget {
public:
  RetryBudget(double Share, double Burst)
      : Share(std::llround(Share * TokenUnit)), Burst(std::llround(Burst * TokenUnit)),
        Tokens(this->Burst) {}

  /// Adds the share of one request, up to the capacity.
  void onRequest() noexcept { Tokens = std::min(Burst, Tokens + Share); }
  /// Takes one token; false if there is less than one.
  [[nodiscard]] bool take() noexcept {
    if (Tokens < TokenUnit)
      return false;
    Tokens -= TokenUnit;
    return true;
  }

private:
  /// Value of one token. Tokens are counted in millionths, as ten times 0.1 is less than 1 in
  /// binary floating point.
  static constexpr std::int64_t TokenUnit = 1'000'000;

  std::int64_t Share;
  std::int64_t Burst;
  std::int64_t Tokens;
};

} // namespace galenarelay::schedule::impl

#endif // GALENARELAY_SCHEDULE_IMPL_RETRY_BUDGET_H
