#include "galenarelay/agent/agent.h"
#include "galenarelay/common/log.h"
#include "galenarelay/common/program.h"
#include "galenarelay/node/node_settings.h"
#include "galenarelay/statechart/charts.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <csignal>

namespace galenarelay {

namespace {

using common::SettingKind;

common::ProgramInfo programInfo() {
  const std::vector<common::SettingRule> OwnRules = {
      {"node", "charts", SettingKind::Text, "charts", 0, 0, "folder of the statechart files"},
      {"upstream", "address", SettingKind::Address, std::nullopt, 0, 0, "address of the upstream"},
      {"upstream", "slots", SettingKind::Integer, "5", 1, 1024,
       "requests that the upstream runs at a time"},
      {"fabric", "return", SettingKind::Address, std::nullopt, 0, 0,
       "UDP address of the fabric for packets to callers"}};
  std::vector<common::SettingRule> Rules = node::nodeSettingRules();
  Rules.insert(Rules.end(), OwnRules.begin(), OwnRules.end());
  return {"galenarelay-agent", "Serves flows beside an upstream and runs their requests on it.",
          std::move(Rules)};
}

common::Result<agent::AgentOptions> agentOptions(const common::Settings &From) {
  agent::AgentOptions Options;
  Options.Node = node::nodeOptionsFrom(From);
  Options.Upstream = From.endpoint("upstream", "address");
  Options.Slots = static_cast<std::uint32_t>(From.integer("upstream", "slots"));
  Options.CallerReturnAddress = From.endpoint("fabric", "return");
  BOOST_LEAF_AUTO(Chart, statechart::loadChart(From.text("node", "charts") + "/upstream.json",
                                               statechart::UpstreamChart::vocabulary()));
  Options.LifecycleChart = std::make_shared<const statechart::ChartTable>(std::move(Chart));
  return Options;
}

common::Result<int> run(const common::Settings &Settings) {
  BOOST_LEAF_AUTO(Options, agentOptions(Settings));
  boost::asio::io_context Io(1);
  common::Metrics Metrics;
  agent::Agent Agent(Io, Options, Metrics);
  Agent.start();
  boost::asio::signal_set Signals(Io, SIGINT, SIGTERM);
  Signals.async_wait([&](const boost::system::error_code &Failure, int) {
    if (!Failure)
      Agent.stop([&] { Io.stop(); });
  });
  const membership::Member &Self = Agent.self();
  common::log(common::LogLevel::Info, "listening",
              {{"data", common::toString(Self.Data)},
               {"control", common::toString(Self.Control)},
               {"admin", common::toString(Self.Admin)}});
  Io.run();
  return static_cast<int>(common::ResultCode::Ok);
}

} // namespace

} // namespace galenarelay

int main(int ArgumentCount, char **Arguments) {
  using namespace galenarelay;
  return common::runProgram(programInfo(), ArgumentCount, Arguments, run);
}
