#ifndef GALENARELAY_SCHEDULE_IMPL_RETRY_BUDGET_H
#define GALENARELAY_SCHEDULE_IMPL_RETRY_BUDGET_H

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace galenarelay::schedule::impl {

/// Token bucket that lets retries be a share of the requests.
class RetryBudget {
public:
  RetryBudget(double Share, double Burst)
      : Share(std::llround(Share * One)), Burst(std::llround(Burst * One)), Tokens(this->Burst) {}

  void onRequest() noexcept { Tokens = std::min(Burst, Tokens + Share); }
  [[nodiscard]] bool take() noexcept {
    if (Tokens < One)
      return false;
    Tokens -= One;
    return true;
  }

private:
  /// Tokens are counted in millionths: ten times 0.1 is less than 1 as binary fractions.
  static constexpr std::int64_t One = 1'000'000;

  std::int64_t Share;
  std::int64_t Burst;
  std::int64_t Tokens;
};

} // namespace galenarelay::schedule::impl

#endif // GALENARELAY_SCHEDULE_IMPL_RETRY_BUDGET_H
