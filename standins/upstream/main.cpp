#include "galenarelay/common/log.h"
#include "galenarelay/common/program.h"
#include "galenarelay/standins/upstream/upstream_server.h"

#include <boost/asio/signal_set.hpp>

#include <csignal>

using namespace galenarelay;
using common::SettingKind;
using common::Settings;

namespace {

common::ProgramInfo programInfo() {
  return {"standin-upstream",
          "HTTP upstream with slots, drain, load shedding and a record of each run",
          {{"upstream", "address", SettingKind::Address, "127.0.0.1:0", 0, 0, "listening address"},
           {"upstream", "slots", SettingKind::Integer, "5", 1, 1024, "requests run at a time"},
           {"upstream", "work_ms", SettingKind::Integer, "0", 0, 3'600'000,
            "work of an order or upload without ?work_ms="},
           {"upstream", "status_ms", SettingKind::Integer, "0", 0, 3'600'000, "work of /status"},
           {"upstream", "cold_start_ms", SettingKind::Integer, "0", 0, 3'600'000,
            "length of the cold start"},
           {"upstream", "cold_factor", SettingKind::Real, "1", 1, 1000,
            "work takes this many times as long in the cold start"}}};
}

common::Result<int> run(const Settings &Values) {
  standins::upstream::Behaviour Initial;
  Initial.Slots = static_cast<std::uint32_t>(Values.integer("upstream", "slots"));
  Initial.WorkMs = static_cast<std::uint32_t>(Values.integer("upstream", "work_ms"));
  Initial.StatusMs = static_cast<std::uint32_t>(Values.integer("upstream", "status_ms"));
  Initial.ColdStartMs = static_cast<std::uint32_t>(Values.integer("upstream", "cold_start_ms"));
  Initial.ColdFactor = Values.real("upstream", "cold_factor");
  boost::asio::io_context Io(1);
  standins::upstream::UpstreamServer Server(Io, Values.endpoint("upstream", "address"), Initial);
  boost::asio::signal_set Signals(Io, SIGTERM, SIGINT);
  Signals.async_wait([&](const auto &, int) { Io.stop(); });
  common::log(common::LogLevel::Info, "listening", {{"address", common::toString(Server.local())}});
  Io.run();
  return 0;
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  return common::runProgram(programInfo(), ArgumentCount, Arguments, run);
}
