#include "galenarelay/relay/waiting_flows.h"

#include <unordered_map>

namespace galenarelay::relay {

using policy::AdmissionVerdict;
using policy::Mechanism;

namespace {

std::uint64_t endpointKey(common::Endpoint Service) noexcept {
  return (std::uint64_t{Service.Address} << 16U) | Service.Port;
}

std::chrono::milliseconds wholeAge(common::Duration Age) noexcept {
  return std::chrono::duration_cast<std::chrono::milliseconds>(std::max(Age, common::Duration{}));
}

} // namespace

void WaitingFlows::onRefused(const packet::FlowKey &Key, const WaitingEntry &Entry,
                             AdmissionVerdict Verdict, common::TimePoint Now) {
  auto &Counts = Decisions[Entry.Service];
  ++(Verdict == AdmissionVerdict::RefuseForRetry ? Counts.RefusedForRetry : Counts.RefusedAtOnce);
  const bool MayReturn = Entry.Input.EarlierTries + 1 < policy::MaxCallerTries;
  if (MayReturn)
    addMessage({CallerTries::Purpose::Refused, Key, Entry.Input.EarlierTries + 1,
                wholeAge(Entry.Input.requestAge(Now))});
}

void WaitingFlows::addMessage(const CallerTries &Message) {
  if (InUse.uses(Mechanism::SharedContention) && Messages.size() < MaxTryMessages)
    Messages.push_back(Message);
}

std::optional<CallerTries> WaitingFlows::onCallerTries(const CallerTries &Message,
                                                       common::TimePoint Now) {
  const auto Caller = Message.Key.Caller.Address;
  const auto Service = endpointKey(Message.Key.Service);
  const auto StartedAt = Now - Message.Age;
  if (Message.Use == CallerTries::Purpose::Refused)
    Returning.noteRefused(Caller, Service, {Message.Count, StartedAt}, Now);
  if (Message.Use != CallerTries::Purpose::Query)
    return std::nullopt;
  const auto Earlier = Returning.takeReturn(Caller, Service, StartedAt, Now);
  if (!Earlier)
    return std::nullopt;
  return CallerTries{CallerTries::Purpose::Answer, Message.Key, Earlier->Count,
                     wholeAge(Now - Earlier->FirstSynAt)};
}

AdmissionVerdict WaitingFlows::judge(const policy::WaitingFlow &Flow,
                                     const policy::WaitForecast &Forecast,
                                     common::TimePoint Now) const {
  if (InUse.uses(Mechanism::SharedContention))
    return policy::AllTriesAdmission{}.judge(Flow, Forecast, Now);
  return policy::OneTryAdmission{}.judge(Flow, Forecast, Now);
}

packet::FlowKey WaitingFlows::evictionVictim() const {
  std::unordered_map<std::uint32_t, std::size_t> Counts;
  std::uint32_t Heaviest = Keys.front().Caller.Address;
  for (const auto &Key : Keys)
    if (++Counts[Key.Caller.Address] > Counts[Heaviest])
      Heaviest = Key.Caller.Address;
  return *std::find_if(Keys.rbegin(), Keys.rend(), [Heaviest](const packet::FlowKey &Key) {
    return Key.Caller.Address == Heaviest;
  });
}

bool WaitingFlows::enqueue(const packet::FlowKey &Key, WaitingEntry &Entry, common::TimePoint Now) {
  enqueueUnoffered(Key, Entry);
  if (std::exchange(Entry.HasWaited, true))
    return false;
  ++Decisions[Entry.Service].Waited;
  addMessage({CallerTries::Purpose::Query, Key, 0, wholeAge(Entry.Input.age(Now))});
  return true;
}

} // namespace galenarelay::relay
