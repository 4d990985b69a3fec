#include "galenarelay/routing/service_table.h"

#include "galenarelay/common/hash.h"

#include <algorithm>

namespace galenarelay::routing {

namespace {

/// Mixes a slot into a member's hash (the finalizer of SplitMix64, Steele et al. 2014).
std::uint64_t score(std::uint64_t MemberHash, std::uint64_t Slot) noexcept {
  std::uint64_t Mixed = MemberHash + (Slot + 1) * 0x9e3779b97f4a7c15ULL;
  Mixed = (Mixed ^ (Mixed >> 30)) * 0xbf58476d1ce4e5b9ULL;
  Mixed = (Mixed ^ (Mixed >> 27)) * 0x94d049bb133111ebULL;
  return Mixed ^ (Mixed >> 31);
}

} // namespace

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
      const std::uint64_t Score = score(Hashes[I], Slot);
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
