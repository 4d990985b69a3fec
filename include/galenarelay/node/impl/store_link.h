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

/// A value of the store.
struct StoreEntry {
  std::uint64_t Version = 0;
  std::string Value;

  friend bool operator==(const StoreEntry &, const StoreEntry &) = default;
};

/// The calls that a node makes to the platform's store; each is counted.
class StoreLink {
public:
  /// Longest time that a watch waits for a change.
  static constexpr std::chrono::milliseconds WatchWait{25000};
  /// Limit for calls other than watches; the store answers in milliseconds.
  static constexpr common::Duration CallTimeout = std::chrono::seconds(2);

  StoreLink(common::Endpoint Store, common::Metrics &Metrics);

  /// Writes the member's record and returns its version. A record that an earlier life of this
  /// member left is replaced. Errors: StoreUnavailable, StoreConflict, StoreBadAnswer.
  [[nodiscard]] boost::asio::awaitable<common::Outcome<std::uint64_t>>
  registerMember(membership::Member Self);
  /// Deletes the record if it still has this version. Errors: as registerMember.
  [[nodiscard]] boost::asio::awaitable<common::Outcome<std::uint64_t>>
  removeMember(std::string Id, std::uint64_t Version);
  /// Control addresses of all registered members. Errors: StoreUnavailable, StoreBadAnswer.
  [[nodiscard]] boost::asio::awaitable<common::Outcome<std::vector<common::Endpoint>>> contacts();
  /// Waits for a version of the configuration after this one. Errors: StoreUnavailable,
  /// StoreBadAnswer, StoreKeyNotFound (deleted), NotInForce (nothing new within WatchWait).
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
