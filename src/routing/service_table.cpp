#include "galenarelay/routing/service_table.h"

#include "galenarelay/common/hash.h"
#include "galenarelay/common/hash_mix.h"

#include <algorithm>

namespace galenarelay::routing {

ServiceTable::ServiceTable(std::string_view ServiceName, std::vector<std::string> MemberIds)
    : Members(std::move(MemberIds)) {
  std::sort(Members.begin(), Members.end());
  Members.erase(std::unique(Members.begin(), Members.end()), Members.end());
  const std::uint64_t Seed = common::hash64(ServiceName);
  std::vector<std::uint64_t> MemberHashes;
  MemberHashes.reserve(Members.size());
  for (const std::string &Id : Members)
    MemberHashes.push_back(common::hash64(Id, Seed));
  for (std::size_t Slot = 0; Slot < TableSlots; ++Slot) {
    std::uint64_t FirstScore = 0;
    std::uint64_t SecondScore = 0;
    SlotMembers SlotChoice;
    for (std::size_t I = 0; I < MemberHashes.size(); ++I) {
      const std::uint64_t Score = common::mixHash(MemberHashes[I], Slot);
      if (SlotChoice.First == NoMemberPosition || Score > FirstScore) {
        SecondScore = FirstScore;
        SlotChoice.Second = SlotChoice.First;
        FirstScore = Score;
        SlotChoice.First = static_cast<std::uint16_t>(I);
      } else if (SlotChoice.Second == NoMemberPosition || Score > SecondScore) {
        SecondScore = Score;
        SlotChoice.Second = static_cast<std::uint16_t>(I);
      }
    }
    Slots[Slot] = SlotChoice;
  }
}

} // namespace galenarelay::routing
