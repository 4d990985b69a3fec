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

/// Half to one and a half of the base, so that nodes don't call in step.
[[nodiscard]] inline common::Duration jittered(common::Duration Base, common::Engine &Random) {
  return std::chrono::duration_cast<common::Duration>(Base * (0.5 + common::uniformUnit(Random)));
}

/// Completes after a time.
[[nodiscard]] inline boost::asio::awaitable<void> pauseFor(common::Duration Time) {
  boost::asio::steady_timer Timer(co_await boost::asio::this_coro::executor, Time);
  co_await Timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
}

/// Pauses after failed calls, each twice the one before up to a maximum, with jitter.
/// Example: `while (!co_await call()) co_await pauseFor(Pause.take());`
class CallPause {
public:
  CallPause(common::Duration Least, common::Duration Most, common::Engine &Random) noexcept
      : Least(Least), Most(Most), Next(Least), Random(Random) {}

  [[nodiscard]] common::Duration take() {
    const auto Taken = jittered(Next, Random);
    Next = std::min(Next * 2, Most);
    return Taken;
  }
  /// A call has succeeded.
  void reset() noexcept { Next = Least; }
  /// The next pause begins with this base.
  void restartFrom(common::Duration Base) noexcept { Next = Base; }

private:
  common::Duration Least;
  common::Duration Most;
  common::Duration Next;
  common::Engine &Random;
};

} // namespace galenarelay::node::impl

#endif // GALENARELAY_NODE_IMPL_CALL_PAUSE_H
