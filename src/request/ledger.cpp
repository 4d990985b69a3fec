#include "galenarelay/request/ledger.h"

#include <algorithm>
#include <array>

namespace galenarelay::request {

using common::ResultCode;
using common::TimePoint;

namespace {

constexpr std::array<std::string_view, 5> StateNames{"queued", "dispatched", "answered", "not run",
                                                     "unknown"};

bool provesNotRun(DispatchFailure Failure) noexcept {
  return Failure == DispatchFailure::NothingSent || Failure == DispatchFailure::Shed;
}

} // namespace

std::string_view name(RequestState State) noexcept {
  return StateNames[static_cast<std::size_t>(State)];
}

std::optional<RequestState> Ledger::state(RequestId Id) const noexcept {
  const auto Entry = OpenRequests.find(Id);
  return Entry == OpenRequests.end() ? std::nullopt : std::optional(Entry->second.Record.State);
}

std::vector<RequestRecord> Ledger::find(std::string_view TextId) const {
  std::vector<RequestRecord> Matches;
  for (const RequestRecord &Record : History)
    if (Record.Facts.TextId == TextId)
      Matches.push_back(Record);
  for (const auto &[Id, Request] : OpenRequests)
    if (Request.Record.Facts.TextId == TextId)
      Matches.push_back(Request.Record);
  std::sort(Matches.begin(), Matches.end(),
            [](const auto &Left, const auto &Right) { return Left.Id < Right.Id; });
  return Matches;
}

OpenResult Ledger::add(RequestId Id, RequestFacts Facts, TimePoint Now) {
  if (!Facts.IdempotencyKey.empty()) {
    const ServiceKey Name{Facts.Service, Facts.IdempotencyKey};
    const auto Entry = Keys.find(Name);
    if (Entry != Keys.end())
      return responseForKey(Entry->second, Facts);
    Keys[Name].Fingerprint = Facts.Fingerprint;
  }
  OpenRequest NewRequest;
  NewRequest.Record.Id = Id;
  NewRequest.Record.Facts = std::move(Facts);
  NewRequest.Record.Arrived = Now;
  OpenRequests.insert_or_assign(Id, std::move(NewRequest));
  return std::nullopt;
}

OpenResult Ledger::responseForKey(const KeyEntry &Entry, const RequestFacts &Facts) const {
  if (Entry.Fingerprint != Facts.Fingerprint)
    return malformedAnswer("the Idempotency-Key was used for a different request");
  if (!Entry.Final)
    return conflictAnswer("a request with this Idempotency-Key is running");
  if (*Entry.Final == RequestState::Unknown)
    return unknownAnswer("the request with this Idempotency-Key has an unknown outcome");
  if (Entry.Response)
    return *Entry.Response;
  return conflictAnswer("the request with this Idempotency-Key was answered with status " +
                        std::to_string(Entry.Status) + "; its answer is not kept");
}

bool Ledger::dispatch(RequestId Id) {
  const auto Entry = OpenRequests.find(Id);
  if (Entry == OpenRequests.end() || Entry->second.Record.State != RequestState::Queued)
    return false;
  Entry->second.Record.State = RequestState::Dispatched;
  ++Entry->second.Record.Dispatches;
  return true;
}

bool Ledger::requeue(RequestId Id, DispatchFailure Failure) {
  const auto Entry = OpenRequests.find(Id);
  if (Entry == OpenRequests.end() || Entry->second.Record.State != RequestState::Dispatched)
    return false;
  OpenRequest &Request = Entry->second;
  const bool Idempotent = isIdempotent(Request.Record.Facts.Method);
  if (Request.ResponseStarted || (!provesNotRun(Failure) && !Idempotent))
    return false;
  Request.Record.MayHaveRun = Request.Record.MayHaveRun || !provesNotRun(Failure);
  Request.Record.State = RequestState::Queued;
  return true;
}

void Ledger::responseStarted(RequestId Id, unsigned Status) {
  const auto Entry = OpenRequests.find(Id);
  if (Entry == OpenRequests.end())
    return;
  Entry->second.ResponseStarted = true;
  Entry->second.Record.MayHaveRun = true;
  Entry->second.Record.Status = Status;
}

void Ledger::answered(RequestId Id, std::optional<Answer> Response, TimePoint Now) {
  const auto Entry = OpenRequests.find(Id);
  if (Entry == OpenRequests.end() || Entry->second.Record.State != RequestState::Dispatched)
    return;
  finish(Id, RequestState::Answered, std::move(Response), Now);
}

RequestState Ledger::endWithoutResponse(RequestId Id, std::optional<DispatchFailure> Failure,
                                        ResultCode Reason, std::string Detail, TimePoint Now) {
  const auto Entry = OpenRequests.find(Id);
  if (Entry == OpenRequests.end())
    return RequestState::Unknown;
  RequestRecord &Record = Entry->second.Record;
  const bool AtUpstream = Record.State == RequestState::Dispatched;
  const bool ProvenNotRun = !AtUpstream || (Failure && provesNotRun(*Failure));
  Record.MayHaveRun = Record.MayHaveRun || !ProvenNotRun;
  Record.Reason = Reason;
  Record.Detail = std::move(Detail);
  const RequestState Final = Record.MayHaveRun ? RequestState::Unknown : RequestState::NotRun;
  finish(Id, Final, std::nullopt, Now);
  return Final;
}

void Ledger::recordStatus(RequestId Id, unsigned Status) noexcept {
  const auto Entry = std::find_if(History.rbegin(), History.rend(),
                                  [&](const RequestRecord &Record) { return Record.Id == Id; });
  if (Entry != History.rend())
    Entry->Status = Status;
}

void Ledger::finish(RequestId Id, RequestState Final, std::optional<Answer> Response,
                    TimePoint Now) {
  auto Node = OpenRequests.extract(Id);
  RequestRecord Record = std::move(Node.mapped().Record);
  Record.State = Final;
  Record.Ended = Now;
  rememberKey(Record, std::move(Response));
  History.push_back(std::move(Record));
  if (History.size() > MaxHistory)
    History.pop_front();
}

void Ledger::rememberKey(const RequestRecord &Record, std::optional<Answer> Response) {
  if (Record.Facts.IdempotencyKey.empty())
    return;
  const ServiceKey Name{Record.Facts.Service, Record.Facts.IdempotencyKey};
  if (Record.State == RequestState::NotRun) {
    Keys.erase(Name); // This request did not run, so a resend may.
    return;
  }
  KeyEntry &Entry = Keys[Name];
  Entry.Final = Record.State;
  Entry.Status = Record.Status;
  if (Response && Response->Body.size() <= MaxKeptBody)
    Entry.Response = std::move(Response);
  FinishedKeys.push_back(Name);
  if (FinishedKeys.size() <= MaxKeys)
    return;
  Keys.erase(FinishedKeys.front());
  FinishedKeys.pop_front();
}

} // namespace galenarelay::request
