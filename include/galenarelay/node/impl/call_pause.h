#ifndef GALENARELAY_NODE_IMPL_CALL_PAUSE_H
#define GALENARELAY_NODE_IMPL_CALL_PAUSE_H

#include "galenarelay/common/random.h"
#include "galenarelay/common/time.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace galenarelay::node::impl {

/// Adds jitter: returns a uniformly random duration from 0.5 to 1.5 times Base, so that nodes don't
/// call in step.
[[nodiscard]] inline common::Duration jittered(common::Duration Base, common::Engine &Random) {
  return std::chrono::duration_cast<common::Duration>(Base * (0.5 + common::uniformUnit(Random)));
}

/// Completes after Delay.
[[nodiscard]] inline boost::asio::awaitable<void> sleepFor(common::Duration Delay) {
  boost::asio::steady_timer Timer(co_await boost::asio::this_coro::executor, Delay);
  co_await Timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
}

/// Exponential backoff for failed calls: the base of the delay doubles up to a maximum, and each
/// delay is jittered around its base.
/// Example: `while (!co_await call()) co_await sleepFor(Pause.nextDelay());`
class Backoff {
public:
  Backoff(common::Duration Initial, common::Duration Maximum, common::Engine &Random) noexcept
      : Initial(Initial), Maximum(Maximum), NextBase(Initial), Random(Random) {}

  /// Returns the delay before the next attempt, and doubles the base.
  [[nodiscard]] common::Duration nextDelay() {
    const auto Delay = jittered(NextBase, Random);
    NextBase = std::min(NextBase * 2, Maximum);
    return Delay;
  }
  /// Starts again from the initial delay, after a successful call.
  void reset() noexcept { NextBase = Initial; }
  /// Sets the base of the next delay.
  void setNextBase(common::Duration Base) noexcept { NextBase = Base; }

private:
  common::Duration Initial;
  common::Duration Maximum;
  common::Duration NextBase;
  common::Engine &Random;
};

} // namespace galenarelay::node::impl

#endif // GALENARELAY_NODE_IMPL_CALL_PAUSE_H
