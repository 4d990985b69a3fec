#include "galenarelay/relay/flow_search.h"

#include <utility>

namespace galenarelay::relay {

bool FlowSearch::add(const packet::FlowKey &Key, std::uint32_t Acknowledgement,
                     std::span<const std::uint8_t> Packet, common::TimePoint Now) {
  if (Searches.size() >= MaxSearches && !Searches.contains(Key))
    return false;
  auto [Found, Added] = Searches.try_emplace(Key);
  Search &Held = Found->second;
  Held.UsedAt = Now;
  Held.Acknowledgement = Acknowledgement;
  if (Added)
    enter(Key, Held, Stage::Nearest);
  if (Held.Waiting.size() >= MaxHeldPerFlow || HeldPackets >= MaxHeldPackets)
    return false;
  Held.Waiting.push_back(std::make_shared<const Bytes>(Packet.begin(), Packet.end()));
  ++HeldPackets;
  return true;
}

void FlowSearch::goOn(const packet::FlowKey &Key, Search &Held) {
  if (Held.At == Stage::Nearest)
    enter(Key, Held, Stage::Candidates);
  else if (MayWiden)
    enter(Key, Held, Stage::Everyone);
  else
    Held.At = Stage::Paused;
}

void FlowSearch::enter(const packet::FlowKey &Key, Search &Held, Stage Next) {
  Held.At = Next;
  Held.Asked = false;
  Held.Queued = true;
  Held.Unanswered.clear();
  (Next == Stage::Everyone ? WideQueue : NarrowQueue).push_back(Key);
}

FlowSearch::Search *FlowSearch::takeQueued(const packet::FlowKey &Key, bool Wide) {
  const auto Found = Searches.find(Key);
  if (Found == Searches.end() || !Found->second.Queued ||
      (Found->second.At == Stage::Everyone) != Wide)
    return nullptr;
  Found->second.Queued = false;
  return &Found->second;
}

void FlowSearch::ask(const packet::FlowKey &Key, Search &Held, std::span<const NodeAddress> Agents,
                     common::TimePoint Now, RowsByAgent &Rows) {
  Held.Asked = true;
  Held.AskedAt = Now;
  Held.Unanswered.clear();
  for (const NodeAddress Agent : Agents) {
    if (std::find(Held.Denied.begin(), Held.Denied.end(), Agent) != Held.Denied.end())
      continue;
    Held.Unanswered.push_back(Agent);
    Rows[Agent].push_back({Key, Held.Acknowledgement});
  }
}

FlowSearch::Questions FlowSearch::makeQuestions(const RowsByAgent &Rows) {
  Questions Made;
  for (const auto &[Agent, All] : Rows) {
    for (std::size_t Begin = 0; Begin < All.size(); Begin += MaxQueriedFlows) {
      const auto Part =
          std::span(All).subspan(Begin, std::min(MaxQueriedFlows, All.size() - Begin));
      Question Next{Agent, {NextNumber++, {Part.begin(), Part.end()}}};
      OpenQuestion &Kept = Open[Next.Message.Number];
      Kept.Agent = Agent;
      for (const auto &Row : Part)
        Kept.Keys.push_back(Row.Key);
      Made.push_back(std::move(Next));
    }
  }
  while (NextNumber - OldestNumber > MaxPendingQueries)
    Open.erase(OldestNumber++);
  return Made;
}

bool FlowSearch::broadcastDue(common::TimePoint Now) const noexcept {
  return !WideQueue.empty() && Now - WideAt >= (Paced ? WidePause : BroadcastInterval);
}

FlowSearch::Questions FlowSearch::takeBroadcastQueries(std::span<const NodeAddress> Holders,
                                                       common::TimePoint Now, Outcome &Settled) {
  WideAt = Now;
  WidePause = std::clamp<common::Duration>(BroadcastTimePerAgent *
                                               static_cast<std::int64_t>(Holders.size()),
                                           CandidateQueryInterval, BroadcastInterval);
  RowsByAgent Rows;
  for (std::size_t Taken = 0; Taken < MaxQueriedFlows && !WideQueue.empty(); ++Taken) {
    const packet::FlowKey Key = WideQueue.front();
    WideQueue.pop_front();
    Search *Held = takeQueued(Key, true);
    if (Held == nullptr)
      continue;
    ask(Key, *Held, Holders, Now, Rows);
    ++Held->Rounds;
    if (Held->Unanswered.empty() && !Holders.empty())
      Settled.DeniedByAll.push_back(Key);
  }
  return makeQuestions(Rows);
}

FlowSearch::Outcome FlowSearch::onAnswer(const FlowAnswer &Answer, NodeAddress From) {
  Outcome Settled;
  const auto Asked = Open.find(Answer.Number);
  if (Asked == Open.end() || Asked->second.Agent != From)
    return Settled;
  const auto Keys = std::move(Asked->second.Keys);
  Open.erase(Asked);
  const auto Names = [](const std::vector<std::uint8_t> &List, std::size_t Index) {
    return std::find(List.begin(), List.end(), Index) != List.end();
  };
  for (std::size_t I = 0; I < Keys.size(); ++I) {
    const packet::FlowKey &Key = Keys[I];
    if (!Searches.contains(Key))
      continue;
    if (Names(Answer.Held, I))
      Settled.Held.push_back(Key);
    else if (Names(Answer.Unsure, I))
      Settled.Unsure.push_back(Key);
    else if (onAbsence(Key, From))
      Settled.DeniedByAll.push_back(Key);
  }
  return Settled;
}

bool FlowSearch::onAbsence(const packet::FlowKey &Key, NodeAddress From) {
  const auto Found = Searches.find(Key);
  if (Found == Searches.end())
    return false;
  Search &Held = Found->second;
  if (std::erase(Held.Unanswered, From) == 0)
    return false;
  Held.Denied.push_back(From);
  if (!Held.Unanswered.empty())
    return false;
  if (Held.At == Stage::Everyone)
    return true;
  goOn(Key, Held);
  return false;
}

std::shared_ptr<const Bytes> FlowSearch::oldestPacket(const packet::FlowKey &Key) const {
  const auto Found = Searches.find(Key);
  if (Found == Searches.end() || Found->second.Waiting.empty())
    return nullptr;
  return Found->second.Waiting.front();
}

FlowSearch::Packets FlowSearch::finish(const packet::FlowKey &Key) {
  const auto Found = Searches.find(Key);
  if (Found == Searches.end())
    return {};
  Packets Waiting = std::move(Found->second.Waiting);
  HeldPackets -= Waiting.size();
  Searches.erase(Found);
  return Waiting;
}

// Each round begins with the candidates again: agents that have started meanwhile may be among
// them.
void FlowSearch::onTimer(common::TimePoint Now) {
  constexpr std::uint32_t MostDoublings = 4; // 2 * MaxSearchRepeat / SearchRepeat
  for (auto At = Searches.begin(); At != Searches.end();) {
    Search &Held = At->second;
    if (Now - Held.UsedAt > SearchRetention) {
      HeldPackets -= Held.Waiting.size();
      At = Searches.erase(At);
      continue;
    }
    const auto Waited = Now - Held.AskedAt;
    const auto Repeat = std::min<common::Duration>(
        SearchRepeat * (1U << std::min(Held.Rounds, MostDoublings)) / 2, MaxSearchRepeat);
    const bool LastStage = Held.At == Stage::Everyone || Held.At == Stage::Paused;
    if (Held.Asked && !LastStage && Waited >= StageTimeout)
      goOn(At->first, Held);
    else if (Held.Asked && LastStage &&
             Waited >= (Held.At == Stage::Paused ? StageTimeout : Repeat))
      enter(At->first, Held, Stage::Nearest);
    ++At;
  }
}

} // namespace galenarelay::relay
