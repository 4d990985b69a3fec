#ifndef GALENARELAY_RELAY_STORE_CALL_H
#define GALENARELAY_RELAY_STORE_CALL_H

#include "galenarelay/common/error.h"
#include "galenarelay/common/http.h"
#include "galenarelay/common/time.h"
#include "galenarelay/relay/store_era.h"

#include <compare>
#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace galenarelay::relay {

/// An HTTP request to the store.
struct StoreCall {
  std::string Method;
  std::string Target;
  std::string Body;

  friend bool operator==(const StoreCall &, const StoreCall &) = default;
};

/// A key of the store with its value, or a change of it.
struct StoreItem {
  std::string Key;
  std::string Value;
  std::uint64_t Revision = 0; ///< Store revision of the key's last change.
  bool Removed = false;
  std::uint64_t Lease = 0; ///< 0 without a lease.

  friend bool operator==(const StoreItem &, const StoreItem &) = default;
};

/// A revision of the whole store. One of a later era is newer, whatever its number.
struct StoreRevision {
  StoreEra Era = 0;
  std::uint64_t Number = 0; ///< Above 0 in every answer of a store.

  friend bool operator==(const StoreRevision &, const StoreRevision &) = default;
  friend std::strong_ordering operator<=>(const StoreRevision &A, const StoreRevision &B) noexcept {
    return std::tie(A.Era, A.Number) <=> std::tie(B.Era, B.Number);
  }
};

/// A page of keys or changes, and the revision of the whole store from which to continue.
struct StorePage {
  std::vector<StoreItem> Items;
  /// Keys of existing items of which something else can't be read. Some keys say all by themselves.
  std::vector<std::string> UnreadableKeys;
  StoreRevision Revision;
  bool More = false;

  friend bool operator==(const StorePage &, const StorePage &) = default;
};

/// A lease granted by the store.
struct StoreLease {
  StoreEra Era = 0;
  std::uint64_t Id = 0;
  common::Duration TimeToLive{};

  friend bool operator==(const StoreLease &, const StoreLease &) = default;
};

/// Protocol of a store: builds requests and parses responses.
/// Errors of the read functions: StoreUnavailable, StoreRateLimited, StoreHistoryGone,
/// StoreKeyNotFound, StoreConflict, StoreBadAnswer. readEra has only the last of these.
template <typename T>
concept StoreProtocol = requires(const std::string &Text, std::uint64_t Number,
                                 common::Duration Time, const common::HttpResponse &Answer) {
  { T::configurationKey() } -> std::convertible_to<std::string>;
  { T::operatorPrefix() } -> std::convertible_to<std::string>;
  { T::readEvacuationKey(Text) } -> std::same_as<std::optional<std::string>>;
  { T::list(Text) } -> std::same_as<StoreCall>;
  { T::listAfter(Text, Text) } -> std::same_as<StoreCall>;
  { T::listRecent(Text) } -> std::same_as<StoreCall>;
  { T::watch(Text, Number, Time) } -> std::same_as<StoreCall>;
  { T::put(Text, Text, Number) } -> std::same_as<StoreCall>;
  { T::remove(Text) } -> std::same_as<StoreCall>;
  { T::grantLease(Time) } -> std::same_as<StoreCall>;
  { T::renewLease(Number) } -> std::same_as<StoreCall>;
  { T::readEra(Answer) } -> std::same_as<common::Outcome<std::optional<StoreEra>>>;
  { T::readPage(Answer) } -> std::same_as<common::Outcome<StorePage>>;
  { T::readLease(Answer) } -> std::same_as<common::Outcome<StoreLease>>;
  { T::readWritten(Answer) } -> std::same_as<common::Outcome<StoreRevision>>;
};

} // namespace galenarelay::relay

#endif // GALENARELAY_RELAY_STORE_CALL_H
