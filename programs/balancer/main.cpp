#include "galenarelay/common/program.h"
#include "galenarelay/node/balancer.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <csignal>

namespace galenarelay {

namespace {

common::ProgramInfo programInfo() {
  using common::SettingKind;
  return {"galenarelay-balancer",
          "Receives packets from the fabric and forwards them to the home agents of their flows.",
          {{"node", "id", SettingKind::Text, std::nullopt, 0, 0, "unique name of this instance"},
           {"node", "zone", SettingKind::Text, std::nullopt, 0, 0, "availability zone"},
           {"node", "data", SettingKind::Address, std::nullopt, 0, 0,
            "UDP address for packets; port 0 takes a free port"},
           {"node", "control", SettingKind::Address, std::nullopt, 0, 0,
            "UDP address for control messages; port 0 takes a free port"},
           {"node", "admin", SettingKind::Address, std::nullopt, 0, 0,
            "TCP address of the admin endpoints; port 0 takes a free port"},
           {"node", "seeds", SettingKind::AddressList, "", 0, 0,
            "control addresses of peers, comma-separated"},
           {"node", "seed", SettingKind::Integer, "1", 0, 0, "seed of the random engine"},
           {"store", "address", SettingKind::Address, std::nullopt, 0, 0,
            "address of the key-value store"}}};
}

node::NodeOptions nodeOptions(const common::Settings &From) {
  node::NodeOptions Options;
  Options.Self.Id = From.text("node", "id");
  Options.Self.Zone = From.text("node", "zone");
  Options.Self.Data = From.endpoint("node", "data");
  Options.Self.Control = From.endpoint("node", "control");
  Options.Self.Admin = From.endpoint("node", "admin");
  Options.Seeds = From.endpoints("node", "seeds");
  Options.Seed = static_cast<std::uint64_t>(From.integer("node", "seed"));
  Options.Store = From.endpoint("store", "address");
  return Options;
}

common::Result<int> run(const common::Settings &Settings) {
  boost::asio::io_context Io;
  common::Metrics Metrics;
  node::Balancer Balancer(Io, nodeOptions(Settings), Metrics);
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
