#include "galenarelay/agent/packet_path.h"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace galenarelay::agent {

namespace asio = boost::asio;
using common::Endpoint;
using common::steadyNow;
using common::TimePoint;
using packet::FlowKey;

PacketPath::PacketPath(asio::io_context &Io, PacketPathOptions InitialOptions,
                       FlowContext InitialContext, flow::UpstreamChooser Choose,
                       common::Metrics &Metrics)
    : Io(Io), Options(std::move(InitialOptions)), Context(std::move(InitialContext)),
      Random(Options.Seed),
      Socket(Io, Options.Data,
             [this](std::span<const std::uint8_t> Bytes, Endpoint) { onDatagram(Bytes); }),
      Router(
          Options.SelfId, std::move(Choose),
          [this](const packet::RouteView &Route) { return matches(Route); }, Options.Seed),
      Timer(Io),
      PacketsReceived(Metrics.counter("packets_total", "Packets", {{"path", "received"}})),
      PacketsForwarded(Metrics.counter("packets_total", "Packets", {{"path", "forwarded"}})),
      PacketsToCallers(Metrics.counter("packets_total", "Packets", {{"path", "to_caller"}})),
      FlowsAccepted(Metrics.counter("flows_accepted_total", "Flows opened here")),
      FlowsMovedAway(Metrics.counter("flows_moved_total", "Flows given to another agent")),
      FlowsAdopted(Metrics.counter("flows_adopted_total", "Flows taken from another agent")),
      FlowsOpen(Metrics.gauge("flows_open", "Flows served here")), Metrics(Metrics) {
  Context.ScheduleAdvance = [this](const FlowKey &Key) { scheduleAdvance(Key); };
}

PacketPath::~PacketPath() = default;

nlohmann::json PacketPath::describeFlows(std::size_t Limit) const {
  nlohmann::json List = nlohmann::json::array();
  for (const auto &[Key, Flow] : Flows) {
    if (List.size() >= Limit)
      break;
    List.push_back(Flow.Connection->describe());
  }
  return {{"open", Flows.size()}, {"handed_off", Router.handedOffFlows()}, {"flows", List}};
}

nlohmann::json PacketPath::explainRoute(const FlowKey &Key) const {
  nlohmann::json Document = Router.explainRoute(Key);
  const auto Flow = Flows.find(Key);
  if (Flow != Flows.end())
    Document["served_here"] = Flow->second.Connection->describe();
  return Document;
}

bool PacketPath::matches(const packet::RouteView &Route) const {
  const auto Flow = Flows.find(Route.Key);
  return Flow != Flows.end() && Flow->second.Connection->matches(Route);
}

void PacketPath::onDatagram(std::span<const std::uint8_t> Bytes) {
  PacketsReceived.Increment();
  endReusedFlow(Bytes);
  apply(Router.onPacket(Bytes, steadyNow()));
}

// A caller may reuse its port while the closed flow still lingers (RFC 9293, section 3.6.1). Its
// new SYN must not wait for the end of the linger time. A retransmitted SYN of the old flow matches
// the existing stream and is left to it.
void PacketPath::endReusedFlow(std::span<const std::uint8_t> Bytes) {
  const auto Header = packet::readRoute(Bytes);
  if (!Header || !Header->Bits.Syn)
    return;
  const auto Flow = Flows.find(Header->Key);
  if (Flow == Flows.end())
    return;
  const FlowConnection &Existing = *Flow->second.Connection;
  if (Existing.closed() && !Existing.matches(*Header))
    endFlow(Header->Key);
}

void PacketPath::onControl(const nlohmann::json &Message, Endpoint From) {
  const auto Type = Message.value("t", std::string());
  if (Type == "adopt")
    return onOffer(Message, From);
  if (Type == "adopted" || Type == "declined")
    return onOfferAnswer(Message);
  apply(Router.onControl(Message, From, steadyNow()));
}

void PacketPath::onViewChange(const std::shared_ptr<const routing::RoutingView> &View) {
  apply(Router.onViewChange(View, steadyNow()));
  // The target may have adopted the flow before it was declared dead, and may even be alive. If the
  // flow continued here, a request among the moved bytes could run twice, so it is reset.
  for (const FlowKey &Key : Mover.takeAbandonedMoves(*View)) {
    const auto Flow = Flows.find(Key);
    if (Flow == Flows.end())
      continue;
    Flow->second.Connection->abort();
    scheduleAdvance(Key);
  }
  updateMovingFlows();
}

void PacketPath::drain() {
  Draining = true;
  Router.refuseNewFlows();
  moveOrDrainFlows();
}

