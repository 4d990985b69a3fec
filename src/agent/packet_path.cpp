#include "galenarelay/agent/packet_path.h"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace galenarelay::agent {

namespace asio = boost::asio;
using common::Endpoint;
using common::steadyNow;
using common::TimePoint;
using packet::FlowKey;

PacketPath::PacketPath(asio::io_context &Io, PacketPathOptions Wanted, FlowContext Shared,
                       flow::UpstreamChooser Choose, common::Metrics &Metrics)
    : Io(Io), Options(std::move(Wanted)), Context(std::move(Shared)), Random(Options.Seed),
      Socket(Io, Options.Data,
             [this](std::span<const std::uint8_t> Bytes, Endpoint) { onDatagram(Bytes); }),
      Router(
          Options.SelfId, std::move(Choose),
          [this](const packet::RouteView &Route) { return fits(Route); }, Options.Seed),
      Timer(Io), Received(Metrics.counter("packets_total", "Packets", {{"path", "received"}})),
      Forwarded(Metrics.counter("packets_total", "Packets", {{"path", "forwarded"}})),
      Answered(Metrics.counter("packets_total", "Packets", {{"path", "to_caller"}})),
      Accepted(Metrics.counter("flows_accepted_total", "Flows opened here")),
      Open(Metrics.gauge("flows_open", "Flows served here")), Metrics(Metrics) {
  Context.Touch = [this](const FlowKey &Key) { touch(Key); };
}

PacketPath::~PacketPath() = default;

nlohmann::json PacketPath::describeFlows(std::size_t Limit) const {
  nlohmann::json List = nlohmann::json::array();
  for (const auto &[Key, Known] : Flows) {
    if (List.size() >= Limit)
      break;
    List.push_back(Known.Connection->describe());
  }
  return {{"open", Flows.size()}, {"handed_off", Router.handedOffFlows()}, {"flows", List}};
}

nlohmann::json PacketPath::explain(const FlowKey &Key) const {
  nlohmann::json Document = Router.explain(Key);
  const auto Known = Flows.find(Key);
  if (Known != Flows.end())
    Document["served_here"] = Known->second.Connection->describe();
  return Document;
}

bool PacketPath::fits(const packet::RouteView &Route) const {
  const auto Known = Flows.find(Route.Key);
  return Known != Flows.end() && Known->second.Connection->fits(Route);
}

void PacketPath::onDatagram(std::span<const std::uint8_t> Bytes) {
  Received.Increment();
  endReusedFlow(Bytes);
  apply(Router.onPacket(Bytes, steadyNow()));
}

// A caller may reuse its port while the closed flow still lingers (RFC 9293, section 3.6.1); its
// new SYN must not wait for the end of the linger time. A repeated SYN of the old flow fits the
// stream.
void PacketPath::endReusedFlow(std::span<const std::uint8_t> Bytes) {
  const auto Header = packet::readRoute(Bytes);
  if (!Header || !Header->Bits.Syn)
    return;
  const auto Known = Flows.find(Header->Key);
  if (Known == Flows.end())
    return;
  const FlowConnection &Old = *Known->second.Connection;
  if (Old.closed() && !Old.fits(*Header))
    remove(Header->Key);
}

void PacketPath::onControl(const nlohmann::json &Message, Endpoint From) {
  apply(Router.onControl(Message, From, steadyNow()));
}

void PacketPath::onViewChange(const std::shared_ptr<const routing::RoutingView> &View) {
  apply(Router.onViewChange(View, steadyNow()));
}

void PacketPath::drain() {
  Draining = true;
  Router.refuseNewFlows();
  drainFlows();
}

void PacketPath::drainFlows() {
  for (const auto &[Key, Known] : Flows) {
    Known.Connection->drain();
    touch(Key);
  }
}

void PacketPath::stop() {
  Timer.cancel();
  Socket.close();
  Flows.clear();
}

void PacketPath::apply(const std::vector<flow::Action> &Actions) {
  for (const flow::Action &Made : Actions)
    std::visit([this](const auto &Known) { apply(Known); }, Made);
  armTimer();
}

void PacketPath::apply(const flow::AcceptFlow &Action) {
  const auto Syn = common::capture([&] { return packet::parseFromCaller(Action.Packet); });
  if (!Syn)
    return;
  auto Stream = flow::Stream::accept(*Syn, static_cast<std::uint32_t>(Random()), steadyNow());
  Entry Opened;
  Opened.Connection = std::make_shared<FlowConnection>(Context, Action.Service, std::move(Stream));
  if (Draining)
    Opened.Connection->drain();
  forget(Action.Key);
  Flows.emplace(Action.Key, std::move(Opened));
  Accepted.Increment();
  Open.Set(static_cast<double>(Flows.size()));
  touch(Action.Key);
}

