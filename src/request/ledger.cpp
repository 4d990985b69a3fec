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
  const auto Found = Open.find(Id);
  return Found == Open.end() ? std::nullopt : std::optional(Found->second.Record.State);
}

std::vector<RequestRecord> Ledger::find(std::string_view TextId) const {
  std::vector<RequestRecord> Matches;
  for (const RequestRecord &Record : History)
    if (Record.Facts.TextId == TextId)
      Matches.push_back(Record);
  for (const auto &[Id, Request] : Open)
    if (Request.Record.Facts.TextId == TextId)
      Matches.push_back(Request.Record);
  std::sort(Matches.begin(), Matches.end(),
            [](const auto &Left, const auto &Right) { return Left.Id < Right.Id; });
  return Matches;
}

OpenResult Ledger::enter(RequestId Id, RequestFacts Facts, TimePoint Now) {
  if (!Facts.IdempotencyKey.empty()) {
    const KeyName Name{Facts.Service, Facts.IdempotencyKey};
    const auto Known = Keys.find(Name);
    if (Known != Keys.end())
      return answerForKey(Known->second, Facts);
    Keys[Name].Fingerprint = Facts.Fingerprint;
  }
  OpenRequest Entered;
  Entered.Record.Id = Id;
  Entered.Record.Facts = std::move(Facts);
  Entered.Record.Arrived = Now;
  Open.insert_or_assign(Id, std::move(Entered));
  return std::nullopt;
}

OpenResult Ledger::answerForKey(const KeyEntry &Known, const RequestFacts &Facts) const {
  if (Known.Fingerprint != Facts.Fingerprint)
    return malformedAnswer("the Idempotency-Key was used for a different request");
  if (!Known.Final)
    return conflictAnswer("a request with this Idempotency-Key is running");
  if (*Known.Final == RequestState::Unknown)
    return unknownAnswer("the request with this Idempotency-Key has an unknown outcome");
  if (Known.Kept)
    return *Known.Kept;
  return conflictAnswer("the request with this Idempotency-Key was answered with status " +
                        std::to_string(Known.Status) + "; its answer is not kept");
}

bool Ledger::dispatch(RequestId Id) {
  const auto Found = Open.find(Id);
  if (Found == Open.end() || Found->second.Record.State != RequestState::Queued)
    return false;
  Found->second.Record.State = RequestState::Dispatched;
  ++Found->second.Record.Dispatches;
  return true;
}

bool Ledger::requeue(RequestId Id, DispatchFailure Failure) {
  const auto Found = Open.find(Id);
  if (Found == Open.end() || Found->second.Record.State != RequestState::Dispatched)
    return false;
  OpenRequest &Request = Found->second;
  const bool Repeatable = isIdempotent(Request.Record.Facts.Method);
  if (Request.AnswerStarted || (!provesNotRun(Failure) && !Repeatable))
    return false;
  Request.Record.MayHaveRun = Request.Record.MayHaveRun || !provesNotRun(Failure);
  Request.Record.State = RequestState::Queued;
  return true;
}

void Ledger::answerStarted(RequestId Id, unsigned Status) {
  const auto Found = Open.find(Id);
  if (Found == Open.end())
    return;
  Found->second.AnswerStarted = true;
  Found->second.Record.MayHaveRun = true;
  Found->second.Record.Status = Status;
}

void Ledger::answered(RequestId Id, std::optional<Answer> Kept, TimePoint Now) {
  const auto Found = Open.find(Id);
  if (Found == Open.end() || Found->second.Record.State != RequestState::Dispatched)
    return;
  close(Id, RequestState::Answered, std::move(Kept), Now);
}

RequestState Ledger::giveUp(RequestId Id, std::optional<DispatchFailure> Failure, ResultCode Reason,
                            std::string Detail, TimePoint Now) {
  const auto Found = Open.find(Id);
  if (Found == Open.end())
    return RequestState::Unknown;
  RequestRecord &Record = Found->second.Record;
  const bool AtUpstream = Record.State == RequestState::Dispatched;
  const bool Proven = !AtUpstream || (Failure && provesNotRun(*Failure));
  Record.MayHaveRun = Record.MayHaveRun || !Proven;
  Record.Reason = Reason;
  Record.Detail = std::move(Detail);
  const RequestState Final = Record.MayHaveRun ? RequestState::Unknown : RequestState::NotRun;
  close(Id, Final, std::nullopt, Now);
  return Final;
}

void Ledger::noteStatus(RequestId Id, unsigned Status) noexcept {
  const auto Found = std::find_if(History.rbegin(), History.rend(),
                                  [&](const RequestRecord &Record) { return Record.Id == Id; });
  if (Found != History.rend())
    Found->Status = Status;
}

void Ledger::close(RequestId Id, RequestState Final, std::optional<Answer> Kept, TimePoint Now) {
  auto Node = Open.extract(Id);
  RequestRecord Record = std::move(Node.mapped().Record);
  Record.State = Final;
  Record.Ended = Now;
  rememberKey(Record, std::move(Kept));
  History.push_back(std::move(Record));
  if (History.size() > MaxHistory)
    History.pop_front();
}

void Ledger::rememberKey(const RequestRecord &Record, std::optional<Answer> Kept) {
  if (Record.Facts.IdempotencyKey.empty())
    return;
  const KeyName Name{Record.Facts.Service, Record.Facts.IdempotencyKey};
  if (Record.State == RequestState::NotRun) {
    Keys.erase(Name); // A resend may run, since this request did not.
    return;
  }
  KeyEntry &Entry = Keys[Name];
  Entry.Final = Record.State;
  Entry.Status = Record.Status;
  if (Kept && Kept->Body.size() <= MaxKeptBody)
    Entry.Kept = std::move(Kept);
  FinishedKeys.push_back(Name);
  if (FinishedKeys.size() <= MaxKeys)
    return;
  Keys.erase(FinishedKeys.front());
  FinishedKeys.pop_front();
}

} // namespace galenarelay::request
