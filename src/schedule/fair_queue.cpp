#include "galenarelay/schedule/impl/fair_queue.h"

namespace galenarelay::schedule::impl {

using common::Duration;

Duration FairQueue::work(std::uint32_t Caller) const noexcept {
  const auto Found = Lanes.find(Caller);
  return Found == Lanes.end() ? Duration{} : Found->second.Work;
}

common::TimePoint FairQueue::oldestArrival() const noexcept { return ByArrival.begin()->first; }

void FairQueue::push(Waiting Item, Tag Start) {
  const std::uint32_t Caller = Item.Request.Caller;
  const auto [Found, IsNew] = Lanes.try_emplace(Caller);
  Lane &To = Found->second;
  if (IsNew)
    To.Start = Start;
  else
    unlink(Caller, To);
  ByArrival.emplace(Item.Arrived, Item.Request.Id);
  To.Work += Item.Predicted.Mean;
  Work += Item.Predicted.Mean;
  const RequestId Id = Item.Request.Id;
  To.Items.push_back(std::move(Item));
  Index.emplace(Id, std::prev(To.Items.end()));
  link(Caller, To);
}

std::pair<Waiting, FairQueue::Tag> FairQueue::takeNext() {
  const auto [Start, Caller] = *ByStart.begin();
  return {take(Caller, Lanes.at(Caller).Items.begin()), Start};
}

std::pair<Waiting, FairQueue::Tag> FairQueue::takeOldest() {
  const auto Item = Index.at(ByArrival.begin()->second);
  const std::uint32_t Caller = Item->Request.Caller;
  const Tag Start = Lanes.at(Caller).Start;
  return {take(Caller, Item), Start};
}

Waiting FairQueue::takeLast() {
  const std::uint32_t Caller = ByFinish.rbegin()->second;
  return take(Caller, std::prev(Lanes.at(Caller).Items.end()));
}

std::optional<Waiting> FairQueue::remove(RequestId Id) {
  const auto Found = Index.find(Id);
  if (Found == Index.end())
    return std::nullopt;
  return take(Found->second->Request.Caller, Found->second);
}

void FairQueue::retag(std::uint32_t Caller, Tag Start) {
  const auto Found = Lanes.find(Caller);
  if (Found == Lanes.end())
    return;
  unlink(Caller, Found->second);
  Found->second.Start = Start;
  link(Caller, Found->second);
}

void FairQueue::unlink(std::uint32_t Caller, const Lane &From) {
  ByStart.erase({From.Start, Caller});
  ByFinish.erase({From.Start + From.Work, Caller});
}

void FairQueue::link(std::uint32_t Caller, const Lane &To) {
  ByStart.emplace(To.Start, Caller);
  ByFinish.emplace(To.Start + To.Work, Caller);
}

Waiting FairQueue::take(std::uint32_t Caller, std::list<Waiting>::iterator Item) {
  const auto Found = Lanes.find(Caller);
  Lane &From = Found->second;
  unlink(Caller, From);
  Waiting Taken = std::move(*Item);
  From.Items.erase(Item);
  From.Work -= Taken.Predicted.Mean;
  Work -= Taken.Predicted.Mean;
  Index.erase(Taken.Request.Id);
  ByArrival.erase({Taken.Arrived, Taken.Request.Id});
  if (From.Items.empty())
    Lanes.erase(Found);
  else
    link(Caller, From);
  return Taken;
}

} // namespace galenarelay::schedule::impl