void PacketPath::apply(const flow::DeliverPacket &Action) { deliver(Action.Key, Action.Packet); }

void PacketPath::deliver(const FlowKey &Key, std::span<const std::uint8_t> Bytes) {
  const auto Known = Flows.find(Key);
  const auto Parsed = common::capture([&] { return packet::parseFromCaller(Bytes); });
  if (Known == Flows.end() || !Parsed)
    return;
  Known->second.Connection->onPacket(*Parsed, steadyNow());
  touch(Key);
}

void PacketPath::apply(const flow::ForwardPacket &Action) {
  Forwarded.Increment();
  Socket.send(Action.Packet, Action.Data);
}

void PacketPath::apply(const flow::SendToCaller &Action) { send(Action.Answer); }

void PacketPath::apply(const flow::SendControl &Action) {
  if (SendControl)
    SendControl(Action.Control, Action.Message);
}

void PacketPath::apply(const flow::CountDrop &Action) {
  Metrics
      .counter("packets_dropped_total", "Packets dropped",
               {{"reason", std::string(common::name(Action.Reason))}})
      .Increment();
}

void PacketPath::send(const packet::Packet &Packet) {
  Answered.Increment();
  Socket.send(packet::serialize(Packet), Options.Return);
}

void PacketPath::touch(const FlowKey &Key) {
  Touched.insert(Key);
  if (AdvanceScheduled)
    return;
  AdvanceScheduled = true;
  asio::post(Io, [this] { advanceTouched(); });
}

void PacketPath::advanceTouched() {
  AdvanceScheduled = false;
  const std::set<FlowKey> Keys = std::exchange(Touched, {});
  for (const FlowKey &Key : Keys)
    advance(Key);
  armTimer();
}

void PacketPath::advance(const FlowKey &Key) {
  const auto Known = Flows.find(Key);
  if (Known == Flows.end())
    return;
  const auto Connection = Known->second.Connection;
  for (const packet::Packet &Packet : Connection->advance(steadyNow()))
    send(Packet);
  if (Connection->finished())
    remove(Key);
  else
    updateTimer(Key, Known->second);
}

void PacketPath::updateTimer(const FlowKey &Key, Entry &Known) {
  const auto Next = Known.Connection->nextTimer();
  if (Next == Known.Timer)
    return;
  if (Known.Timer)
    Timers.erase({*Known.Timer, Key});
  Known.Timer = Next;
  if (Next)
    Timers.emplace(*Next, Key);
}

bool PacketPath::forget(const FlowKey &Key) {
  const auto Known = Flows.find(Key);
  if (Known == Flows.end())
    return false;
  if (Known->second.Timer)
    Timers.erase({*Known->second.Timer, Key});
  Known->second.Connection->discard();
  Flows.erase(Known);
  Open.Set(static_cast<double>(Flows.size()));
  return true;
}

void PacketPath::remove(const FlowKey &Key) {
  if (!forget(Key))
    return;
  apply(Router.onFlowEnded(Key, steadyNow()));
  if (FlowsChanged)
    FlowsChanged();
}

void PacketPath::armTimer() {
  auto Next = Router.nextTimer();
  if (!Timers.empty() && (!Next || Timers.begin()->first < *Next))
    Next = Timers.begin()->first;
  // A timer that is set too early only looks again, which is cheaper than setting it per packet.
  if (!Next || (ArmedFor && *ArmedFor <= *Next))
    return;
  ArmedFor = Next;
  Timer.expires_at(std::chrono::steady_clock::time_point(Next->time_since_epoch()));
  Timer.async_wait([this](const auto &Failure) {
    if (!Failure)
      onTimer();
  });
}

void PacketPath::onTimer() {
  ArmedFor.reset();
  const TimePoint Now = steadyNow();
  std::vector<FlowKey> Due;
  while (!Timers.empty() && Timers.begin()->first <= Now) {
    Due.push_back(Timers.begin()->second);
    Timers.erase(Timers.begin());
    Flows.at(Due.back()).Timer.reset();
  }
  for (const FlowKey &Key : Due) {
    const auto Known = Flows.find(Key);
    if (Known == Flows.end())
      continue;
    Known->second.Connection->onTimer(Now);
    advance(Key);
  }
  apply(Router.onTimer(Now));
  // Their callers never acknowledged them: another agent may serve these flows.
  for (const FlowKey &Key : Router.takeExpired())
    remove(Key);
}

} // namespace galenarelay::agent
