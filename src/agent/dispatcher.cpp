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

/// Retry-After if neither the scheduler nor the upstream gives one.
constexpr Duration DefaultRetryAfter = std::chrono::seconds(1);
/// Retry-After if too many uploads wait; uploads take minutes rather than seconds.
constexpr Duration UploadRetryAfter = std::chrono::seconds(30);

std::uint64_t fingerprintOf(const NewRequest &Request) {
  const std::uint64_t RequestLineHash =
      common::hash64(Request.Head.Method + " " + Request.Head.Target);
  return common::hash64(Request.Body, RequestLineHash);
}

void setHeader(std::vector<Header> &Headers, std::string_view Name, std::string Value) {
  std::erase_if(Headers,
                [&](const Header &Field) { return request::headerNamesEqual(Field.first, Name); });
  Headers.emplace_back(Name, std::move(Value));
}

void eraseHeader(std::vector<Header> &Headers, std::string_view Name) {
  std::erase_if(Headers,
                [&](const Header &Field) { return request::headerNamesEqual(Field.first, Name); });
}

/// Parses the seconds of a Retry-After header. Returns the default unless they are 1 to 3600.
Duration retryAfterFrom(const std::string &Text) {
  std::int64_t Seconds = 0;
  const auto Parsed = std::from_chars(Text.data(), Text.data() + Text.size(), Seconds);
  const bool Usable = Parsed.ec == std::errc() && Seconds > 0 && Seconds <= 3600;
  return Usable ? std::chrono::seconds(Seconds) : DefaultRetryAfter;
}

/// Answer to a request whose idempotency key is held by another request.
Answer answerForHolder(const request::Claim &Holder, std::uint64_t Fingerprint) {
  if (Holder.Fingerprint != Fingerprint)
    return request::malformedAnswer("the Idempotency-Key was used for a different request");
  if (Holder.State == request::ClaimState::Running)
    return request::conflictAnswer("a request with this Idempotency-Key is running");
  if (Holder.State == request::ClaimState::Unknown)
    return request::unknownAnswer("the request with this Idempotency-Key has an unknown outcome");
  // An empty body means that the response had none or that it was too large to keep. Only a 204 is
  // known to have had none.
  if (Holder.Body.empty() && Holder.Status != 204)
    return request::conflictAnswer(
        "the request with this Idempotency-Key was answered with status " +
        std::to_string(Holder.Status) + "; its answer is not kept");
  Answer Response{Holder.Status, {}, Holder.Body};
  if (!Holder.ContentType.empty())
    Response.Headers.emplace_back("Content-Type", Holder.ContentType);
  return Response;
}

