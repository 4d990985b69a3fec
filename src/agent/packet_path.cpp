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
      MovedAway(Metrics.counter("flows_moved_total", "Flows given to another agent")),
      Adopted(Metrics.counter("flows_adopted_total", "Flows taken from another agent")),
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
  const auto Type = Message.value("t", std::string());
  if (Type == "adopt")
    return onOffer(Message, From);
  if (Type == "adopted" || Type == "declined")
    return onOfferAnswer(Message);
  apply(Router.onControl(Message, From, steadyNow()));
}

void PacketPath::onViewChange(const std::shared_ptr<const routing::RoutingView> &View) {
  apply(Router.onViewChange(View, steadyNow()));
  // The target may have taken the flow before it was declared dead, and may even live: a request
  // among the moved bytes would run twice if the flow went on here.
  for (const FlowKey &Key : Mover.takeAbandoned(*View)) {
    const auto Known = Flows.find(Key);
    if (Known == Flows.end())
      continue;
    Known->second.Connection->abort();
    touch(Key);
  }
  refreshMoves();
}

void PacketPath::drain() {
  Draining = true;
  Router.refuseNewFlows();
  drainFlows();
}

void PacketPath::drainFlows() {
  Leaving = true;
  refreshMoves();
}

void PacketPath::refreshMoves() {
  for (const auto &[Key, Known] : Flows) {
    refreshMove(*Known.Connection);
    touch(Key);
  }
}

// An agent that is no candidate of a service, because it leaves, was relabelled or lost its
// upstream, keeps what runs and gives idle flows away: a request that has not begun runs elsewhere.
void PacketPath::refreshMove(FlowConnection &Connection) {
  const std::string &Service = Connection.service();
  const bool MayServe = Router.mayServe(Service);
  const bool Movable = !MayServe && Router.hasOtherCandidate(Service);
  Connection.setMoving(Movable);
  if (!MayServe && !Movable && Leaving)
    Connection.drain();
}

void PacketPath::tryMove(const FlowKey &Key, FlowConnection &Connection) {
  auto Stream = Connection.streamToMove();
  const TimePoint Now = steadyNow();
  if (!Stream || !Mover.takeMove(Key, Now))
    return;
  const membership::Member *Target = Router.moveTarget(Connection.service(), Now);
  if (Target == nullptr)
    return Mover.postpone(Key, Now);
  apply(Mover.begin({Connection.service(), std::move(*Stream)}, *Target, Now));
}

void PacketPath::onOffer(const nlohmann::json &Message, Endpoint From) {
  const auto Offer = common::capture([&] { return offerFromMessage(Message); });
  if (!Offer)
    return apply(flow::CountDrop{Offer.Failure.Code});
  const bool Taken = adopt(*Offer);
  apply(flow::SendControl{From, offerAnswer(Offer->Stream.Key, Options.SelfId, Taken)});
}

bool PacketPath::adopt(const FlowOffer &Offer) {
  const FlowKey &Key = Offer.Stream.Key;
  const auto Known = Flows.find(Key);
  // A repeated offer: the first answer was lost.
  if (Known != Flows.end())
    return Known->second.Connection->sameOrigin(Offer.Stream);
  const TimePoint Now = steadyNow();
  if (!Router.adoptFlow(Key, Offer.Service, Now))
    return false;
  addFlow(Key, Offer.Service, flow::Stream::resume(Offer.Stream, Now));
  Adopted.Increment();
  armTimer();
  return true;
}

void PacketPath::onOfferAnswer(const nlohmann::json &Message) {
  const auto Flow =
      common::capture([&] { return packet::parseFlowKey(Message.value("flow", std::string())); });
  if (!Flow)
    return apply(flow::CountDrop{common::ResultCode::MessageMalformed});
  const auto Owner = Message.value("owner", std::string());
  if (!Mover.end(*Flow, Owner))
    return;
  if (Message.value("t", std::string()) == "declined") {
    Mover.postpone(*Flow, steadyNow());
    return touch(*Flow);
  }
  Router.moveFlow(*Flow, Owner, steadyNow());
  MovedAway.Increment();
  if (forget(*Flow) && FlowsChanged)
    FlowsChanged();
}

void PacketPath::runMoves(TimePoint Now) {
  for (const flow::SendControl &Message : Mover.onTimer(Now))
    apply(Message);
  for (const FlowKey &Key : Mover.takeDue(Now))
    touch(Key);
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
  addFlow(Action.Key, Action.Service,
          flow::Stream::accept(*Syn, static_cast<std::uint32_t>(Random()), steadyNow()));
  Accepted.Increment();
}

void PacketPath::addFlow(const FlowKey &Key, const config::ServiceName &Service,
                         flow::Stream Stream) {
  Entry Opened;
  Opened.Connection = std::make_shared<FlowConnection>(Context, Service, std::move(Stream));
  refreshMove(*Opened.Connection);
  forget(Key);
  Flows.emplace(Key, std::move(Opened));
  Open.Set(static_cast<double>(Flows.size()));
  touch(Key);
}

void PacketPath::apply(const flow::DeliverPacket &Action) { deliver(Action.Key, Action.Packet); }

void PacketPath::deliver(const FlowKey &Key, std::span<const std::uint8_t> Bytes) {
  const auto Known = Flows.find(Key);
  const auto Parsed = common::capture([&] { return packet::parseFromCaller(Bytes); });
  if (Known == Flows.end() || !Parsed || Mover.moving(Key))
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
  if (Known == Flows.end() || Mover.moving(Key))
    return;
  const auto Connection = Known->second.Connection;
  for (const packet::Packet &Packet : Connection->advance(steadyNow()))
    send(Packet);
  if (Connection->finished())
    return remove(Key);
  updateTimer(Key, Known->second);
  tryMove(Key, *Connection);
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
  const auto NextMove = Mover.nextTimer();
  if (NextMove && (!Next || *NextMove < *Next))
    Next = NextMove;
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
    if (Known == Flows.end() || Mover.moving(Key))
      continue;
    Known->second.Connection->onTimer(Now);
    advance(Key);
  }
  apply(Router.onTimer(Now));
  runMoves(Now);
  // Their callers never acknowledged them: another agent may serve these flows.
  for (const FlowKey &Key : Router.takeExpired())
    remove(Key);
}

} // namespace galenarelay::agent
