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

/// Deadline of a service that has left the configuration while a flow of it is still served.
constexpr Duration DefaultDeadline = std::chrono::seconds(10);

/// Agents that share a setting must still draw different numbers: a flow that two agents open at
/// the same time is told apart by its initial sequence number.
std::uint64_t seedOf(const AgentOptions &Options) {
  return common::hash64(Options.Node.Self.Id, Options.Node.Seed);
}

schedule::SchedulerOptions schedulerOptions(const AgentOptions &Options, std::uint64_t Seed) {
  schedule::SchedulerOptions Made;
  Made.Slots = Options.Slots;
  Made.Seed = Seed;
  return Made;
}

node::NodeOptions nodeOptions(const AgentOptions &Options, Endpoint Data, std::uint64_t Seed) {
  node::NodeOptions Made = Options.Node;
  Made.Self.Kind = membership::MemberKind::Agent;
  Made.Self.Data = Data;
  Made.Self.Upstream = Options.Upstream;
  Made.Self.Slots = Options.Slots;
  Made.Self.State = membership::MemberState::Joining;
  Made.Seed = Seed;
  return Made;
}

} // namespace

struct Agent::State {
  State(asio::io_context &Io, const AgentOptions &Options, common::Metrics &Metrics)
      : Seed(seedOf(Options)), Requests(Io, Options.Upstream, Options.Node.Self.Id,
                                        schedulerOptions(Options, Seed), Metrics),
        Packets(
            Io, {Options.Node.Self.Id, Options.Node.Self.Data, Options.Return, Seed},
            FlowContext{Requests, [this](const std::string &Name) { return deadlineOf(Name); }, {}},
            [this](const routing::ServiceRoute &Route, const std::string &Self,
                   common::TimePoint Now) { return Reports.choose(Route, Self, Now); },
            Metrics),
        Node(Io, nodeOptions(Options, Packets.local(), Seed), Metrics),
        Reports(Io, Node, Requests, Seed), Claims(Io, Node, Requests),
        Life(
            Io, Options.LifecycleChart, Node, Packets, [this] { return Claims.busy(); },
            [this] { onLeft(); }),
        Monitor(Io, Options.Upstream, [this](UpstreamState Judged) { Life.onUpstream(Judged); }) {
    connectControl();
    addAdminRoutes(Node, Requests, Packets, Life);
    Requests.onResult([this](schedule::Completion How) { Monitor.onResult(How); });
  }

  void connectControl() {
    Packets.onSendControl(
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
      Life.refreshResidual();
    });
    Packets.onFlowsChange([this] { Life.refreshResidual(); });
  }

  Duration deadlineOf(const std::string &Name) const {
    const auto *const Route = Node.view()->service(Name);
    return Route == nullptr ? DefaultDeadline : Route->Definition.Deadline;
  }

  void onLeft() {
    Monitor.stop();
    Reports.stop();
    Claims.stop();
    Packets.stop();
    Requests.stop();
    Node.stop();
    Left();
  }

  std::uint64_t Seed;
  Dispatcher Requests;
  PacketPath Packets;
  node::Node Node;
  LoadReporter Reports;
  ClaimDesk Claims;
  Lifecycle Life;
  UpstreamMonitor Monitor;
  std::function<void()> Left;
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

void Agent::stop(std::function<void()> Left) {
  Impl->Left = std::move(Left);
  Impl->Life.stop();
}

} // namespace galenarelay::agent
