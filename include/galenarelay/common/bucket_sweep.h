#ifndef GALENARELAY_COMMON_BUCKET_SWEEP_H
#define GALENARELAY_COMMON_BUCKET_SWEEP_H

#include <algorithm>
#include <cstddef>
#include <vector>

namespace galenarelay::common {

/// Looks for old entries of a hash table a few buckets at a time, so that no call takes long.
class BucketSweep {
public:
  /// Calls IsOld for the entries of the next buckets; returns the keys for which it was true.
  template <typename Map, typename F>
  [[nodiscard]] std::vector<typename Map::key_type> next(Map &Entries, std::size_t Buckets,
                                                         F &&IsOld) {
    std::vector<typename Map::key_type> Old;
    const std::size_t All = Entries.bucket_count();
    for (std::size_t I = 0; I < std::min(Buckets, All); ++I) {
      Position = (Position + 1) % All;
      for (auto Entry = Entries.begin(Position); Entry != Entries.end(Position); ++Entry)
        if (IsOld(*Entry))
          Old.push_back(Entry->first);
    }
    return Old;
  }

private:
  std::size_t Position = 0;
};

} // namespace galenarelay::common

#endif // GALENARELAY_COMMON_BUCKET_SWEEP_H
