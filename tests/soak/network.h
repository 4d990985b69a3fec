#ifndef GALENARELAY_TESTS_SOAK_NETWORK_H
#define GALENARELAY_TESTS_SOAK_NETWORK_H

#include "galenarelay/common/random.h"
#include "galenarelay/common/time.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>

namespace galenarelay::soak {

/// The datagram links between callers, balancers, agents and upstreams that the soak itself
/// carries.
class Network {
public:
  Network(boost::asio::io_context &Io, std::uint64_t Seed) : Io(Io), Random(Seed) {}

  void disturb(double Loss, common::Duration Delay) {
    LossShare = Loss;
    LinkDelay = Delay;
  }

  /// Delivers now, later, or never.
  void carry(std::function<void()> Deliver) {
    if (common::uniformUnit(Random) < LossShare)
      return;
    if (LinkDelay == common::Duration::zero())
      return Deliver();
    auto Timer = std::make_shared<boost::asio::steady_timer>(Io, LinkDelay);
    Timer->async_wait([Timer, Deliver = std::move(Deliver)](boost::system::error_code Failure) {
      if (!Failure)
        Deliver();
    });
  }

private:
  boost::asio::io_context &Io;
  common::Engine Random;
  double LossShare = 0;
  common::Duration LinkDelay{};
};

} // namespace galenarelay::soak

#endif // GALENARELAY_TESTS_SOAK_NETWORK_H