void PacketPath::moveOrDrainFlows() {
  EndUnmovableFlows = true;
  updateMovingFlows();
}

void PacketPath::updateMovingFlows() {
  for (const auto &[Key, Flow] : Flows) {
    updateMoving(*Flow.Connection);
    scheduleAdvance(Key);
  }
}

// An agent that is not a candidate for a service (because it is leaving, was relabelled or lost its
// upstream) finishes the running requests and moves idle flows to other agents, which run the
// requests that have not begun.
void PacketPath::updateMoving(FlowConnection &Connection) {
  const std::string &Service = Connection.service();
  const bool MayServe = Router.mayServe(Service);
  const bool Movable = !MayServe && Router.hasOtherCandidate(Service);
  Connection.setMoving(Movable);
  if (!MayServe && !Movable && EndUnmovableFlows)
    Connection.drain();
}

void PacketPath::tryMove(const FlowKey &Key, FlowConnection &Connection) {
  auto Stream = Connection.streamToMove();
  const TimePoint Now = steadyNow();
  if (!Stream || !Mover.takeMoveToken(Key, Now))
    return;
  const membership::Member *Target = Router.chooseMoveTarget(Connection.service(), Now);
  if (Target == nullptr)
    return Mover.postpone(Key, Now);
  apply(Mover.beginMove({Connection.service(), std::move(*Stream)}, *Target, Now));
}

void PacketPath::onOffer(const nlohmann::json &Message, Endpoint From) {
  const auto Offer = common::capture([&] { return offerFromMessage(Message); });
  if (!Offer)
    return apply(flow::CountDrop{Offer.Failure.Code});
  const bool Accepted = adopt(*Offer);
  apply(flow::SendControl{From, offerAnswer(Offer->Stream.Key, Options.SelfId, Accepted)});
}

bool PacketPath::adopt(const FlowOffer &Offer) {
  const FlowKey &Key = Offer.Stream.Key;
  const auto Flow = Flows.find(Key);
  // The offer is repeated if the first answer was lost; it gets the same answer again.
  if (Flow != Flows.end())
    return Flow->second.Connection->sameInitialSequenceNumbers(Offer.Stream);
  const TimePoint Now = steadyNow();
  if (!Router.adoptFlow(Key, Offer.Service, Now))
    return false;
  addFlow(Key, Offer.Service, flow::Stream::resume(Offer.Stream, Now));
  FlowsAdopted.Increment();
  armTimer();
  return true;
}

void PacketPath::onOfferAnswer(const nlohmann::json &Message) {
  const auto Key =
      common::capture([&] { return packet::parseFlowKey(Message.value("flow", std::string())); });
  if (!Key)
    return apply(flow::CountDrop{common::ResultCode::MessageMalformed});
  const auto Owner = Message.value("owner", std::string());
  if (!Mover.endMove(*Key, Owner))
    return;
  if (Message.value("t", std::string()) == "declined") {
    Mover.postpone(*Key, steadyNow());
    return scheduleAdvance(*Key);
  }
  Router.moveFlow(*Key, Owner, steadyNow());
  FlowsMovedAway.Increment();
  if (discardFlow(*Key) && FlowEndedCallback)
    FlowEndedCallback();
}

void PacketPath::runMoves(TimePoint Now) {
  for (const flow::SendControl &Message : Mover.onTimer(Now))
    apply(Message);
  for (const FlowKey &Key : Mover.takeRetriesDue(Now))
    scheduleAdvance(Key);
}

void PacketPath::stop() {
  Timer.cancel();
  Socket.close();
  Flows.clear();
}

void PacketPath::apply(const std::vector<flow::Action> &Actions) {
  for (const flow::Action &Action : Actions)
    std::visit([this](const auto &Alternative) { apply(Alternative); }, Action);
  armTimer();
}

void PacketPath::apply(const flow::AcceptFlow &Action) {
  const auto Syn = common::capture([&] { return packet::parseFromCaller(Action.Packet); });
  if (!Syn)
    return;
  addFlow(Action.Key, Action.Service,
          flow::Stream::accept(*Syn, static_cast<std::uint32_t>(Random()), steadyNow()));
  FlowsAccepted.Increment();
}

void PacketPath::addFlow(const FlowKey &Key, const config::ServiceName &Service,
                         flow::Stream Stream) {
  ServedFlow Flow;
  Flow.Connection = std::make_shared<FlowConnection>(Context, Service, std::move(Stream));
  updateMoving(*Flow.Connection);
  discardFlow(Key);
  Flows.emplace(Key, std::move(Flow));
  FlowsOpen.Set(static_cast<double>(Flows.size()));
  scheduleAdvance(Key);
}

