#include "galenarelay/agent/flow_connection.h"

#include <array>
#include <utility>

namespace galenarelay::agent {

using common::TimePoint;
using flow::StreamState;

namespace {

/// When to repeat a request that came with others on a flow that moves away.
constexpr common::Duration MovedRetryAfter = std::chrono::seconds(1);
constexpr std::array<std::string_view, 5> StateNames{"opening", "established", "closing", "closed",
                                                     "broken"};

} // namespace

FlowConnection::FlowConnection(FlowContext &Context, std::string Service, flow::Stream Stream)
    : Context(Context), Service(std::move(Service)), Stream(std::move(Stream)) {}

FlowConnection::~FlowConnection() { discard(); }

bool FlowConnection::fits(const packet::RouteView &Route) const noexcept {
  return Stream.fits(Route);
}

bool FlowConnection::finished() const noexcept { return Stream.finished(); }

std::optional<TimePoint> FlowConnection::nextTimer() const noexcept {
  const auto Next = Stream.nextTimer();
  if (!CloseAt || (Next && *Next < *CloseAt))
    return Next;
  return CloseAt;
}

nlohmann::json FlowConnection::describe() const {
  return {{"flow", packet::toString(Stream.key())},
          {"service", Service},
          {"state", StateNames[static_cast<std::size_t>(Stream.state())]},
          {"requests", Served},
          {"request_in_progress", Current != 0},
          {"answer_started", Session.answerStarted()},
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
  if (!CloseAt || Now < *CloseAt)
    return;
  CloseAt.reset();
  if (FinSent)
    Stream.reset();
  else if (Draining && Session.idle())
    Session.close();
}

void FlowConnection::drain() noexcept {
  Draining = true;
  Session.closeAfterAnswer();
}

void FlowConnection::setMoving(bool Wanted) noexcept {
  if (Wanted && !Moving)
    FirstMayRun = !Session.idle() && !Session.answerDue();
  Moving = Wanted;
}

std::optional<flow::IdleStream> FlowConnection::streamToMove() const {
  return Moving && idle() ? Stream.idle() : std::nullopt;
}

bool FlowConnection::idle() const noexcept {
  return Current == 0 && Session.idle() && Session.pendingOutput() == 0 && !FinSent && !Aborted;
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
  paceUpstream();
  closeWhenDone(Now);
  return Stream.takeOutput(Now);
}

void FlowConnection::discard() {
  const request::RequestId Id = std::exchange(Current, 0);
  ++Generation;
  if (Id != 0)
    Context.Requests.cancel(Id);
}

bool FlowConnection::readsCaller() const noexcept {
  if (Session.finished())
    return true;
  // The next request belongs to the agent to which the flow moves; its bytes go along.
  if (Moving && Session.idle() && Stream.movable())
    return false;
  const bool Backlog = Current != 0 && Context.Requests.bodyBacklog(Current) >= MaxBodyBacklog;
  return Session.wantsBytes() && !Backlog && Session.pendingOutput() < MaxPendingOutput;
}

void FlowConnection::readCaller() {
  handleEvents();
  while (readsCaller()) {
    const auto Bytes = Stream.read();
    if (Bytes.empty())
      break;
    Session.onBytes(Bytes);
    handleEvents();
  }
  if (Stream.peerFinished()) {
    Session.onCallerFinished();
    handleEvents();
  }
}

void FlowConnection::handleEvents() {
  for (const request::SessionEvent &Event : Session.takeEvents())
    std::visit([this](const auto &Known) { handle(Known); }, Event);
}

void FlowConnection::handle(const request::RequestReady &Event) {
  if (Moving && !std::exchange(FirstMayRun, false)) {
    Session.closeAfterAnswer();
    Session.answer(request::notRunAnswer(common::ResultCode::RequestNotRun, MovedRetryAfter,
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
  ++Served;
  ++Generation;
  CloseAt.reset();
  Current = Context.Requests.submit(std::move(Request), exchangeEvents());
}

void FlowConnection::handle(const request::BodyPart &Event) {
  if (Current != 0)
    Context.Requests.sendBody(Current, Event.Bytes, Event.Last);
}

void FlowConnection::handle(const request::RequestBroken & /*Event*/) {
  const request::RequestId Id = std::exchange(Current, 0);
  ++Generation;
  if (Id == 0)
    return;
  const request::Answer Made = Context.Requests.breakOff(Id);
  if (Session.answerStarted())
    Aborted = true;
  else
    Session.answer(Made);
}

// A caller may close its sending direction and still read (RFC 9112, section 9.6), so the request
// in progress goes on. A caller that is gone answers the response with a reset.
void FlowConnection::handle(const request::CallerFinished & /*Event*/) {}

ExchangeEvents FlowConnection::exchangeEvents() {
  // Events of a request that was cancelled or of a flow that has ended do nothing.
  const auto Guarded = [Held = weak_from_this(), Own = Generation](auto &&Action) {
    const auto Self = Held.lock();
    if (!Self || Self->Generation != Own)
      return;
    Action(*Self);
    Self->Context.Touch(Self->Stream.key());
  };
  ExchangeEvents Events;
  Events.OnAnswer = [Guarded](const request::Answer &Whole) {
    Guarded([&](FlowConnection &Self) {
      Self.endExchange();
      Self.Session.answer(Whole);
    });
  };
  Events.OnHead = [Guarded](const request::ResponseHead &Head) {
    Guarded([&](FlowConnection &Self) { Self.Session.startAnswer(Head); });
  };
  Events.OnData = [Guarded](std::span<const std::uint8_t> Bytes) {
    Guarded([&](FlowConnection &Self) {
      Self.Session.answerData(Bytes);
      Self.paceUpstream();
    });
  };
  Events.OnFinished = [Guarded] {
    Guarded([](FlowConnection &Self) {
      Self.endExchange();
      Self.Session.finishAnswer();
    });
  };
  Events.OnAborted = [Guarded] {
    Guarded([](FlowConnection &Self) {
      Self.endExchange();
      Self.Aborted = true;
    });
  };
  Events.OnBodySent = [Guarded] { Guarded([](FlowConnection &) {}); };
  return Events;
}

void FlowConnection::endExchange() noexcept {
  Current = 0;
  Paused = false;
}

void FlowConnection::writeCaller() {
  while (Session.pendingOutput() > 0 && Stream.writable() > 0)
    Stream.write(Session.takeOutput(Stream.writable()));
}

void FlowConnection::paceUpstream() {
  const bool Full = Session.pendingOutput() >= MaxPendingOutput;
  if (Current == 0 || Full == Paused)
    return;
  Paused = Full;
  if (Full)
    Context.Requests.pauseResponse(Current);
  else
    Context.Requests.resumeResponse(Current);
}

void FlowConnection::closeWhenDone(TimePoint Now) {
  const bool Sent = Session.finished() && Session.pendingOutput() == 0;
  if (Sent && !FinSent) {
    FinSent = true;
    Stream.finish();
    CloseAt = Now + CloseTimeout;
  }
  // The time to close begins when the caller has received everything.
  if (FinSent && Stream.unacknowledged() > 0)
    CloseAt = Now + CloseTimeout;
  if (Stream.state() == StreamState::Closed)
    CloseAt.reset();
  const bool Unused = Draining && !FinSent && Session.idle();
  if (Unused && !CloseAt)
    CloseAt = Now + DrainIdleTime;
}

} // namespace galenarelay::agent
