#include "galenarelay/relay/flow_search.h"

#include <utility>

namespace galenarelay::relay {

bool FlowSearch::begin(const packet::FlowKey &Key, std::uint32_t Acknowledgement,
                       common::TimePoint Now) {
  if (Searches.size() >= MaxSearches && !Searches.contains(Key))
    return false;
  auto [It, Added] = Searches.try_emplace(Key);
  Search &Entry = It->second;
  Entry.LastPacketAt = Now;
  Entry.Acknowledgement = Acknowledgement;
  if (Added) {
    Entry.StartedAt = Now;
    enqueue(Key, Entry, Stage::Nearest);
  }
  return true;
}

bool FlowSearch::add(const packet::FlowKey &Key, std::uint32_t Acknowledgement,
                     std::span<const std::uint8_t> Packet, common::TimePoint Now) {
  if (!begin(Key, Acknowledgement, Now))
    return false;
  Search &Entry = Searches.at(Key);
  if (Entry.Waiting.size() >= MaxHeldPerFlow || WaitingPackets >= MaxHeldPackets)
    return false;
  Entry.Waiting.push_back(std::make_shared<const Bytes>(Packet.begin(), Packet.end()));
  ++WaitingPackets;
  return true;
}

void FlowSearch::advance(const packet::FlowKey &Key, Search &Entry) {
  if (Entry.CurrentStage == Stage::Nearest)
    enqueue(Key, Entry, Stage::Candidates);
  else if (MayBroadcast)
    enqueue(Key, Entry, Stage::AllAgents);
  else
    Entry.CurrentStage = Stage::Paused;
}

void FlowSearch::enqueue(const packet::FlowKey &Key, Search &Entry, Stage Next) {
  Entry.CurrentStage = Next;
  Entry.Queried = false;
  Entry.Queued = true;
  Entry.AwaitingAnswer.clear();
  if (Next == Stage::AllAgents)
    LatestBroadcastStart = std::max(LatestBroadcastStart, Entry.StartedAt);
  (Next == Stage::AllAgents ? BroadcastQueue : CandidateQueue).push_back(Key);
}

void FlowSearch::repeatDeniedBroadcasts() {
  for (auto &[Key, Entry] : Searches)
    if (Entry.CurrentStage == Stage::AllAgents && Entry.Queried && Entry.AwaitingAnswer.empty())
      enqueue(Key, Entry, Stage::AllAgents);
}

FlowSearch::Search *FlowSearch::takeQueued(const packet::FlowKey &Key, bool IsBroadcast) {
  const auto It = Searches.find(Key);
  if (It == Searches.end() || !It->second.Queued ||
      (It->second.CurrentStage == Stage::AllAgents) != IsBroadcast)
    return nullptr;
  It->second.Queued = false;
  return &It->second;
}

void FlowSearch::addRows(const packet::FlowKey &Key, Search &Entry,
                         std::span<const NodeAddress> Agents, common::TimePoint Now,
                         RowsByAgent &Rows) {
  Entry.Queried = true;
  Entry.QueriedAt = Now;
  Entry.AwaitingAnswer.clear();
  for (const NodeAddress Agent : Agents) {
    if (std::find(Entry.DeniedBy.begin(), Entry.DeniedBy.end(), Agent) != Entry.DeniedBy.end())
      continue;
    Entry.AwaitingAnswer.push_back(Agent);
    Rows[Agent].push_back({Key, Entry.Acknowledgement});
  }
}

FlowSearch::Questions FlowSearch::makeQueries(const RowsByAgent &Rows) {
  Questions Queries;
  for (const auto &[Agent, AgentRows] : Rows) {
    for (std::size_t Begin = 0; Begin < AgentRows.size(); Begin += MaxQueriedFlows) {
      const auto Batch =
          std::span(AgentRows).subspan(Begin, std::min(MaxQueriedFlows, AgentRows.size() - Begin));
      Question Query{Agent, {NextNumber++, {Batch.begin(), Batch.end()}}};
      PendingQuery &Pending = PendingQueries[Query.Message.Id];
      Pending.Agent = Agent;
      for (const auto &Row : Batch)
        Pending.Keys.push_back(Row.Key);
      Queries.push_back(std::move(Query));
    }
  }
  while (NextNumber - OldestNumber > MaxRecentQueries)
    PendingQueries.erase(OldestNumber++);
  return Queries;
}

bool FlowSearch::broadcastDue(common::TimePoint Now) const noexcept {
  return !BroadcastQueue.empty() &&
         Now - LastBroadcastAt >= (PacedByFleetSize ? BroadcastPause : BroadcastInterval);
}

FlowSearch::Questions FlowSearch::takeBroadcastQueries(std::span<const NodeAddress> Holders,
                                                       common::TimePoint Now, Outcome &Result) {
  LastBroadcastAt = Now;
  BroadcastPause = std::clamp<common::Duration>(BroadcastTimePerAgent *
                                                    static_cast<std::int64_t>(Holders.size()),
                                                CandidateQueryInterval, BroadcastInterval);
  RowsByAgent Rows;
  for (std::size_t Taken = 0; Taken < MaxQueriedFlows && !BroadcastQueue.empty(); ++Taken) {
    const packet::FlowKey Key = BroadcastQueue.front();
    BroadcastQueue.pop_front();
    Search *Entry = takeQueued(Key, true);
    if (Entry == nullptr)
      continue;
    addRows(Key, *Entry, Holders, Now, Rows);
    ++Entry->Rounds;
    if (Entry->AwaitingAnswer.empty() && !Holders.empty())
      Result.DeniedByAll.push_back(Key);
  }
  return makeQueries(Rows);
}

FlowSearch::Outcome FlowSearch::onAnswer(const FlowAnswer &Answer, NodeAddress From) {
  Outcome Result;
  const auto Query = PendingQueries.find(Answer.Id);
  if (Query == PendingQueries.end() || Query->second.Agent != From)
    return Result;
  const auto Keys = std::move(Query->second.Keys);
  PendingQueries.erase(Query);
  const auto Contains = [](const std::vector<std::uint8_t> &List, std::size_t Index) {
    return std::find(List.begin(), List.end(), Index) != List.end();
  };
  for (std::size_t I = 0; I < Keys.size(); ++I) {
    const packet::FlowKey &Key = Keys[I];
    if (!Searches.contains(Key))
      continue;
    if (Contains(Answer.Held, I))
      Result.HeldByAgent.push_back(Key);
    else if (Contains(Answer.Unsure, I))
      noteUnsure(Key, From);
    else if (onAbsence(Key, From))
      Result.DeniedByAll.push_back(Key);
  }
  return Result;
}

bool FlowSearch::onAbsence(const packet::FlowKey &Key, NodeAddress From) {
  const auto It = Searches.find(Key);
  if (It == Searches.end())
    return false;
  Search &Entry = It->second;
  std::erase(Entry.UnsureAgents, From);
  if (Entry.CopiedTo == From) {
    Entry.CopiedTo = 0;
    enqueueCopy(Key, Entry);
  }
  if (std::erase(Entry.AwaitingAnswer, From) == 0)
    return false;
  Entry.DeniedBy.push_back(From);
  if (!Entry.AwaitingAnswer.empty())
    return false;
  if (Entry.CurrentStage == Stage::AllAgents)
    return true;
  advance(Key, Entry);
  return false;
}

void FlowSearch::noteUnsure(const packet::FlowKey &Key, NodeAddress From) {
  Search &Entry = Searches.at(Key);
  const auto &Unsure = Entry.UnsureAgents;
  if (Entry.CopiedTo == From || std::find(Unsure.begin(), Unsure.end(), From) != Unsure.end())
    return;
  Entry.UnsureAgents.push_back(From);
  enqueueCopy(Key, Entry);
}

void FlowSearch::enqueueCopy(const packet::FlowKey &Key, Search &Entry) {
  if (!std::exchange(Entry.CopyQueued, true))
    CopyQueue.push_back(Key);
}

std::vector<FlowSearch::PacketCopy> FlowSearch::takeCopies(std::size_t Limit,
                                                           common::TimePoint Now) {
  std::vector<PacketCopy> Copies;
  while (Copies.size() < Limit && !CopyQueue.empty()) {
    const packet::FlowKey Key = CopyQueue.front();
    CopyQueue.pop_front();
    const auto It = Searches.find(Key);
    if (It == Searches.end())
      continue;
    Search &Entry = It->second;
    Entry.CopyQueued = false;
    const bool Outstanding = Entry.CopiedTo != 0 && Now - Entry.CopiedAt < CopyTimeout;
    if (Outstanding || Entry.UnsureAgents.empty() || Entry.Waiting.empty())
      continue;
    Entry.CopiedTo = Entry.UnsureAgents.front();
    Entry.CopiedAt = Now;
    Entry.UnsureAgents.erase(Entry.UnsureAgents.begin());
    Copies.push_back({Key, Entry.CopiedTo, Entry.Waiting.front()});
  }
  return Copies;
}

FlowSearch::Progress FlowSearch::progress(const packet::FlowKey &Key) const {
  const Search &Entry = Searches.at(Key);
  return {Entry.DeniedBy.size(), Entry.AwaitingAnswer.size(), Entry.StartedAt};
}

FlowSearch::Packets FlowSearch::finish(const packet::FlowKey &Key) {
  const auto It = Searches.find(Key);
  if (It == Searches.end())
    return {};
  Packets Waiting = std::move(It->second.Waiting);
  WaitingPackets -= Waiting.size();
  Searches.erase(It);
  return Waiting;
}

// Each round starts with the candidates again, since agents that have started in the meantime may
// be among them.
void FlowSearch::onTimer(common::TimePoint Now) {
  constexpr std::uint32_t MaxDoublings = 4; // 2 * MaxSearchRepeat / SearchRepeat
  for (auto It = Searches.begin(); It != Searches.end();) {
    Search &Entry = It->second;
    if (Now - Entry.LastPacketAt > SearchRetention) {
      WaitingPackets -= Entry.Waiting.size();
      It = Searches.erase(It);
      continue;
    }
    if (!Entry.UnsureAgents.empty() && Now - Entry.CopiedAt >= CopyTimeout)
      enqueueCopy(It->first, Entry);
    const auto Waited = Now - Entry.QueriedAt;
    const auto Repeat = std::min<common::Duration>(
        SearchRepeat * (1U << std::min(Entry.Rounds, MaxDoublings)) / 2, MaxSearchRepeat);
    const bool InLastStage =
        Entry.CurrentStage == Stage::AllAgents || Entry.CurrentStage == Stage::Paused;
    if (Entry.Queried && !InLastStage && Waited >= StageTimeout)
      advance(It->first, Entry);
    else if (Entry.Queried && InLastStage &&
             Waited >= (Entry.CurrentStage == Stage::Paused ? StageTimeout : Repeat))
      enqueue(It->first, Entry, Stage::Nearest);
    ++It;
  }
}

} // namespace galenarelay::relay
