#include "galenarelay/membership/impl/broadcast_queue.h"

#include <vector>

namespace galenarelay::membership::impl {

std::size_t cborBytes(const nlohmann::json &Value) { return nlohmann::json::to_cbor(Value).size(); }

std::uint32_t BroadcastQueue::leastSent() const noexcept {
  return Order.empty() ? 0 : std::get<0>(*Order.begin());
}

void BroadcastQueue::put(const std::string &Id, nlohmann::json Record) {
  erase(Id);
  const std::size_t Bytes = cborBytes(Record);
  const std::uint64_t Rank = NextRank++;
  Items[Id] = {std::move(Record), Bytes, 0, Rank};
  Order.emplace(0, Rank, Id);
}

void BroadcastQueue::erase(const std::string &Id) {
  const auto Found = Items.find(Id);
  if (Found == Items.end())
    return;
  Order.erase({Found->second.Sent, Found->second.Rank, Id});
  Items.erase(Found);
}

std::size_t BroadcastQueue::take(nlohmann::json &List, std::size_t Budget, std::uint32_t Limit) {
  // Records differ little in size, so the search ends soon after the first that doesn't fit.
  constexpr int MaxMisfits = 4;
  std::size_t Used = 0;
  int Misfits = 0;
  std::vector<std::string> Chosen;
  for (const Position &At : Order) {
    const std::string &Id = std::get<2>(At);
    const Item &Candidate = Items.at(Id);
    if (Used + Candidate.Bytes <= Budget) {
      Used += Candidate.Bytes;
      Chosen.push_back(Id);
    } else if (++Misfits >= MaxMisfits) {
      break;
    }
  }
  for (const std::string &Id : Chosen) {
    Item &Sent = Items.at(Id);
    List.push_back(Sent.Record);
    if (Sent.Sent + 1 >= Limit) {
      erase(Id);
      continue;
    }
    Order.erase({Sent.Sent, Sent.Rank, Id});
    ++Sent.Sent;
    Order.emplace(Sent.Sent, Sent.Rank, Id);
  }
  return Used;
}

} // namespace galenarelay::membership::impl
