#ifndef GALENARELAY_NODE_IMPL_STORE_LINK_H
#define GALENARELAY_NODE_IMPL_STORE_LINK_H

#include "galenarelay/common/http.h"
#include "galenarelay/common/metrics.h"
#include "galenarelay/config/store_client.h"
#include "galenarelay/membership/member.h"
#include "galenarelay/node/impl/newest_era.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace galenarelay::node::impl {

/// Value and version of a key in the store.
struct StoreEntry {
  config::StoreVersion Version;
  std::string Value;

  friend bool operator==(const StoreEntry &, const StoreEntry &) = default;
};

/// HTTP client for the calls that a node makes to the platform's key-value store. Counts all calls
/// and those without a response. Every call may also fail with StoreEraEnded: its response is of
/// before a restore of the store, or the version that it names is.
class NodeStoreClient {
public:
  /// Maximum time that the store holds a watch open until the key changes.
  static constexpr std::chrono::milliseconds MaxWatchWait{25000};
  /// Timeout of calls other than watches, which get this in addition to MaxWatchWait. The store
  /// answers in milliseconds.
  static constexpr common::Duration CallTimeout = std::chrono::seconds(2);

  NodeStoreClient(common::Endpoint Store, common::Metrics &Metrics);

  /// The newest era that a response has named; 0 before the first one.
  [[nodiscard]] std::uint64_t era() const noexcept { return Newest.value(); }
  /// Callback is called when a response shows that the store has been restored.
  void onRestored(std::function<void()> Callback) { OnRestored = std::move(Callback); }

  /// Writes the member's record, unless it is there already, and returns its version. Replaces a
  /// record that an earlier run of this member left. Errors: StoreUnavailable, StoreConflict,
  /// StoreRateLimited, StoreBadAnswer.
  [[nodiscard]] boost::asio::awaitable<common::Outcome<config::StoreVersion>>
  registerMember(membership::Member Self);
  /// Deletes the member's record if it still has this version, which is returned. A record that is
  /// already deleted is no error. Errors: StoreUnavailable, StoreConflict (the record has another
  /// version), StoreRateLimited, StoreBadAnswer.
  [[nodiscard]] boost::asio::awaitable<common::Outcome<config::StoreVersion>>
  removeMember(std::string Id, config::StoreVersion Version);
  /// Control addresses of all registered members. Errors: StoreUnavailable, StoreRateLimited,
  /// StoreBadAnswer.
  [[nodiscard]] boost::asio::awaitable<common::Outcome<std::vector<common::Endpoint>>>
  registeredContacts();
  /// Waits for a version of the configuration key that is newer than After; without After, also
  /// returns the current one. Errors: StoreUnavailable, StoreRateLimited, StoreBadAnswer,
  /// StoreKeyNotFound (the key was deleted), StoreHistoryGone (the store doesn't know After),
  /// NotInForce (no newer version within Wait, at most MaxWatchWait).
  [[nodiscard]] boost::asio::awaitable<common::Outcome<StoreEntry>>
  watchConfiguration(std::optional<config::StoreVersion> After, std::chrono::milliseconds Wait);
  /// Writes a key if it has the expected version. Errors: those of config::StoreClient::put.
  [[nodiscard]] boost::asio::awaitable<common::Outcome<config::StoreVersion>>
  write(std::string Key, config::StoreVersion Expected, std::string Value);

private:
  [[nodiscard]] boost::asio::awaitable<common::Outcome<common::HttpResponse>>
  call(std::string Method, std::string Target, std::string Body, common::Duration Timeout);

  /// Refuses a response of an earlier era, and notes a newer one.
  [[nodiscard]] common::Outcome<common::HttpResponse> inNewestEra(common::HttpResponse Response);

  common::Endpoint Store;
  NewestEra Newest;
  std::function<void()> OnRestored;
  prometheus::Counter &Calls;
  prometheus::Counter &Failures;
};

} // namespace galenarelay::node::impl

#endif // GALENARELAY_NODE_IMPL_STORE_LINK_H
