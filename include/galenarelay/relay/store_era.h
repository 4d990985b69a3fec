#ifndef GALENARELAY_RELAY_STORE_ERA_H
#define GALENARELAY_RELAY_STORE_ERA_H

#include <cstdint>

namespace galenarelay::relay {

/// Rises by one whenever the store comes back from an older copy. Revisions and leases are given
/// out anew after a restore, so that each is valid only within its era.
using StoreEra = std::uint64_t;

} // namespace galenarelay::relay

#endif // GALENARELAY_RELAY_STORE_ERA_H
