#ifndef GALENARELAY_CONFIG_STORE_CLIENT_H
#define GALENARELAY_CONFIG_STORE_CLIENT_H

#include "galenarelay/common/error.h"
#include "galenarelay/common/http.h"

#include <concepts>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace galenarelay::config {

/// A value in the store. Version 0: the key doesn't exist.
struct StoredValue {
  std::string Key;
  std::uint64_t Version = 0;
  std::string Text;

  friend bool operator==(const StoredValue &, const StoredValue &) = default;
};

/// Sends one request to the store. Example: a wrapper of common::httpCallBlocking.
template <typename T>
concept StoreTransport = requires(T &Transport, const std::string &Text) {
  { Transport.call(Text, Text, Text) } -> std::same_as<common::Outcome<common::HttpResponse>>;
};

/// What editing needs of the store.
template <typename T>
concept ConfigStore = requires(T &Store, const std::string &Text, std::uint64_t Version,
                               std::uint32_t Attempt) {
  { Store.get(Text) } -> std::same_as<common::Outcome<StoredValue>>;
  { Store.list(Text) } -> std::same_as<common::Outcome<std::vector<StoredValue>>>;
  { Store.put(Text, Version, Text) } -> std::same_as<common::Outcome<std::uint64_t>>;
  Store.pause(Attempt);
};

namespace impl {

/// Target of a key's endpoint, with an optional version.
[[nodiscard]] std::string keyTarget(const std::string &Key);
[[nodiscard]] std::string keyTarget(const std::string &Key, std::uint64_t Version);
[[nodiscard]] std::string listTarget(const std::string &Prefix);

/// Reads the store's answers.
[[nodiscard]] common::Outcome<StoredValue>
readValue(const std::string &Key, const common::Outcome<common::HttpResponse> &Answer);
[[nodiscard]] common::Outcome<std::vector<StoredValue>>
readList(const common::Outcome<common::HttpResponse> &Answer);
[[nodiscard]] common::Outcome<std::uint64_t>
readWritten(const common::Outcome<common::HttpResponse> &Answer);

} // namespace impl

/// Client of the platform's key-value store.
template <StoreTransport Transport> class StoreClient {
public:
  explicit StoreClient(Transport Sender) : Sender(std::move(Sender)) {}

  /// Errors: StoreUnavailable, StoreRateLimited, StoreBadAnswer.
  [[nodiscard]] common::Outcome<StoredValue> get(const std::string &Key) {
    return impl::readValue(Key, Sender.call("GET", impl::keyTarget(Key), ""));
  }

  /// All values whose key starts with the prefix. Errors as get.
  [[nodiscard]] common::Outcome<std::vector<StoredValue>> list(const std::string &Prefix) {
    return impl::readList(Sender.call("GET", impl::listTarget(Prefix), ""));
  }

  /// Writes if the key still has the version; returns the new one. Errors: StoreConflict,
  /// StoreUnavailable (nothing was sent), StoreOutcomeUnknown, StoreRateLimited, StoreBadAnswer.
  [[nodiscard]] common::Outcome<std::uint64_t> put(const std::string &Key, std::uint64_t Version,
                                                   const std::string &Text) {
    return impl::readWritten(Sender.call("PUT", impl::keyTarget(Key, Version), Text));
  }

  /// Waits before a further attempt.
  void pause(std::uint32_t Attempt) { Sender.pause(Attempt); }

private:
  Transport Sender;
};

/// Transport over HTTP that blocks, for command-line programs.
class BlockingTransport {
public:
  /// Waits at most Timeout for each answer; each pause is random up to a bound that doubles from
  /// FirstPause to LongestPause.
  BlockingTransport(common::Endpoint Store, common::Duration Timeout, std::uint64_t Seed) noexcept
      : Store(Store), Timeout(Timeout), State(Seed) {}

  [[nodiscard]] common::Outcome<common::HttpResponse>
  call(const std::string &Method, const std::string &Target, const std::string &Body) const;
  void pause(std::uint32_t Attempt);

private:
  static constexpr common::Duration FirstPause = std::chrono::milliseconds(20);
  static constexpr common::Duration LongestPause = std::chrono::seconds(1);

  common::Endpoint Store;
  common::Duration Timeout;
  std::uint64_t State;
};

} // namespace galenarelay::config

#endif // GALENARELAY_CONFIG_STORE_CLIENT_H
