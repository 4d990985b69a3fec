#include "galenarelay/agent/flow_connection.h"

#include <array>
#include <utility>

namespace galenarelay::agent {

using common::TimePoint;
using flow::StreamState;

namespace {

/// Retry-After of a request that was pipelined behind another one and is refused because the flow
/// is moving to another agent.
constexpr common::Duration MovedRetryAfter = std::chrono::seconds(1);
constexpr std::array<std::string_view, 5> StateNames{"opening", "established", "closing", "closed",
                                                     "broken"};

} // namespace

FlowConnection::FlowConnection(FlowContext &Context, std::string Service, flow::Stream Stream)
    : Context(Context), Service(std::move(Service)), Stream(std::move(Stream)) {}

FlowConnection::~FlowConnection() { discard(); }

bool FlowConnection::matches(const packet::RouteView &Route) const noexcept {
  return Stream.matches(Route);
}

bool FlowConnection::finished() const noexcept { return Stream.discardable(); }

std::optional<TimePoint> FlowConnection::nextTimer() const noexcept {
  const auto Next = Stream.nextTimer();
  if (!CloseDeadline || (Next && *Next < *CloseDeadline))
    return Next;
  return CloseDeadline;
}

nlohmann::json FlowConnection::describe() const {
  return {{"flow", packet::toString(Stream.key())},
          {"service", Service},
          {"state", StateNames[static_cast<std::size_t>(Stream.state())]},
          {"requests", RequestsServed},
          {"request_in_progress", CurrentRequest != 0},
          {"answer_started", Session.responseStarted()},
          {"draining", Draining},
          {"moving", Moving},
          {"memory_bytes", Stream.memoryBytes() + Session.memoryBytes()}};
}

void FlowConnection::onPacket(const packet::Packet &Received, TimePoint Now) {
  Stream.onPacket(Received, Now);
}

void FlowConnection::onTimer(TimePoint Now) {
  const auto Next = Stream.nextTimer();
  if (Next && *Next <= Now)
    Stream.onTimer(Now);
  if (!CloseDeadline || Now < *CloseDeadline)
    return;
  CloseDeadline.reset();
  if (FinSent)
    Stream.reset();
  else if (Draining && Session.idle())
    Session.close();
}

void FlowConnection::drain() noexcept {
  Draining = true;
  Session.closeAfterResponse();
}

void FlowConnection::setMoving(bool ShouldMove) noexcept {
  if (ShouldMove && !Moving)
    PartialRequestMayRun = !Session.idle() && !Session.awaitsResponse();
  Moving = ShouldMove;
}

std::optional<flow::IdleStream> FlowConnection::streamToMove() const {
  return Moving && idle() ? Stream.idleState() : std::nullopt;
}

bool FlowConnection::idle() const noexcept {
  return CurrentRequest == 0 && Session.idle() && Session.pendingOutput() == 0 && !FinSent &&
         !Aborted;
}

std::vector<packet::Packet> FlowConnection::advance(TimePoint Now) {
  if (Aborted && Stream.state() != StreamState::Broken)
    Stream.reset();
  if (Stream.state() == StreamState::Broken) {
    discard();
    return Stream.takeOutput(Now);
  }
  readCaller();
  writeCaller();
  updateResponsePause();
  closeWhenDone(Now);
  return Stream.takeOutput(Now);
}

void FlowConnection::discard() {
  const request::RequestId Id = std::exchange(CurrentRequest, 0);
  ++Generation;
  if (Id != 0)
    Context.RequestDispatcher.cancel(Id);
}

bool FlowConnection::canReadCaller() const noexcept {
  if (Session.finished())
    return true;
  // The next request runs on the agent that the flow moves to, so its bytes stay in the stream and
  // move with it.
  if (Moving && Session.idle() && Stream.movable())
    return false;
  const bool BacklogFull = CurrentRequest != 0 &&
                           Context.RequestDispatcher.bodyBacklog(CurrentRequest) >= MaxBodyBacklog;
  return Session.wantsBytes() && !BacklogFull && Session.pendingOutput() < MaxPendingOutput;
}

void FlowConnection::readCaller() {
  handleEvents();
  while (canReadCaller()) {
    const auto Bytes = Stream.read();
    if (Bytes.empty())
      break;
    Session.onBytes(Bytes);
    handleEvents();
  }
  if (Stream.peerFinished()) {
    Session.onCallerClosed();
    handleEvents();
  }
}

void FlowConnection::handleEvents() {
  for (const request::SessionEvent &Event : Session.takeEvents())
    std::visit([this](const auto &Alternative) { handle(Alternative); }, Event);
}

void FlowConnection::handle(const request::RequestReady &Event) {
  if (Moving && !std::exchange(PartialRequestMayRun, false)) {
    Session.closeAfterResponse();
    Session.respond(request::notRunAnswer(common::ResultCode::RequestNotRun, MovedRetryAfter,
                                          "this upstream takes no new requests of the service"));
    return;
  }
  NewRequest Request;
  Request.Flow = Stream.key();
  Request.Service = Service;
  Request.ServiceDeadline = Context.DeadlineOf(Service);
  Request.Head = Event.Head;
  Request.Body = Event.Body;
  Request.Complete = Event.Complete;
  ++RequestsServed;
  ++Generation;
  CloseDeadline.reset();
  CurrentRequest = Context.RequestDispatcher.submit(std::move(Request), exchangeEvents());
}

void FlowConnection::handle(const request::BodyPart &Event) {
  if (CurrentRequest != 0)
    Context.RequestDispatcher.sendBody(CurrentRequest, Event.Bytes, Event.Last);
}

void FlowConnection::handle(const request::RequestBodyInvalid & /*Event*/) {
  const request::RequestId Id = std::exchange(CurrentRequest, 0);
  ++Generation;
  if (Id == 0)
    return;
  const request::Answer Answer = Context.RequestDispatcher.abortUpload(Id);
  if (Session.responseStarted())
    Aborted = true;
  else
    Session.respond(Answer);
}

// A caller may close its sending direction and still read (RFC 9112, section 9.6), so the request
// in progress continues. A caller that no longer exists answers the response with RST.
void FlowConnection::handle(const request::CallerClosed & /*Event*/) {}

ExchangeCallbacks FlowConnection::exchangeEvents() {
  // Events of a cancelled request or an ended flow are ignored.
  const auto IfCurrent = [Weak = weak_from_this(), OwnGeneration = Generation](auto &&Handler) {
    const auto Self = Weak.lock();
    if (!Self || Self->Generation != OwnGeneration)
      return;
    Handler(*Self);
    Self->Context.ScheduleAdvance(Self->Stream.key());
  };
  ExchangeCallbacks Events;
  Events.OnAnswer = [IfCurrent](const request::Answer &Answer) {
    IfCurrent([&](FlowConnection &Self) {
      Self.clearCurrentRequest();
      Self.Session.respond(Answer);
    });
  };
  Events.OnHead = [IfCurrent](const request::ResponseHead &Head) {
    IfCurrent([&](FlowConnection &Self) { Self.Session.startResponse(Head); });
  };
  Events.OnData = [IfCurrent](std::span<const std::uint8_t> Bytes) {
    IfCurrent([&](FlowConnection &Self) {
      Self.Session.writeResponseBody(Bytes);
      Self.updateResponsePause();
    });
  };
  Events.OnResponseEnd = [IfCurrent] {
    IfCurrent([](FlowConnection &Self) {
      Self.clearCurrentRequest();
      Self.Session.finishResponse();
    });
  };
  Events.OnAborted = [IfCurrent] {
    IfCurrent([](FlowConnection &Self) {
      Self.clearCurrentRequest();
      Self.Aborted = true;
    });
  };
  Events.OnBodySent = [IfCurrent] { IfCurrent([](FlowConnection &) {}); };
  return Events;
}

void FlowConnection::clearCurrentRequest() noexcept {
  CurrentRequest = 0;
  ResponsePaused = false;
}

void FlowConnection::writeCaller() {
  while (Session.pendingOutput() > 0 && Stream.writable() > 0)
    Stream.write(Session.takeOutput(Stream.writable()));
}

void FlowConnection::updateResponsePause() {
  const bool OutputFull = Session.pendingOutput() >= MaxPendingOutput;
  if (CurrentRequest == 0 || OutputFull == ResponsePaused)
    return;
  ResponsePaused = OutputFull;
  if (OutputFull)
    Context.RequestDispatcher.pauseResponse(CurrentRequest);
  else
    Context.RequestDispatcher.resumeResponse(CurrentRequest);
}

void FlowConnection::closeWhenDone(TimePoint Now) {
  const bool AllSent = Session.finished() && Session.pendingOutput() == 0;
  if (AllSent && !FinSent) {
    FinSent = true;
    Stream.finish();
    CloseDeadline = Now + CloseTimeout;
  }
  // CloseTimeout starts only once the caller has acknowledged everything.
  if (FinSent && Stream.unacknowledged() > 0)
    CloseDeadline = Now + CloseTimeout;
  if (Stream.state() == StreamState::Closed)
    CloseDeadline.reset();
  const bool IdleInDrain = Draining && !FinSent && Session.idle();
  if (IdleInDrain && !CloseDeadline)
    CloseDeadline = Now + DrainIdleTime;
}

} // namespace galenarelay::agent
