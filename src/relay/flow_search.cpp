#include "galenarelay/relay/flow_search.h"

#include <algorithm>

namespace galenarelay::relay {

bool FlowSearch::add(const packet::FlowKey &Key, std::uint32_t Acknowledgement,
                     std::span<const std::uint8_t> Packet, common::TimePoint Now) {
  if (Searches.size() >= MaxSearches && !Searches.contains(Key))
    return false;
  Search &Held = Searches[Key];
  Held.UsedAt = Now;
  Held.Acknowledgement = Acknowledgement;
  queueIfDue(Key, Held, Now);
  if (Held.Waiting.size() >= MaxHeldPerFlow || HeldPackets >= MaxHeldPackets)
    return false;
  Held.Waiting.push_back(std::make_shared<const Bytes>(Packet.begin(), Packet.end()));
  ++HeldPackets;
  return true;
}

void FlowSearch::queueIfDue(const packet::FlowKey &Key, Search &Held, common::TimePoint Now) {
  constexpr std::uint32_t MostDoublings = 3; // MaxSearchRepeat / SearchRepeat
  const auto Pause = SearchRepeat * (1U << std::min(Held.TimesAsked, MostDoublings)) / 2;
  if (Held.Queued || (Held.TimesAsked > 0 && Now - Held.AskedAt < std::min(Pause, MaxSearchRepeat)))
    return;
  Held.Queued = true;
  Unasked.push_back(Key);
}

bool FlowSearch::queryDue(common::TimePoint Now) const noexcept {
  if (Unasked.empty() || Now - LastQueryAt < QueryInterval)
    return false;
  const auto Open = std::count_if(Queries.begin(), Queries.end(), [Now](const OpenQuery &Each) {
    return Each.Missing > 0 && Now - Each.SentAt < QueryTimeout;
  });
  return static_cast<std::size_t>(Open) < MaxOpenQueries;
}

std::optional<FlowSearch::Query> FlowSearch::takeQuery(const std::vector<NodeAddress> &Reporting,
                                                       const std::vector<NodeAddress> &Expected,
                                                       common::TimePoint Now) {
  std::vector<NodeAddress> Holders = Reporting;
  Holders.insert(Holders.end(), Expected.begin(), Expected.end());
  if (!queryDue(Now) || Holders.empty())
    return std::nullopt;
  Query Next{{NextNumber++, {}}, Holders, {}};
  while (!Unasked.empty() && Next.Message.Rows.size() < MaxQueriedFlows) {
    const packet::FlowKey Key = Unasked.front();
    Unasked.pop_front();
    const auto Found = Searches.find(Key);
    if (Found == Searches.end())
      continue;
    Found->second.Queued = false;
    if (Next.Silent.empty())
      Next.Silent = Found->second.Unanswered;
    ++Found->second.TimesAsked;
    Found->second.AskedAt = Now;
    Found->second.Unanswered = Holders;
    Next.Message.Rows.push_back({Key, Found->second.Acknowledgement});
  }
  if (Next.Message.Rows.empty())
    return std::nullopt;
  LastQueryAt = Now;
  Queries.push_back({Next.Message, Reporting.size(), Now});
  if (Queries.size() > RememberedQueries)
    Queries.pop_front();
  return Next;
}

FlowSearch::Outcome FlowSearch::onAnswer(const FlowAnswer &Answer, NodeAddress From) {
  Outcome Settled;
  const auto Asked = std::find_if(Queries.begin(), Queries.end(), [&](const OpenQuery &Each) {
    return Each.Message.Number == Answer.Number;
  });
  if (Asked == Queries.end())
    return Settled;
  Asked->Missing -= Asked->Missing > 0 ? 1 : 0;
  const auto &Rows = Asked->Message.Rows;
  const auto Names = [](const std::vector<std::uint8_t> &List, std::size_t Index) {
    return std::find(List.begin(), List.end(), Index) != List.end();
  };
  for (std::size_t I = 0; I < Rows.size(); ++I) {
    const packet::FlowKey &Key = Rows[I].Key;
    if (!Searches.contains(Key))
      continue;
    if (Names(Answer.Held, I))
      Settled.Held.push_back(Key);
    else if (Names(Answer.Unsure, I))
      Settled.Unsure.push_back(Key);
    else if (onAbsence(Key, From))
      Settled.Nowhere.push_back(Key);
  }
  return Settled;
}

bool FlowSearch::onAbsence(const packet::FlowKey &Key, NodeAddress From) {
  const auto Found = Searches.find(Key);
  if (Found == Searches.end() || Found->second.TimesAsked == 0)
    return false;
  return std::erase(Found->second.Unanswered, From) > 0 && Found->second.Unanswered.empty();
}

std::shared_ptr<const Bytes> FlowSearch::anyPacket(const packet::FlowKey &Key) const {
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

void FlowSearch::onTimer(common::TimePoint Now) {
  for (auto At = Searches.begin(); At != Searches.end();) {
    Search &Held = At->second;
    if (Now - Held.UsedAt <= SearchRetention) {
      queueIfDue(At->first, Held, Now);
      ++At;
      continue;
    }
    HeldPackets -= At->second.Waiting.size();
    At = Searches.erase(At);
  }
}

} // namespace galenarelay::relay
