#include "galenarelay/schedule/impl/fair_queue.h"

namespace galenarelay::schedule::impl {

using common::Duration;

Duration FairQueue::work(std::uint32_t Caller) const noexcept {
  const auto Found = Lanes.find(Caller);
  return Found == Lanes.end() ? Duration{} : Found->second.Work;
}

common::TimePoint FairQueue::oldestArrival() const noexcept { return ByArrival.begin()->first; }

void FairQueue::push(Waiting Item, Tag Start, Tag Used) {
  const std::uint32_t Caller = Item.Request.Caller;
  const auto [Found, IsNew] = Lanes.try_emplace(Caller);
  Lane &To = Found->second;
  if (IsNew) {
    To.Start = Start;
    To.Used = Used;
  } else {
    unlink(To);
  }
  ByArrival.emplace(Item.Arrived, Item.Request.Id);
  To.Work += Item.Predicted.Mean;
  Work += Item.Predicted.Mean;
  const RequestId Id = Item.Request.Id;
  To.Items.push_back(std::move(Item));
  Index.emplace(Id, std::prev(To.Items.end()));
  link(To);
}

std::pair<Waiting, FairQueue::Tag> FairQueue::takeNext() {
  const auto [Start, At] = *ByStart.begin();
  const auto Item = Index.at(At.second);
  return {take(Item->Request.Caller, Item), Start};
}

std::pair<Waiting, FairQueue::Tag> FairQueue::takeOldest() {
  const auto Item = Index.at(ByArrival.begin()->second);
  const std::uint32_t Caller = Item->Request.Caller;
  const Tag Start = Lanes.at(Caller).Start;
  return {take(Caller, Item), Start};
}

Waiting FairQueue::takeLast() {
  const auto Item = Index.at(ByFinish.rbegin()->second.second);
  return take(Item->Request.Caller, Item);
}

std::optional<Waiting> FairQueue::remove(RequestId Id) {
  const auto Found = Index.find(Id);
  if (Found == Index.end())
    return std::nullopt;
  return take(Found->second->Request.Caller, Found->second);
}

void FairQueue::retag(std::uint32_t Caller, Tag Start, Tag Used) {
  const auto Found = Lanes.find(Caller);
  if (Found == Lanes.end())
    return;
  unlink(Found->second);
  Found->second.Start = Start;
  Found->second.Used = Used;
  link(Found->second);
}

void FairQueue::unlink(const Lane &From) {
  ByStart.erase({From.Start, positionOf(From.Items.front())});
  ByFinish.erase({From.Used + From.Work, positionOf(From.Items.back())});
}

void FairQueue::link(const Lane &To) {
  ByStart.emplace(To.Start, positionOf(To.Items.front()));
  ByFinish.emplace(To.Used + To.Work, positionOf(To.Items.back()));
}

Waiting FairQueue::take(std::uint32_t Caller, std::list<Waiting>::iterator Item) {
  const auto Found = Lanes.find(Caller);
  Lane &From = Found->second;
  unlink(From);
  Waiting Taken = std::move(*Item);
  From.Items.erase(Item);
  From.Work -= Taken.Predicted.Mean;
  Work -= Taken.Predicted.Mean;
  Index.erase(Taken.Request.Id);
  ByArrival.erase({Taken.Arrived, Taken.Request.Id});
  if (From.Items.empty())
    Lanes.erase(Found);
  else
    link(From);
  return Taken;
}

} // namespace galenarelay::schedule::impl
