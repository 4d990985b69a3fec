#include "galenarelay/common/log.h"
#include "galenarelay/common/program.h"
#include "galenarelay/standins/store/store_server.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <csignal>

namespace galenarelay::standins::store {

namespace {

common::ProgramInfo programInfo() {
  using common::SettingKind;
  constexpr double MaxRate = 1'000'000;
  return {"standin-store",
          "Key-value store with compare-and-swap, leases and watches, for tests and demos.",
          {{"store", "address", SettingKind::Address, std::nullopt, 0, 0,
            "address to listen on; port 0 takes a free port"},
           {"store", "reads_per_second", SettingKind::Integer, "2000", 1, MaxRate,
            "reads answered per second"},
           {"store", "writes_per_second", SettingKind::Integer, "500", 1, MaxRate,
            "writes answered per second"}}};
}

common::Result<int> run(const common::Settings &Settings) {
  boost::asio::io_context Io;
  const StoreLimits Limits{Settings.real("store", "reads_per_second"),
                           Settings.real("store", "writes_per_second")};
  StoreServer Server(Io, Settings.endpoint("store", "address"), Limits);
  common::log(common::LogLevel::Info, "listening", {{"address", common::toString(Server.local())}});
  boost::asio::signal_set Signals(Io, SIGINT, SIGTERM);
  Signals.async_wait([&](boost::system::error_code, int) {
    Server.close();
    Io.stop();
  });
  Io.run();
  common::log(common::LogLevel::Info, "stopped");
  return 0;
}

} // namespace

} // namespace galenarelay::standins::store

int main(int ArgumentCount, char **Arguments) {
  using namespace galenarelay;
  return common::runProgram(standins::store::programInfo(), ArgumentCount, Arguments,
                            standins::store::run);
}