void PacketPath::apply(const flow::DeliverPacket &Action) { deliver(Action.Key, Action.Packet); }

void PacketPath::deliver(const FlowKey &Key, std::span<const std::uint8_t> Bytes) {
  const auto Flow = Flows.find(Key);
  const auto Parsed = common::capture([&] { return packet::parseFromCaller(Bytes); });
  if (Flow == Flows.end() || !Parsed || Mover.moving(Key))
    return;
  Flow->second.Connection->onPacket(*Parsed, steadyNow());
  scheduleAdvance(Key);
}

void PacketPath::apply(const flow::ForwardPacket &Action) {
  PacketsForwarded.Increment();
  Socket.send(Action.Packet, Action.Data);
}

void PacketPath::apply(const flow::SendReset &Action) { send(Action.Reset); }

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
  PacketsToCallers.Increment();
  Socket.send(packet::serialize(Packet), Options.CallerReturnAddress);
}

void PacketPath::scheduleAdvance(const FlowKey &Key) {
  PendingAdvances.insert(Key);
  if (AdvancePosted)
    return;
  AdvancePosted = true;
  asio::post(Io, [this] { advancePending(); });
}

void PacketPath::advancePending() {
  AdvancePosted = false;
  const std::set<FlowKey> Keys = std::exchange(PendingAdvances, {});
  for (const FlowKey &Key : Keys)
    advance(Key);
  armTimer();
}

void PacketPath::advance(const FlowKey &Key) {
  const auto Flow = Flows.find(Key);
  if (Flow == Flows.end() || Mover.moving(Key))
    return;
  const auto Connection = Flow->second.Connection;
  for (const packet::Packet &Packet : Connection->advance(steadyNow()))
    send(Packet);
  if (Connection->finished())
    return endFlow(Key);
  updateTimer(Key, Flow->second);
  tryMove(Key, *Connection);
}

void PacketPath::updateTimer(const FlowKey &Key, ServedFlow &Flow) {
  const auto Next = Flow.Connection->nextTimer();
  if (Next == Flow.NextTimer)
    return;
  if (Flow.NextTimer)
    FlowTimers.erase({*Flow.NextTimer, Key});
  Flow.NextTimer = Next;
  if (Next)
    FlowTimers.emplace(*Next, Key);
}

bool PacketPath::discardFlow(const FlowKey &Key) {
  const auto Flow = Flows.find(Key);
  if (Flow == Flows.end())
    return false;
  if (Flow->second.NextTimer)
    FlowTimers.erase({*Flow->second.NextTimer, Key});
  Flow->second.Connection->discard();
  Flows.erase(Flow);
  FlowsOpen.Set(static_cast<double>(Flows.size()));
  return true;
}

void PacketPath::endFlow(const FlowKey &Key) {
  if (!discardFlow(Key))
    return;
  apply(Router.onFlowEnded(Key, steadyNow()));
  if (FlowEndedCallback)
    FlowEndedCallback();
}

void PacketPath::armTimer() {
  auto Next = Router.nextTimer();
  if (!FlowTimers.empty() && (!Next || FlowTimers.begin()->first < *Next))
    Next = FlowTimers.begin()->first;
  const auto NextMove = Mover.nextTimer();
  if (NextMove && (!Next || *NextMove < *Next))
    Next = NextMove;
  // A timer that fires too early only checks again and is set anew; that is cheaper than setting it
  // for each packet.
  if (!Next || (TimerDeadline && *TimerDeadline <= *Next))
    return;
  TimerDeadline = Next;
  Timer.expires_at(std::chrono::steady_clock::time_point(Next->time_since_epoch()));
  Timer.async_wait([this](const auto &Error) {
    if (!Error)
      onTimer();
  });
}

void PacketPath::onTimer() {
  TimerDeadline.reset();
  const TimePoint Now = steadyNow();
  std::vector<FlowKey> Due;
  while (!FlowTimers.empty() && FlowTimers.begin()->first <= Now) {
    Due.push_back(FlowTimers.begin()->second);
    FlowTimers.erase(FlowTimers.begin());
    Flows.at(Due.back()).NextTimer.reset();
  }
  for (const FlowKey &Key : Due) {
    const auto Flow = Flows.find(Key);
    if (Flow == Flows.end() || Mover.moving(Key))
      continue;
    Flow->second.Connection->onTimer(Now);
    advance(Key);
  }
  apply(Router.onTimer(Now));
  runMoves(Now);
  // The callers of these flows never acknowledged the SYN-ACK; another agent may own the flows, so
  // they end here without a reset.
  for (const FlowKey &Key : Router.takeExpiredFlows())
    endFlow(Key);
}

} // namespace galenarelay::agent
