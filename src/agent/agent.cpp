#include "galenarelay/agent/agent.h"

#include "galenarelay/agent/admin_routes.h"
#include "galenarelay/agent/claim_desk.h"
#include "galenarelay/agent/dispatcher.h"
#include "galenarelay/agent/lifecycle.h"
#include "galenarelay/agent/load_reporter.h"
#include "galenarelay/agent/packet_path.h"
#include "galenarelay/agent/upstream_monitor.h"
#include "galenarelay/common/hash.h"
#include "galenarelay/node/node.h"

namespace galenarelay::agent {

namespace asio = boost::asio;
using common::Duration;
using common::Endpoint;

namespace {

/// Request deadline for a flow whose service has been removed from the configuration.
constexpr Duration DefaultDeadline = std::chrono::seconds(10);

/// Returns a seed that differs between agents with the same configured seed. If two agents open the
/// same flow at the same time, only their random initial sequence numbers tell the streams apart.
std::uint64_t seedOf(const AgentOptions &Options) {
  return common::hash64(Options.Node.Self.Id, Options.Node.Seed);
}

schedule::SchedulerOptions schedulerOptions(const AgentOptions &Options, std::uint64_t Seed) {
  schedule::SchedulerOptions Result;
  Result.Slots = Options.Slots;
  Result.Seed = Seed;
  return Result;
}

node::NodeOptions nodeOptions(const AgentOptions &Options, Endpoint Data, std::uint64_t Seed) {
  node::NodeOptions Result = Options.Node;
  Result.Self.Kind = membership::MemberKind::Agent;
  Result.Self.Data = Data;
  Result.Self.Upstream = Options.Upstream;
  Result.Self.Slots = Options.Slots;
  Result.Self.State = membership::MemberState::Joining;
  Result.Seed = Seed;
  return Result;
}

} // namespace

struct Agent::State {
  State(asio::io_context &Io, const AgentOptions &Options, common::Metrics &Metrics)
      : Seed(seedOf(Options)), RequestDispatcher(Io, Options.Upstream, Options.Node.Self.Id,
                                                 schedulerOptions(Options, Seed), Metrics),
        Packets(
            Io, {Options.Node.Self.Id, Options.Node.Self.Data, Options.CallerReturnAddress, Seed},
            FlowContext{RequestDispatcher,
                        [this](const std::string &Name) { return deadlineOf(Name); },
                        {}},
            [this](const routing::ServiceRoute &Route, const std::string &Self,
                   common::TimePoint Now) { return Reports.choose(Route, Self, Now); },
            Metrics),
        Node(Io, nodeOptions(Options, Packets.local(), Seed), Metrics),
        Reports(Io, Node, RequestDispatcher, Seed), Claims(Io, Node, RequestDispatcher),
        UpstreamLifecycle(
            Io, Options.LifecycleChart, Node, Packets, [this] { return Claims.busy(); },
            [this] { onStopped(); }),
        Monitor(Io, Options.Upstream,
                [this](UpstreamState Health) { UpstreamLifecycle.onUpstreamState(Health); }) {
    connectControl();
    addAdminRoutes(Node, RequestDispatcher, Packets, UpstreamLifecycle);
    RequestDispatcher.setResultListener(
        [this](schedule::Completion Outcome) { Monitor.onResult(Outcome); });
  }

  void connectControl() {
    Packets.setControlSender(
        [this](Endpoint To, const nlohmann::json &Message) { Node.sendControl(To, Message); });
    for (const char *Type :
         {"locate", "found", "notfound", "register", "adopt", "adopted", "declined"})
      Node.onControl(Type, [this](const nlohmann::json &Message, Endpoint From) {
        Packets.onControl(Message, From);
      });
    Node.onViewChange([this] {
      Packets.onViewChange(Node.view());
      Claims.onViewChange(Node.view());
      Reports.onViewChange();
      UpstreamLifecycle.announceResidualServices();
    });
    Packets.onFlowEnded([this] { UpstreamLifecycle.announceResidualServices(); });
  }

  Duration deadlineOf(const std::string &Name) const {
    const auto *const Route = Node.view()->service(Name);
    return Route == nullptr ? DefaultDeadline : Route->Definition.DefaultDeadline;
  }

  void onStopped() {
    Monitor.stop();
    Reports.stop();
    Claims.stop();
    Packets.stop();
    RequestDispatcher.stop();
    Node.stop();
    StoppedCallback();
  }

  std::uint64_t Seed;
  Dispatcher RequestDispatcher;
  PacketPath Packets;
  node::Node Node;
  LoadReporter Reports;
  ClaimCoordinator Claims;
  Lifecycle UpstreamLifecycle;
  UpstreamMonitor Monitor;
  std::function<void()> StoppedCallback;
};

Agent::Agent(asio::io_context &Io, const AgentOptions &Options, common::Metrics &Metrics)
    : Impl(std::make_unique<State>(Io, Options, Metrics)) {}

Agent::~Agent() = default;

const membership::Member &Agent::self() const noexcept { return Impl->Node.self(); }

void Agent::start() {
  Impl->Node.start();
  Impl->Packets.onViewChange(Impl->Node.view());
  Impl->Claims.onViewChange(Impl->Node.view());
  Impl->Reports.start();
  Impl->Monitor.start();
}

void Agent::stop(std::function<void()> OnStopped) {
  Impl->StoppedCallback = std::move(OnStopped);
  Impl->UpstreamLifecycle.stop();
}

} // namespace galenarelay::agent
