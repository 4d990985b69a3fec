#ifndef GALENARELAY_NODE_IMPL_STORE_LINK_H
#define GALENARELAY_NODE_IMPL_STORE_LINK_H

#include "galenarelay/common/http.h"
#include "galenarelay/common/metrics.h"
#include "galenarelay/membership/member.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace galenarelay::node::impl {

/// Value and version of a key in the store.
struct StoreEntry {
  std::uint64_t Version = 0;
  std::string Value;

  friend bool operator==(const StoreEntry &, const StoreEntry &) = default;
};

/// HTTP client for the calls that a node makes to the platform's key-value store. Counts all calls
/// and those without a response.
class NodeStoreClient {
public:
  /// Maximum time that the store holds a watch open until the key changes.
  static constexpr std::chrono::milliseconds MaxWatchWait{25000};
  /// Timeout of calls other than watches, which get this in addition to MaxWatchWait. The store
  /// answers in milliseconds.
  static constexpr common::Duration CallTimeout = std::chrono::seconds(2);

  NodeStoreClient(common::Endpoint Store, common::Metrics &Metrics);

  /// Writes the member's record and returns its version. Replaces a record that an earlier run of
  /// this member left. Errors: StoreUnavailable, StoreConflict, StoreRateLimited, StoreBadAnswer.
  [[nodiscard]] boost::asio::awaitable<common::Outcome<std::uint64_t>>
  registerMember(membership::Member Self);
  /// Deletes the member's record if it still has this version, which is returned. A record that is
  /// already deleted is no error. Errors: StoreUnavailable, StoreConflict (the record has another
  /// version), StoreRateLimited, StoreBadAnswer.
  [[nodiscard]] boost::asio::awaitable<common::Outcome<std::uint64_t>>
  removeMember(std::string Id, std::uint64_t Version);
  /// Control addresses of all registered members. Errors: StoreUnavailable, StoreRateLimited,
  /// StoreBadAnswer.
  [[nodiscard]] boost::asio::awaitable<common::Outcome<std::vector<common::Endpoint>>>
  registeredContacts();
  /// Waits for a version of the configuration key that is newer than After; 0 also returns the
  /// current one. Errors: StoreUnavailable, StoreRateLimited, StoreBadAnswer, StoreKeyNotFound (the
  /// key was deleted), NotInForce (no newer version within MaxWatchWait).
  [[nodiscard]] boost::asio::awaitable<common::Outcome<StoreEntry>>
  watchConfiguration(std::uint64_t After);

private:
  [[nodiscard]] boost::asio::awaitable<common::Outcome<common::HttpResponse>>
  call(std::string Method, std::string Target, std::string Body, common::Duration Timeout);

  common::Endpoint Store;
  prometheus::Counter &Calls;
  prometheus::Counter &Failures;
};

} // namespace galenarelay::node::impl

#endif // GALENARELAY_NODE_IMPL_STORE_LINK_H
