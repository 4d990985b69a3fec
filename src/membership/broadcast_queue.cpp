#include "galenarelay/membership/impl/broadcast_queue.h"

#include <vector>

namespace galenarelay::membership::impl {

std::size_t cborBytes(const nlohmann::json &Value) { return nlohmann::json::to_cbor(Value).size(); }

std::uint32_t BroadcastQueue::minSendCount() const noexcept {
  return SendOrder.empty() ? 0 : std::get<0>(*SendOrder.begin());
}

void BroadcastQueue::put(const std::string &Id, nlohmann::json Record) {
  erase(Id);
  const std::size_t Bytes = cborBytes(Record);
  const std::uint64_t InsertionNumber = NextInsertionNumber++;
  RecordsById[Id] = {std::move(Record), Bytes, 0, InsertionNumber};
  SendOrder.emplace(0, InsertionNumber, Id);
}

void BroadcastQueue::erase(const std::string &Id) {
  const auto Found = RecordsById.find(Id);
  if (Found == RecordsById.end())
    return;
  SendOrder.erase({Found->second.SendCount, Found->second.InsertionNumber, Id});
  RecordsById.erase(Found);
}

std::size_t BroadcastQueue::take(nlohmann::json &List, std::size_t MaxBytes,
                                 std::uint32_t MaxSends) {
  // Records differ little in size, so the search ends after a few records that don't fit.
  constexpr int MaxMisfits = 4;
  std::size_t UsedBytes = 0;
  int Misfits = 0;
  std::vector<std::string> ChosenIds;
  for (const SendOrderKey &Key : SendOrder) {
    const std::string &Id = std::get<2>(Key);
    const QueuedRecord &Candidate = RecordsById.at(Id);
    if (UsedBytes + Candidate.Bytes <= MaxBytes) {
      UsedBytes += Candidate.Bytes;
      ChosenIds.push_back(Id);
    } else if (++Misfits >= MaxMisfits) {
      break;
    }
  }
  for (const std::string &Id : ChosenIds) {
    QueuedRecord &Chosen = RecordsById.at(Id);
    List.push_back(Chosen.Record);
    if (Chosen.SendCount + 1 >= MaxSends) {
      erase(Id);
      continue;
    }
    SendOrder.erase({Chosen.SendCount, Chosen.InsertionNumber, Id});
    ++Chosen.SendCount;
    SendOrder.emplace(Chosen.SendCount, Chosen.InsertionNumber, Id);
  }
  return UsedBytes;
}

} // namespace galenarelay::membership::impl