Completion completionOf(CallResult Result) noexcept {
  switch (Result) {
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

DispatchFailure failureOf(CallResult Result) noexcept {
  switch (Result) {
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
  return DispatchFailure::ConnectionLost;
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
      Epoch(static_cast<std::uint64_t>(common::wallMilliseconds())), RequestScheduler(Options),
      Uploads(Options), SchedulerTimer(Io), Metrics(Metrics) {}

Dispatcher::~Dispatcher() { stop(); }

schedule::LoadReport Dispatcher::loadReport() const {
  schedule::LoadReport Report = RequestScheduler.report(steadyNow());
  Report.MemberId = AgentId;
  return Report;
}

std::size_t Dispatcher::bodyBacklog(RequestId Id) const noexcept {
  const auto It = Exchanges.find(Id);
  if (It == Exchanges.end())
    return 0;
  const Exchange &Entry = It->second;
  return Entry.PendingBody.size() + (Entry.Call ? Entry.Call->bodyBacklog() : 0);
}

Dispatcher::Exchange *Dispatcher::find(RequestId Id) noexcept {
  const auto It = Exchanges.find(Id);
  return It == Exchanges.end() ? nullptr : &It->second;
}

RequestId Dispatcher::submit(NewRequest Request, ExchangeCallbacks Events) {
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
  auto KeyAnswer = RequestLedger.add(Id,
                                     {TextId, packet::toString(Request.Flow), Request.Service,
                                      Request.Head.Method, Request.Head.Target, Key, Fingerprint},
                                     Now);
  if (KeyAnswer) {
    postAnswer(std::move(Events), std::move(*KeyAnswer));
    return Id;
  }
  Exchange Entry;
  Entry.Timeout = request::parseDeadline(Request.Head).value_or(Request.ServiceDeadline);
  Entry.Deadline = Now + Entry.Timeout;
  const std::uint64_t Size = Request.Head.Length.value_or(Request.Body.size());
  Entry.Class = {Request.Service, Request.Head.Method,
                 request::firstPathSegment(Request.Head.Target), request::sizeClassOf(Size)};
  Entry.Request = std::move(Request);
  Entry.Events = std::move(Events);
  if (!Key.empty())
    Entry.KeptResponse.emplace();
  Exchanges.emplace(Id, std::move(Entry));
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

Dispatcher::ExchangeMap::node_type Dispatcher::removeExchange(RequestId Id) {
  leaveUploadGate(Id);
  return Exchanges.extract(Id);
}

void Dispatcher::leaveUploadGate(RequestId Id) {
  const auto Next = Uploads.leave(Id);
  if (!Next)
    return;
  asio::post(Io, [this, Admitted = *Next] {
    if (find(Admitted) != nullptr)
      claimOrEnqueue(Admitted);
  });
}

// A claim costs messages to other agents, so only requests with a non-idempotent method are
// claimed.
void Dispatcher::claimOrEnqueue(RequestId Id) {
  Exchange &Entry = *find(Id);
  const std::string Key(
      request::headerValue(Entry.Request.Head.Headers, request::IdempotencyKeyHeader));
  // The time that an upload waited in the upload gate doesn't count against its deadline.
  if (!Entry.Request.Complete)
    Entry.Deadline = steadyNow() + Entry.Timeout;
  Entry.KeyClaimed =
      Claims.Claim && !Key.empty() && !request::isIdempotent(Entry.Request.Head.Method);
  if (Entry.KeyClaimed)
    Claims.Claim(Id, {Entry.Request.Service, Key}, fingerprintOf(Entry.Request));
  else
    enqueue(Id);
}

void Dispatcher::onClaimGranted(RequestId Id) {
  if (find(Id) != nullptr)
    enqueue(Id);
}

void Dispatcher::onClaimDenied(RequestId Id, const request::Claim &Holder) {
  Exchange *Entry = find(Id);
  if (Entry == nullptr)
    return;
  Entry->KeyClaimed = false;
  refuse(Id, ResultCode::RequestInProgress, "the Idempotency-Key is held by " + Holder.Claimant,
         answerForHolder(Holder, fingerprintOf(Entry->Request)));
}

void Dispatcher::onClaimFailed(RequestId Id) {
  Exchange *Entry = find(Id);
  if (Entry == nullptr)
    return;
  Entry->KeyClaimed = false;
  const std::string Detail = "the Idempotency-Key could not be claimed in time";
  refuse(Id, ResultCode::RequestNotRun, Detail,
         request::notRunAnswer(ResultCode::RequestNotRun, DefaultRetryAfter, Detail));
}

void Dispatcher::refuse(RequestId Id, ResultCode Reason, const std::string &Detail,
                        Answer Response) {
  (void)conclude(Id, std::nullopt, Reason, DefaultRetryAfter, Detail);
  RequestLedger.recordStatus(Id, Response.Status);
  auto Removed = removeExchange(Id);
  postAnswer(std::move(Removed.mapped().Events), std::move(Response));
}

void Dispatcher::settleClaim(RequestId Id, const Exchange &Entry, RequestState FinalState) {
  // While the agent is destroyed, flows cancel their requests after the hooks were removed.
  if (!Entry.KeyClaimed || !Claims.Claim)
    return;
  if (FinalState == RequestState::NotRun) {
    Claims.Release(Id);
    return;
  }
  if (FinalState == RequestState::Unknown || !Entry.KeptResponse) {
    const bool Answered = FinalState == RequestState::Answered;
    Claims.Settle(Id, Answered ? request::ClaimState::Answered : request::ClaimState::Unknown,
                  Entry.Status, {}, {});
    return;
  }
  const auto Type = request::headerValue(Entry.KeptResponse->Headers, "Content-Type");
  Claims.Settle(Id, request::ClaimState::Answered, Entry.Status, std::string(Type),
                Entry.KeptResponse->Body);
}

void Dispatcher::enqueue(RequestId Id) {
  const Exchange &Entry = *find(Id);
  apply(RequestScheduler.onArrival(
      {Id, Entry.Request.Flow.Caller.Address, Entry.Class, Entry.Deadline}, steadyNow()));
}

void Dispatcher::apply(const std::vector<Decision> &Decisions) {
  for (const Decision &Current : Decisions) {
    Exchange *Entry = find(Current.Id);
    if (Entry == nullptr)
      continue;
    if (Current.Dispatch) {
      dispatch(Current.Id);
      continue;
    }
    Answer Refusal = conclude(Current.Id, std::nullopt, Current.Reason, Current.RetryAfter,
                              "the request was not accepted by the queue");
    auto Removed = removeExchange(Current.Id);
    postAnswer(std::move(Removed.mapped().Events), std::move(Refusal));
  }
  armTimer();
}

void Dispatcher::dispatch(RequestId Id) {
  Exchange &Entry = *find(Id);
  if (!RequestLedger.dispatch(Id))
    return;
  ++Entry.Dispatches;
  UpstreamRequest CallRequest;
  CallRequest.Head = Entry.Request.Head;
  CallRequest.Body = Entry.Request.Body + std::exchange(Entry.PendingBody, {});
  CallRequest.Complete = Entry.Request.Complete || Entry.BodyComplete;
  CallRequest.Deadline = Entry.Deadline;
  CallRequest.Timeout = Entry.Timeout;
  if (!Entry.Request.Complete)
    CallRequest.Deadline = steadyNow() + Entry.Timeout;
  Entry.Call = UpstreamCall::start(Io, Upstream, std::move(CallRequest), makeCallEvents(Id));
}

UpstreamCallbacks Dispatcher::makeCallEvents(RequestId Id) {
  UpstreamCallbacks Events;
  Events.OnHead = [this, Id](const request::ResponseHead &Head, bool Feed) {
    onHead(Id, Head, Feed);
  };
  Events.OnData = [this, Id](std::span<const std::uint8_t> Bytes) { onData(Id, Bytes); };
  Events.OnBodySent = [this, Id] {
    if (const Exchange *Entry = find(Id))
      Entry->Events.OnBodySent();
  };
  Events.OnEnd = [this, Id](CallResult Result, const std::string &Detail) {
    onCallEnded(Id, Result, Detail);
  };
  return Events;
}

void Dispatcher::onHead(RequestId Id, const request::ResponseHead &Head, bool Feed) {
  Exchange *Entry = find(Id);
  if (Entry == nullptr)
    return;
  RequestLedger.responseStarted(Id, Head.Status);
  Entry->HeadRelayed = true;
  Entry->Status = Head.Status;
  request::ResponseHead RelayedHead = Head;
  eraseHeader(RelayedHead.Headers, request::ResultHeader);
  eraseHeader(RelayedHead.Headers, request::NotRunHeader);
  // A 503 with Retry-After tells the caller that the request was not run. This upstream's 503 lacks
  // "Galenarelay-Not-Run: 1", so the header is removed.
  if (RelayedHead.Status == 503)
    eraseHeader(RelayedHead.Headers, "Retry-After");
  if (Entry->KeptResponse) {
    Entry->KeptResponse->Status = RelayedHead.Status;
    Entry->KeptResponse->Headers = RelayedHead.Headers;
  }
  setHeader(
      RelayedHead.Headers, request::RequestIdHeader,
      std::string(request::headerValue(Entry->Request.Head.Headers, request::RequestIdHeader)));
  Entry->Events.OnHead(RelayedHead);
  if (Feed)
    apply(RequestScheduler.onFeedStarted(Id, steadyNow()));
}

void Dispatcher::onData(RequestId Id, std::span<const std::uint8_t> Bytes) {
  Exchange *Entry = find(Id);
  if (Entry == nullptr)
    return;
  if (Entry->KeptResponse) {
    Entry->KeptResponse->Body.append(reinterpret_cast<const char *>(Bytes.data()), Bytes.size());
    if (Entry->KeptResponse->Body.size() > request::Ledger::MaxKeptBody)
      Entry->KeptResponse.reset();
  }
  Entry->Events.OnData(Bytes);
}

void Dispatcher::onCallEnded(RequestId Id, CallResult Result, const std::string &Detail) {
  Exchange *Entry = find(Id);
  if (Entry == nullptr)
    return;
  Entry->Call.reset();
  if (Result == CallResult::Completed)
    onCallCompleted(Id);
  else
    onCallFailed(Id, Result, Detail);
}

void Dispatcher::onCallCompleted(RequestId Id) {
  const auto Removed = removeExchange(Id);
  const Exchange &Entry = Removed.mapped();
  RequestLedger.answered(Id, Entry.KeptResponse, steadyNow());
  settleClaim(Id, Entry, RequestState::Answered);
  const bool Successful = Entry.Status < 500;
  const Completion Outcome = Successful ? Completion::Succeeded : Completion::Failed;
  Metrics.counter("requests_total", "Requests by outcome", {{"outcome", "answered"}}).Increment();
  if (NotifyResult)
    NotifyResult(Outcome);
  Entry.Events.OnResponseEnd();
  apply(RequestScheduler.onFinished(Id, Outcome, steadyNow()));
}

void Dispatcher::onCallFailed(RequestId Id, CallResult Result, const std::string &Detail) {
  const DispatchFailure Failure = failureOf(Result);
  const TimePoint Now = steadyNow();
  const Completion Outcome = completionOf(Result);
  if (NotifyResult)
    NotifyResult(Outcome);
  const auto Decisions = RequestScheduler.onFinished(Id, Outcome, Now);
  Exchange &Entry = *find(Id);
  const bool TimeLeft = Now + RetryDelay < Entry.Deadline;
  const bool Repeatable = Entry.Request.Complete && TimeLeft && !Entry.HeadRelayed;
  const bool AttemptsLeft = Entry.Dispatches < MaxDispatches;
  if (Repeatable && AttemptsLeft && RequestLedger.requeue(Id, Failure) &&
      RequestScheduler.tryTakeRetry(Now)) {
    scheduleRetry(Id);
  } else {
    const Duration RetryAfter =
        Failure == DispatchFailure::Shed ? retryAfterFrom(Detail) : DefaultRetryAfter;
    const std::string Explanation =
        Failure == DispatchFailure::Shed ? "the upstream sheds load" : Detail;
    Answer Response = conclude(Id, Failure, reasonOf(Failure), RetryAfter, Explanation);
    const auto Removed = removeExchange(Id);
    if (Removed.mapped().HeadRelayed)
      Removed.mapped().Events.OnAborted();
    else
      Removed.mapped().Events.OnAnswer(Response);
  }
  apply(Decisions);
}

void Dispatcher::scheduleRetry(RequestId Id) {
  Exchange &Entry = *find(Id);
  Entry.RetryTimer = std::make_shared<asio::steady_timer>(Io, RetryDelay);
  Entry.RetryTimer->async_wait(
      [this, Id, WeakTimer = std::weak_ptr(Entry.RetryTimer)](const auto &Failure) {
        if (Failure || WeakTimer.expired())
          return;
        if (Exchange *Retried = find(Id)) {
          Retried->RetryTimer.reset();
          enqueue(Id);
        }
      });
}

Answer Dispatcher::conclude(RequestId Id, std::optional<DispatchFailure> Failure, ResultCode Reason,
                            Duration RetryAfter, const std::string &Detail) {
  const RequestState FinalState =
      RequestLedger.endWithoutResponse(Id, Failure, Reason, Detail, steadyNow());
  Answer Response;
  if (FinalState == RequestState::NotRun)
    Response = request::notRunAnswer(Reason, RetryAfter, Detail);
  else if (Failure == DispatchFailure::TimedOut)
    Response = request::timeoutAnswer(Detail);
  else
    Response = request::unknownAnswer(Detail);
  if (const Exchange *Entry = find(Id)) {
    setHeader(
        Response.Headers, request::RequestIdHeader,
        std::string(request::headerValue(Entry->Request.Head.Headers, request::RequestIdHeader)));
    settleClaim(Id, *Entry, FinalState);
  }
  RequestLedger.recordStatus(Id, Response.Status);
  Metrics
      .counter("requests_total", "Requests by outcome",
               {{"outcome", std::string(request::name(FinalState))}})
      .Increment();
  return Response;
}

void Dispatcher::sendBody(RequestId Id, std::string Bytes, bool Last) {
  Exchange *Entry = find(Id);
  if (Entry == nullptr)
    return;
  if (Entry->Call) {
    Entry->Call->sendBody(std::move(Bytes), Last);
  } else {
    Entry->PendingBody += Bytes;
    Entry->BodyComplete = Last;
  }
  if (!Last)
    return;
  // A complete upload no longer depends on its caller's pace, so it bypasses the upload gate.
  const bool WasWaiting = Uploads.waits(Id);
  leaveUploadGate(Id);
  if (WasWaiting)
    claimOrEnqueue(Id);
}

void Dispatcher::pauseResponse(RequestId Id) {
  const Exchange *Entry = find(Id);
  if (Entry != nullptr && Entry->Call)
    Entry->Call->pause();
}

void Dispatcher::resumeResponse(RequestId Id) {
  const Exchange *Entry = find(Id);
  if (Entry != nullptr && Entry->Call)
    Entry->Call->resume();
}

void Dispatcher::cancel(RequestId Id) {
  if (find(Id) == nullptr)
    return;
  (void)conclude(Id, std::nullopt, ResultCode::RequestCancelled, DefaultRetryAfter,
                 "the caller closed the flow");
  cancelExchange(Id, Completion::Failed);
}

Answer Dispatcher::abortUpload(RequestId Id) {
  if (find(Id) == nullptr)
    return request::unknownAnswer("the request has ended");
  const std::string Detail = "the body of the request is malformed or ended early";
  Answer Response =
      conclude(Id, std::nullopt, ResultCode::RequestMalformed, DefaultRetryAfter, Detail);
  if (Response.Status == 503)
    Response = request::malformedAnswer(Detail);
  cancelExchange(Id, Completion::Failed);
  return Response;
}

void Dispatcher::cancelExchange(RequestId Id, Completion Outcome) {
  const auto Removed = removeExchange(Id);
  if (Removed.mapped().Call)
    Removed.mapped().Call->cancel();
  const TimePoint Now = steadyNow();
  apply(RequestScheduler.onCancelled(Id, Now));
  apply(RequestScheduler.onFinished(Id, Outcome, Now));
}

void Dispatcher::postAnswer(ExchangeCallbacks Events, Answer Response) {
  asio::post(Io, [Events = std::move(Events), Response = std::move(Response)] {
    Events.OnAnswer(Response);
  });
}

void Dispatcher::armTimer() {
  const auto Next = RequestScheduler.nextTimer();
  if (!Next)
    return;
  SchedulerTimer.expires_at(std::chrono::steady_clock::time_point(Next->time_since_epoch()));
  SchedulerTimer.async_wait([this](const auto &Failure) {
    if (!Failure)
      apply(RequestScheduler.onTimer(steadyNow()));
  });
}

void Dispatcher::stop() {
  SchedulerTimer.cancel();
  for (auto &[Id, Entry] : Exchanges)
    if (Entry.Call)
      Entry.Call->cancel();
  Exchanges.clear();
}

} // namespace galenarelay::agent
