#ifndef GALENARELAY_CONFIG_STORE_CLIENT_H
#define GALENARELAY_CONFIG_STORE_CLIENT_H

#include "galenarelay/common/error.h"
#include "galenarelay/common/http.h"

#include <nlohmann/json_fwd.hpp>

#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace galenarelay::config {

/// Header of all answers of the store: its era, which rises by one whenever the store is restored
/// from an older copy.
inline constexpr const char *StoreEraHeader = "Galenarelay-Store-Era";

/// Reads the era that an answer names, if it does. Errors: StoreBadAnswer.
[[nodiscard]] common::Outcome<std::optional<std::uint64_t>>
readStoreEra(const common::HttpResponse &Response);

/// Version of a key. Versions are given out anew after a restore, so that each is valid only within
/// its era. Number 0 means that the key doesn't exist, era 0 that the store names none.
struct StoreVersion {
  std::uint64_t Era = 0;
  std::uint64_t Number = 0;

  friend bool operator==(const StoreVersion &, const StoreVersion &) = default;
};

/// A value in the store with its key and version.
struct StoredValue {
  std::string Key;
  StoreVersion Version;
  std::string Text;

  friend bool operator==(const StoredValue &, const StoredValue &) = default;
};

/// Sends an HTTP request (method, target, body) to the store and waits for the response. Example:
/// BlockingTransport.
template <typename T>
concept StoreTransport = requires(T &Transport, const std::string &Text) {
  { Transport.call(Text, Text, Text) } -> std::same_as<common::Outcome<common::HttpResponse>>;
};

/// The store operations that edits need: read a key, list keys by prefix, compare-and-swap a key,
/// and wait before a retry.
template <typename T>
concept ConfigStore = requires(T &Store, const std::string &Text, StoreVersion Version,
                               std::uint32_t Attempt) {
  { Store.get(Text) } -> std::same_as<common::Outcome<StoredValue>>;
  { Store.list(Text) } -> std::same_as<common::Outcome<std::vector<StoredValue>>>;
  { Store.put(Text, Version, Text) } -> std::same_as<common::Outcome<StoreVersion>>;
  Store.pause(Attempt);
};

namespace impl {

/// The version in a response of this era. Throws nlohmann::json::exception.
[[nodiscard]] StoreVersion versionFromJson(const nlohmann::json &Document, std::uint64_t Era);

/// Request target of a key; with a version, that of a write that expects this version, which the
/// store refuses in any other era.
[[nodiscard]] std::string keyTarget(const std::string &Key);
[[nodiscard]] std::string keyTarget(const std::string &Key, StoreVersion Expected);
/// Request target that lists the keys with a prefix.
[[nodiscard]] std::string listTarget(const std::string &Prefix);

/// Parse the store's responses; the errors are those of StoreClient's get, list and put.
[[nodiscard]] common::Outcome<StoredValue>
parseValueResponse(const std::string &Key, const common::Outcome<common::HttpResponse> &Response);
[[nodiscard]] common::Outcome<std::vector<StoredValue>>
parseListResponse(const common::Outcome<common::HttpResponse> &Response);
[[nodiscard]] common::Outcome<StoreVersion>
parseWriteResponse(const common::Outcome<common::HttpResponse> &Response);

} // namespace impl

/// Client of the platform's key-value store.
template <StoreTransport Transport> class StoreClient {
public:
  explicit StoreClient(Transport Sender) : Sender(std::move(Sender)) {}

  /// Reads a key. Errors: StoreUnavailable, StoreRateLimited, StoreBadAnswer.
  [[nodiscard]] common::Outcome<StoredValue> get(const std::string &Key) {
    return impl::parseValueResponse(Key, Sender.call("GET", impl::keyTarget(Key), ""));
  }

  /// Returns all values whose key starts with the prefix. Errors: those of get.
  [[nodiscard]] common::Outcome<std::vector<StoredValue>> list(const std::string &Prefix) {
    return impl::parseListResponse(Sender.call("GET", impl::listTarget(Prefix), ""));
  }

  /// Writes a key if it still has the expected version (0: if it doesn't exist) and returns the new
  /// version. Errors: StoreConflict, StoreUnavailable (nothing was sent), StoreOutcomeUnknown,
  /// StoreRateLimited, StoreBadAnswer, ConfigurationTooLarge.
  [[nodiscard]] common::Outcome<StoreVersion> put(const std::string &Key, StoreVersion Expected,
                                                  const std::string &Text) {
    return impl::parseWriteResponse(Sender.call("PUT", impl::keyTarget(Key, Expected), Text));
  }

  /// Waits before the given attempt, counted from 1 for the first retry.
  void pause(std::uint32_t Attempt) { Sender.pause(Attempt); }

private:
  Transport Sender;
};

/// Blocking HTTP transport for command-line programs.
class BlockingTransport {
public:
  /// Waits at most Timeout for each response. Each pause is an exponential backoff with full
  /// jitter: a random time up to InitialBackoff doubled once per attempt, at most MaxBackoff.
  BlockingTransport(common::Endpoint Store, common::Duration Timeout, std::uint64_t Seed) noexcept
      : Store(Store), Timeout(Timeout), NextSeed(Seed) {}

  [[nodiscard]] common::Outcome<common::HttpResponse>
  call(const std::string &Method, const std::string &Target, const std::string &Body) const;
  void pause(std::uint32_t Attempt);

private:
  static constexpr common::Duration InitialBackoff = std::chrono::milliseconds(20);
  static constexpr common::Duration MaxBackoff = std::chrono::seconds(1);

  common::Endpoint Store;
  common::Duration Timeout;
  std::uint64_t NextSeed;
};

} // namespace galenarelay::config

#endif // GALENARELAY_CONFIG_STORE_CLIENT_H
