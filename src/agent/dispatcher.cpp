#include "galenarelay/agent/dispatcher.h"

#include "galenarelay/common/hash.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <charconv>
#include <utility>

namespace galenarelay::agent {

namespace asio = boost::asio;
using common::Duration;
using common::ResultCode;
using common::steadyNow;
using common::TimePoint;
using request::Answer;
using request::DispatchFailure;
using request::Header;
using request::RequestId;
using request::RequestState;
using schedule::Completion;
using schedule::Decision;

namespace {

/// Retry-After when neither the scheduler nor the upstream names one.
constexpr Duration DefaultRetryAfter = std::chrono::seconds(1);
/// Retry-After when too many uploads wait; they take minutes rather than seconds.
constexpr Duration UploadRetryAfter = std::chrono::seconds(30);

std::uint64_t fingerprintOf(const NewRequest &Request) {
  const std::uint64_t Line = common::hash64(Request.Head.Method + " " + Request.Head.Target);
  return common::hash64(Request.Body, Line);
}

void setHeader(std::vector<Header> &Headers, std::string_view Name, std::string Value) {
  std::erase_if(Headers,
                [&](const Header &Field) { return request::sameHeader(Field.first, Name); });
  Headers.emplace_back(Name, std::move(Value));
}

void eraseHeader(std::vector<Header> &Headers, std::string_view Name) {
  std::erase_if(Headers,
                [&](const Header &Field) { return request::sameHeader(Field.first, Name); });
}

/// Seconds of a Retry-After header, or the default.
Duration retryAfterFrom(const std::string &Text) {
  std::int64_t Seconds = 0;
  const auto Parsed = std::from_chars(Text.data(), Text.data() + Text.size(), Seconds);
  const bool Usable = Parsed.ec == std::errc() && Seconds > 0 && Seconds <= 3600;
  return Usable ? std::chrono::seconds(Seconds) : DefaultRetryAfter;
}

/// What a request is told whose key is held by another one.
Answer answerForHolder(const request::Claim &Holder, std::uint64_t Fingerprint) {
  if (Holder.Fingerprint != Fingerprint)
    return request::malformedAnswer("the Idempotency-Key was used for a different request");
  if (Holder.State == request::ClaimState::Running)
    return request::conflictAnswer("a request with this Idempotency-Key is running");
  if (Holder.State == request::ClaimState::Unknown)
    return request::unknownAnswer("the request with this Idempotency-Key has an unknown outcome");
  // A claim without a body had none or one that is too large to keep; only the first may be sent.
  if (Holder.Body.empty() && Holder.Status != 204)
    return request::conflictAnswer(
        "the request with this Idempotency-Key was answered with status " +
        std::to_string(Holder.Status) + "; its answer is not kept");
  Answer Made{Holder.Status, {}, Holder.Body};
  if (!Holder.ContentType.empty())
    Made.Headers.emplace_back("Content-Type", Holder.ContentType);
  return Made;
}

Completion completionOf(CallResult How) noexcept {
  switch (How) {
  case CallResult::Completed:
    return Completion::Succeeded;
  case CallResult::NothingSent:
    return Completion::NotSent;
  case CallResult::Shed:
    return Completion::Shed;
  case CallResult::Broken:
  case CallResult::TimedOut:
    break;
  }
  return Completion::Failed;
}

DispatchFailure failureOf(CallResult How) noexcept {
  switch (How) {
  case CallResult::NothingSent:
    return DispatchFailure::NothingSent;
  case CallResult::Shed:
    return DispatchFailure::Shed;
  case CallResult::TimedOut:
    return DispatchFailure::TimedOut;
  case CallResult::Completed:
  case CallResult::Broken:
    break;
  }
  return DispatchFailure::Broken;
}

ResultCode reasonOf(DispatchFailure Failure) noexcept {
  if (Failure == DispatchFailure::NothingSent)
    return ResultCode::RequestNotRun;
  return Failure == DispatchFailure::Shed ? ResultCode::UpstreamShed
                                          : ResultCode::RequestOutcomeUnknown;
}

} // namespace

Dispatcher::Dispatcher(asio::io_context &Io, common::Endpoint Upstream, std::string AgentId,
                       schedule::SchedulerOptions Options, common::Metrics &Metrics)
    : Io(Io), Upstream(Upstream), AgentId(std::move(AgentId)),
      Epoch(static_cast<std::uint64_t>(common::wallMilliseconds())), Queue(Options),
      Uploads(Options), Timer(Io), Metrics(Metrics) {}

Dispatcher::~Dispatcher() { stop(); }

schedule::LoadReport Dispatcher::loadReport() const {
  schedule::LoadReport Report = Queue.report(steadyNow());
  Report.MemberId = AgentId;
  return Report;
}

std::size_t Dispatcher::bodyBacklog(RequestId Id) const noexcept {
  const auto Found = Exchanges.find(Id);
  if (Found == Exchanges.end())
    return 0;
  const Exchange &Open = Found->second;
  return Open.LaterBody.size() + (Open.Call ? Open.Call->bodyBacklog() : 0);
}

Dispatcher::Exchange *Dispatcher::find(RequestId Id) noexcept {
  const auto Found = Exchanges.find(Id);
  return Found == Exchanges.end() ? nullptr : &Found->second;
}

RequestId Dispatcher::submit(NewRequest Request, ExchangeEvents Events) {
  const RequestId Id = ++LastId;
  const TimePoint Now = steadyNow();
  std::string TextId(request::headerValue(Request.Head.Headers, request::RequestIdHeader));
  if (TextId.empty())
    TextId = AgentId + "-" + std::to_string(Epoch) + "-" + std::to_string(Id);
  setHeader(Request.Head.Headers, request::RequestIdHeader, TextId);
  setHeader(Request.Head.Headers, "X-Forwarded-For",
            common::addressToString(Request.Flow.Caller.Address));
  const std::string Key(request::headerValue(Request.Head.Headers, request::IdempotencyKeyHeader));
  const std::uint64_t Fingerprint = fingerprintOf(Request);
  auto Known = Book.enter(Id,
                          {TextId, packet::toString(Request.Flow), Request.Service,
                           Request.Head.Method, Request.Head.Target, Key, Fingerprint},
                          Now);
  if (Known) {
    answerLater(std::move(Events), std::move(*Known));
    return Id;
  }
  Exchange Opened;
  Opened.Allowance = request::statedDeadline(Request.Head).value_or(Request.ServiceDeadline);
  Opened.Deadline = Now + Opened.Allowance;
  const std::uint64_t Size = Request.Head.Length.value_or(Request.Body.size());
  Opened.Class = {Request.Service, Request.Head.Method, request::routeOf(Request.Head.Target),
                  request::sizeClassOf(Size)};
  Opened.Request = std::move(Request);
  Opened.Events = std::move(Events);
  if (!Key.empty())
    Opened.Kept.emplace();
  Exchanges.emplace(Id, std::move(Opened));
  admit(Id);
  return Id;
}

void Dispatcher::admit(RequestId Id) {
  const bool Complete = find(Id)->Request.Complete;
  if (!Complete && Uploads.full()) {
    const std::string Detail = "too many uploads wait";
    refuse(Id, ResultCode::RequestQueueFull, Detail,
           request::notRunAnswer(ResultCode::RequestQueueFull, UploadRetryAfter, Detail));
    return;
  }
  if (Complete || Uploads.enter(Id))
    claimOrEnqueue(Id);
}

Dispatcher::ExchangeMap::node_type Dispatcher::take(RequestId Id) {
  leaveGate(Id);
  return Exchanges.extract(Id);
}

void Dispatcher::leaveGate(RequestId Id) {
  const auto Next = Uploads.leave(Id);
  if (!Next)
    return;
  asio::post(Io, [this, Admitted = *Next] {
    if (find(Admitted) != nullptr)
      claimOrEnqueue(Admitted);
  });
}

// Only a request that must not run twice is worth the claim's messages.
void Dispatcher::claimOrEnqueue(RequestId Id) {
  Exchange &Open = *find(Id);
  const std::string Key(
      request::headerValue(Open.Request.Head.Headers, request::IdempotencyKeyHeader));
  // The time that an upload waited for its turn is not the upstream's.
  if (!Open.Request.Complete)
    Open.Deadline = steadyNow() + Open.Allowance;
  Open.Claimed = Claims.Claim && !Key.empty() && !request::isIdempotent(Open.Request.Head.Method);
  if (Open.Claimed)
    Claims.Claim(Id, {Open.Request.Service, Key}, fingerprintOf(Open.Request));
  else
    enqueue(Id);
}

void Dispatcher::onClaimGranted(RequestId Id) {
  if (find(Id) != nullptr)
    enqueue(Id);
}

void Dispatcher::onClaimDenied(RequestId Id, const request::Claim &Holder) {
  Exchange *Open = find(Id);
  if (Open == nullptr)
    return;
  Open->Claimed = false;
  refuse(Id, ResultCode::RequestInProgress, "the Idempotency-Key is held by " + Holder.Claimant,
         answerForHolder(Holder, fingerprintOf(Open->Request)));
}

void Dispatcher::onClaimFailed(RequestId Id) {
  Exchange *Open = find(Id);
  if (Open == nullptr)
    return;
  Open->Claimed = false;
  const std::string Detail = "the Idempotency-Key could not be claimed in time";
  refuse(Id, ResultCode::RequestNotRun, Detail,
         request::notRunAnswer(ResultCode::RequestNotRun, DefaultRetryAfter, Detail));
}

void Dispatcher::refuse(RequestId Id, ResultCode Reason, const std::string &Detail, Answer Whole) {
  (void)conclude(Id, std::nullopt, Reason, DefaultRetryAfter, Detail);
  Book.noteStatus(Id, Whole.Status);
  auto Node = take(Id);
  answerLater(std::move(Node.mapped().Events), std::move(Whole));
}

void Dispatcher::settleClaim(RequestId Id, const Exchange &Ended, RequestState Final) {
  // While the agent is destroyed, flows cancel their requests after the claim desk has gone.
  if (!Ended.Claimed || !Claims.Claim)
    return;
  if (Final == RequestState::NotRun) {
    Claims.Release(Id);
    return;
  }
  if (Final == RequestState::Unknown || !Ended.Kept) {
    const bool Answered = Final == RequestState::Answered;
    Claims.Settle(Id, Answered ? request::ClaimState::Answered : request::ClaimState::Unknown,
                  Ended.Status, {}, {});
    return;
  }
  const auto Type = request::headerValue(Ended.Kept->Headers, "Content-Type");
  Claims.Settle(Id, request::ClaimState::Answered, Ended.Status, std::string(Type),
                Ended.Kept->Body);
}

void Dispatcher::enqueue(RequestId Id) {
  const Exchange &Open = *find(Id);
  apply(Queue.onArrival({Id, Open.Request.Flow.Caller.Address, Open.Class, Open.Deadline},
                        steadyNow()));
}

void Dispatcher::apply(const std::vector<Decision> &Decisions) {
  for (const Decision &Made : Decisions) {
    Exchange *Open = find(Made.Id);
    if (Open == nullptr)
      continue;
    if (Made.Dispatch) {
      dispatch(Made.Id);
      continue;
    }
    Answer Refusal = conclude(Made.Id, std::nullopt, Made.Reason, Made.RetryAfter,
                              "the request was not accepted by the queue");
    auto Node = take(Made.Id);
    answerLater(std::move(Node.mapped().Events), std::move(Refusal));
  }
  armTimer();
}

void Dispatcher::dispatch(RequestId Id) {
  Exchange &Open = *find(Id);
  if (!Book.dispatch(Id))
    return;
  ++Open.Dispatches;
  UpstreamRequest Sent;
  Sent.Head = Open.Request.Head;
  Sent.Body = Open.Request.Body + std::exchange(Open.LaterBody, {});
  Sent.Complete = Open.Request.Complete || Open.LaterLast;
  Sent.Deadline = Open.Deadline;
  Sent.Allowance = Open.Allowance;
  if (!Open.Request.Complete)
    Sent.Deadline = steadyNow() + Open.Allowance;
  Open.Call = UpstreamCall::start(Io, Upstream, std::move(Sent), callEvents(Id));
}

CallEvents Dispatcher::callEvents(RequestId Id) {
  CallEvents Events;
  Events.OnHead = [this, Id](const request::ResponseHead &Head, bool Feed) {
    onHead(Id, Head, Feed);
  };
  Events.OnData = [this, Id](std::span<const std::uint8_t> Bytes) { onData(Id, Bytes); };
  Events.OnBodySent = [this, Id] {
    if (const Exchange *Open = find(Id))
      Open->Events.OnBodySent();
  };
  Events.OnEnd = [this, Id](CallResult How, const std::string &Detail) { onEnd(Id, How, Detail); };
  return Events;
}

void Dispatcher::onHead(RequestId Id, const request::ResponseHead &Head, bool Feed) {
  Exchange *Open = find(Id);
  if (Open == nullptr)
    return;
  Book.answerStarted(Id, Head.Status);
  Open->Relayed = true;
  Open->Status = Head.Status;
  request::ResponseHead Relayed = Head;
  eraseHeader(Relayed.Headers, request::ResultHeader);
  eraseHeader(Relayed.Headers, request::NotRunHeader);
  // 503 with Retry-After tells a caller that the request was not run. This upstream did not say
  // so, therefore its response must not either.
  if (Relayed.Status == 503)
    eraseHeader(Relayed.Headers, "Retry-After");
  if (Open->Kept) {
    Open->Kept->Status = Relayed.Status;
    Open->Kept->Headers = Relayed.Headers;
  }
  setHeader(
      Relayed.Headers, request::RequestIdHeader,
      std::string(request::headerValue(Open->Request.Head.Headers, request::RequestIdHeader)));
  Open->Events.OnHead(Relayed);
  if (Feed)
    apply(Queue.onFeedStarted(Id, steadyNow()));
}

void Dispatcher::onData(RequestId Id, std::span<const std::uint8_t> Bytes) {
  Exchange *Open = find(Id);
  if (Open == nullptr)
    return;
  if (Open->Kept) {
    Open->Kept->Body.append(reinterpret_cast<const char *>(Bytes.data()), Bytes.size());
    if (Open->Kept->Body.size() > request::Ledger::MaxKeptBody)
      Open->Kept.reset();
  }
  Open->Events.OnData(Bytes);
}

void Dispatcher::onEnd(RequestId Id, CallResult How, const std::string &Detail) {
  Exchange *Open = find(Id);
  if (Open == nullptr)
    return;
  Open->Call.reset();
  if (How == CallResult::Completed)
    onCompleted(Id);
  else
    onFailed(Id, How, Detail);
}

void Dispatcher::onCompleted(RequestId Id) {
  const auto Node = take(Id);
  const Exchange &Open = Node.mapped();
  Book.answered(Id, Open.Kept, steadyNow());
  settleClaim(Id, Open, RequestState::Answered);
  const bool Good = Open.Status < 500;
  const Completion How = Good ? Completion::Succeeded : Completion::Failed;
  Metrics.counter("requests_total", "Requests by outcome", {{"outcome", "answered"}}).Increment();
  if (Listen)
    Listen(How);
  Open.Events.OnFinished();
  apply(Queue.onFinished(Id, How, steadyNow()));
}

void Dispatcher::onFailed(RequestId Id, CallResult How, const std::string &Detail) {
  const DispatchFailure Failure = failureOf(How);
  const TimePoint Now = steadyNow();
  const Completion Ended = completionOf(How);
  if (Listen)
    Listen(Ended);
  const auto Decisions = Queue.onFinished(Id, Ended, Now);
  Exchange &Open = *find(Id);
  const bool TimeLeft = Now + RetryDelay < Open.Deadline;
  const bool Repeatable = Open.Request.Complete && TimeLeft && !Open.Relayed;
  const bool Attempts = Open.Dispatches < MaxDispatches;
  if (Repeatable && Attempts && Book.requeue(Id, Failure) && Queue.takeRetry(Now)) {
    retryLater(Id);
  } else {
    const Duration RetryAfter =
        Failure == DispatchFailure::Shed ? retryAfterFrom(Detail) : DefaultRetryAfter;
    const std::string Text = Failure == DispatchFailure::Shed ? "the upstream sheds load" : Detail;
    Answer Final = conclude(Id, Failure, reasonOf(Failure), RetryAfter, Text);
    const auto Node = take(Id);
    if (Node.mapped().Relayed)
      Node.mapped().Events.OnAborted();
    else
      Node.mapped().Events.OnAnswer(Final);
  }
  apply(Decisions);
}

void Dispatcher::retryLater(RequestId Id) {
  Exchange &Open = *find(Id);
  Open.RetryTimer = std::make_shared<asio::steady_timer>(Io, RetryDelay);
  Open.RetryTimer->async_wait(
      [this, Id, Held = std::weak_ptr(Open.RetryTimer)](const auto &Failure) {
        if (Failure || Held.expired())
          return;
        if (Exchange *Waiting = find(Id)) {
          Waiting->RetryTimer.reset();
          enqueue(Id);
        }
      });
}

Answer Dispatcher::conclude(RequestId Id, std::optional<DispatchFailure> Failure, ResultCode Reason,
                            Duration RetryAfter, const std::string &Detail) {
  const RequestState Final = Book.giveUp(Id, Failure, Reason, Detail, steadyNow());
  Answer Made;
  if (Final == RequestState::NotRun)
    Made = request::notRunAnswer(Reason, RetryAfter, Detail);
  else if (Failure == DispatchFailure::TimedOut)
    Made = request::timeoutAnswer(Detail);
  else
    Made = request::unknownAnswer(Detail);
  if (const Exchange *Open = find(Id)) {
    setHeader(
        Made.Headers, request::RequestIdHeader,
        std::string(request::headerValue(Open->Request.Head.Headers, request::RequestIdHeader)));
    settleClaim(Id, *Open, Final);
  }
  Book.noteStatus(Id, Made.Status);
  Metrics
      .counter("requests_total", "Requests by outcome",
               {{"outcome", std::string(request::name(Final))}})
      .Increment();
  return Made;
}

void Dispatcher::sendBody(RequestId Id, std::string Bytes, bool Last) {
  Exchange *Open = find(Id);
  if (Open == nullptr)
    return;
  if (Open->Call) {
    Open->Call->sendBody(std::move(Bytes), Last);
  } else {
    Open->LaterBody += Bytes;
    Open->LaterLast = Last;
  }
  if (!Last)
    return;
  // A complete upload waits for its caller no more, so it may ask for a slot like any request.
  const bool Waited = Uploads.waits(Id);
  leaveGate(Id);
  if (Waited)
    claimOrEnqueue(Id);
}

void Dispatcher::pauseResponse(RequestId Id) {
  const Exchange *Open = find(Id);
  if (Open != nullptr && Open->Call)
    Open->Call->pause();
}

void Dispatcher::resumeResponse(RequestId Id) {
  const Exchange *Open = find(Id);
  if (Open != nullptr && Open->Call)
    Open->Call->resume();
}

void Dispatcher::cancel(RequestId Id) {
  if (find(Id) == nullptr)
    return;
  (void)conclude(Id, std::nullopt, ResultCode::RequestCancelled, DefaultRetryAfter,
                 "the caller closed the flow");
  release(Id, Completion::Failed);
}

Answer Dispatcher::breakOff(RequestId Id) {
  if (find(Id) == nullptr)
    return request::unknownAnswer("the request has ended");
  const std::string Detail = "the body of the request is malformed or ended early";
  Answer Made = conclude(Id, std::nullopt, ResultCode::RequestMalformed, DefaultRetryAfter, Detail);
  if (Made.Status == 503)
    Made = request::malformedAnswer(Detail);
  release(Id, Completion::Failed);
  return Made;
}

void Dispatcher::release(RequestId Id, Completion How) {
  const auto Node = take(Id);
  if (Node.mapped().Call)
    Node.mapped().Call->cancel();
  const TimePoint Now = steadyNow();
  apply(Queue.onCancelled(Id, Now));
  apply(Queue.onFinished(Id, How, Now));
}

void Dispatcher::answerLater(ExchangeEvents Events, Answer Whole) {
  asio::post(Io,
             [Events = std::move(Events), Whole = std::move(Whole)] { Events.OnAnswer(Whole); });
}

void Dispatcher::armTimer() {
  const auto Next = Queue.nextTimer();
  if (!Next)
    return;
  Timer.expires_at(std::chrono::steady_clock::time_point(Next->time_since_epoch()));
  Timer.async_wait([this](const auto &Failure) {
    if (!Failure)
      apply(Queue.onTimer(steadyNow()));
  });
}

void Dispatcher::stop() {
  Timer.cancel();
  for (auto &[Id, Open] : Exchanges)
    if (Open.Call)
      Open.Call->cancel();
  Exchanges.clear();
}

} // namespace galenarelay::agent
