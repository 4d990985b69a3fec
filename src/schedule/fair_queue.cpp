#include "galenarelay/schedule/impl/fair_queue.h"

namespace galenarelay::schedule::impl {

using common::Duration;

Duration FairQueue::work(std::uint32_t Caller) const noexcept {
  const auto It = CallerQueues.find(Caller);
  return It == CallerQueues.end() ? Duration{} : It->second.Work;
}

common::TimePoint FairQueue::oldestArrival() const noexcept { return ByArrival.begin()->first; }

void FairQueue::push(QueuedRequest Item, Tag Start, Tag Finish) {
  const std::uint32_t Caller = Item.Request.Caller;
  const auto [It, IsNew] = CallerQueues.try_emplace(Caller);
  CallerQueue &Queue = It->second;
  if (IsNew) {
    Queue.Start = Start;
    Queue.Finish = Finish;
  } else {
    removeFromOrder(Queue);
  }
  ByArrival.emplace(Item.Arrived, Item.Request.Id);
  Queue.Work += Item.Predicted.Mean;
  Work += Item.Predicted.Mean;
  const RequestId Id = Item.Request.Id;
  Queue.Requests.push_back(std::move(Item));
  RequestsById.emplace(Id, std::prev(Queue.Requests.end()));
  addToOrder(Queue);
}

std::pair<QueuedRequest, FairQueue::Tag> FairQueue::takeNext() {
  const auto [Start, Key] = *ByStart.begin();
  const auto Item = RequestsById.at(Key.second);
  return {take(Item->Request.Caller, Item), Start};
}

std::pair<QueuedRequest, FairQueue::Tag> FairQueue::takeOldest() {
  const auto Item = RequestsById.at(ByArrival.begin()->second);
  const std::uint32_t Caller = Item->Request.Caller;
  const Tag Start = CallerQueues.at(Caller).Start;
  return {take(Caller, Item), Start};
}

QueuedRequest FairQueue::takeEvictionVictim() {
  const auto Item = RequestsById.at(ByFinish.rbegin()->second.second);
  return take(Item->Request.Caller, Item);
}

std::optional<QueuedRequest> FairQueue::remove(RequestId Id) {
  const auto It = RequestsById.find(Id);
  if (It == RequestsById.end())
    return std::nullopt;
  return take(It->second->Request.Caller, It->second);
}

void FairQueue::updateTags(std::uint32_t Caller, Tag Start, Tag Finish) {
  const auto It = CallerQueues.find(Caller);
  if (It == CallerQueues.end())
    return;
  removeFromOrder(It->second);
  It->second.Start = Start;
  It->second.Finish = Finish;
  addToOrder(It->second);
}

void FairQueue::removeFromOrder(const CallerQueue &Queue) {
  ByStart.erase({Queue.Start, arrivalKey(Queue.Requests.front())});
  ByFinish.erase({Queue.Finish + Queue.Work, arrivalKey(Queue.Requests.back())});
}

void FairQueue::addToOrder(const CallerQueue &Queue) {
  ByStart.emplace(Queue.Start, arrivalKey(Queue.Requests.front()));
  ByFinish.emplace(Queue.Finish + Queue.Work, arrivalKey(Queue.Requests.back()));
}

QueuedRequest FairQueue::take(std::uint32_t Caller, std::list<QueuedRequest>::iterator Item) {
  const auto It = CallerQueues.find(Caller);
  CallerQueue &Queue = It->second;
  removeFromOrder(Queue);
  QueuedRequest Taken = std::move(*Item);
  Queue.Requests.erase(Item);
  Queue.Work -= Taken.Predicted.Mean;
  Work -= Taken.Predicted.Mean;
  RequestsById.erase(Taken.Request.Id);
  ByArrival.erase({Taken.Arrived, Taken.Request.Id});
  if (Queue.Requests.empty())
    CallerQueues.erase(It);
  else
    addToOrder(Queue);
  return Taken;
}

} // namespace galenarelay::schedule::impl
