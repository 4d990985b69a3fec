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
  std::vector<std::uint64_t> Hashes;
  Hashes.reserve(Members.size());
  for (const std::string &Id : Members)
    Hashes.push_back(common::hash64(Id, Seed));
  for (std::size_t Slot = 0; Slot < TableSlots; ++Slot) {
    std::uint64_t Best = 0;
    std::uint64_t Next = 0;
    Choice Chosen;
    for (std::size_t I = 0; I < Hashes.size(); ++I) {
      const std::uint64_t Score = common::mixHash(Hashes[I], Slot);
      if (Chosen.First == NoMember || Score > Best) {
        Next = Best;
        Chosen.Second = Chosen.First;
        Best = Score;
        Chosen.First = static_cast<std::uint16_t>(I);
      } else if (Chosen.Second == NoMember || Score > Next) {
        Next = Score;
        Chosen.Second = static_cast<std::uint16_t>(I);
      }
    }
    Slots[Slot] = Chosen;
  }
}

} // namespace galenarelay::routing
