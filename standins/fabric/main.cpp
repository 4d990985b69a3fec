#include "galenarelay/common/log.h"
#include "galenarelay/common/program.h"
#include "galenarelay/standins/fabric/fabric.h"

#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <limits>

namespace galenarelay::standins::fabric {

namespace {

common::ProgramInfo programInfo() {
  using common::SettingKind;
  constexpr double MaxSeed = std::numeric_limits<std::int32_t>::max();
  constexpr double MaxDelayMs = 60'000;
  return {"standin-fabric",
          "Network fabric that sprays the packets of real TCP clients over balancers.",
          {{"fabric", "return", SettingKind::Address, std::nullopt, 0, 0,
            "UDP address for packets from agents; port 0 takes a free port"},
           {"fabric", "admin", SettingKind::Address, std::nullopt, 0, 0, "HTTP address"},
           {"fabric", "seed", SettingKind::Integer, "1", 0, MaxSeed, "seed of all random choices"},
           {"services", "addresses", SettingKind::AddressList, "", 0, 0,
            "addresses on which clients reach the services"},
           {"balancers", "addresses", SettingKind::AddressList, "", 0, 0,
            "data addresses of the balancers"},
           {"faults", "loss", SettingKind::Real, "0", 0, 1, "probability per packet"},
           {"faults", "duplicate", SettingKind::Real, "0", 0, 1, "probability per packet"},
           {"faults", "reorder", SettingKind::Real, "0", 0, 1, "probability per packet"},
           {"faults", "delay_ms", SettingKind::Integer, "0", 0, MaxDelayMs,
            "delay of every packet in milliseconds"}}};
}

FabricOptions optionsFrom(const common::Settings &Settings) {
  FabricOptions Options;
  Options.Return = Settings.endpoint("fabric", "return");
  Options.Admin = Settings.endpoint("fabric", "admin");
  Options.Seed = static_cast<std::uint64_t>(Settings.integer("fabric", "seed"));
  Options.Services = Settings.endpoints("services", "addresses");
  Options.Balancers = Settings.endpoints("balancers", "addresses");
  Options.Rules = {Settings.real("faults", "loss"), Settings.real("faults", "duplicate"),
                   Settings.real("faults", "reorder"),
                   std::chrono::milliseconds(Settings.integer("faults", "delay_ms"))};
  return Options;
}

common::Result<int> run(const common::Settings &Settings) {
  boost::asio::io_context Io;
  common::Metrics Metrics;
  Fabric Running(Io, optionsFrom(Settings), Metrics);
  std::vector<std::string> Services;
  for (const common::Endpoint &Each : Running.services())
    Services.push_back(common::toString(Each));
  common::log(common::LogLevel::Info, "listening",
              {{"return", common::toString(Running.returnAddress())},
               {"admin", common::toString(Running.admin())},
               {"services", Services}});
  boost::asio::signal_set Signals(Io, SIGINT, SIGTERM);
  Signals.async_wait([&](boost::system::error_code, int) {
    Running.close();
    Io.stop();
  });
  Io.run();
  common::log(common::LogLevel::Info, "stopped");
  return 0;
}

} // namespace

} // namespace galenarelay::standins::fabric

int main(int ArgumentCount, char **Arguments) {
  using namespace galenarelay;
  return common::runProgram(standins::fabric::programInfo(), ArgumentCount, Arguments,
                            standins::fabric::run);
}
