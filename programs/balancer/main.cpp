#include "galenarelay/common/program.h"
#include "galenarelay/node/balancer.h"
#include "galenarelay/node/node_settings.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <csignal>

namespace galenarelay {

namespace {

common::ProgramInfo programInfo() {
  return {"galenarelay-balancer",
          "Receives packets from the fabric and forwards them to the home agents of their flows.",
          node::nodeSettingRules()};
}

common::Result<int> run(const common::Settings &Settings) {
  boost::asio::io_context Io;
  common::Metrics Metrics;
  node::Balancer Balancer(Io, node::nodeOptionsFrom(Settings), Metrics);
  Balancer.start();
  boost::asio::signal_set Signals(Io, SIGINT, SIGTERM);
  Signals.async_wait([&](boost::system::error_code Failure, int) {
    if (Failure)
      return;
    // The pending calls and watches of the node end with the context.
    boost::asio::co_spawn(Io, Balancer.drain(), [&](const std::exception_ptr &) { Io.stop(); });
  });
  Io.run();
  return static_cast<int>(common::ResultCode::Ok);
}

} // namespace

} // namespace galenarelay

int main(int ArgumentCount, char **Arguments) {
  using namespace galenarelay;
  return common::runProgram(programInfo(), ArgumentCount, Arguments, run);
}
