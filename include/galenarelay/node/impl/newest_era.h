#ifndef GALENARELAY_NODE_IMPL_NEWEST_ERA_H
#define GALENARELAY_NODE_IMPL_NEWEST_ERA_H

#include "galenarelay/common/log.h"
#include "galenarelay/relay/store_era.h"

#include <cstdint>
#include <optional>
#include <utility>

namespace galenarelay::node::impl {

/// The newest era that an answer of the store has named.
class NewestEra {
public:
  /// What an answer says of the era.
  enum class Finding : std::uint8_t {
    Current,
    Restored, ///< The store has come back from a copy since the last answer.
    Ended     ///< A late answer of before a restore.
  };

  /// 0 before the first answer.
  [[nodiscard]] relay::StoreEra value() const noexcept { return Newest.value_or(0); }

  /// Notes an answer, and logs a restore. Named is empty if the answer names no era.
  Finding note(std::optional<relay::StoreEra> Named) {
    if (!Named || Named == Newest)
      return Finding::Current;
    if (Newest && *Named < *Newest)
      return Finding::Ended;
    const auto Previous = std::exchange(Newest, Named);
    if (!Previous)
      return Finding::Current;
    common::log(common::LogLevel::Warning, "store_restored",
                {{"era", *Named}, {"previous", *Previous}});
    return Finding::Restored;
  }

private:
  std::optional<relay::StoreEra> Newest;
};

} // namespace galenarelay::node::impl

#endif // GALENARELAY_NODE_IMPL_NEWEST_ERA_H
