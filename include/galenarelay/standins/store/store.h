#ifndef GALENARELAY_STANDINS_STORE_STORE_H
#define GALENARELAY_STANDINS_STORE_STORE_H

#include "galenarelay/common/http.h"
#include "galenarelay/common/time.h"
#include "galenarelay/standins/store/rate_limit.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace galenarelay::standins::store {

/// Largest value, in bytes; a larger one is answered with 413.
inline constexpr std::size_t MaxValueBytes = 1'000'000;
/// Longest key, in bytes; a longer one is answered with 400.
inline constexpr std::size_t MaxKeyBytes = 256;
/// Keys and leases that the store holds; above it writes are answered with 507.
inline constexpr std::size_t MaxEntries = 100'000;
/// Longest time that a watch or a lease may ask for.
inline constexpr common::Duration MaxWatchWait = std::chrono::seconds(30);
inline constexpr common::Duration MaxLeaseTtl = std::chrono::hours(1);

/// Copies of earlier states that the store keeps for a restore; the oldest are dropped.
inline constexpr std::size_t MaxCopies = 100;

/// Calls per second that the store answers; the others get 429.
struct StoreLimits {
  double ReadsPerSecond = 2000;
  double WritesPerSecond = 500;

  friend bool operator==(const StoreLimits &, const StoreLimits &) = default;
};

/// Faults that are in force.
struct Faults {
  bool Outage = false;            ///< Every call is answered with 503 and has no effect.
  common::Duration Delay{};       ///< Time between a call's arrival and its effect.
  std::uint32_t LoseAnswers = 0;  ///< The next writes take effect, but their answers are lost.
  std::uint32_t LoseRequests = 0; ///< The next writes are lost without effect or answer.

  friend bool operator==(const Faults &, const Faults &) = default;
};

/// Calls received, each counted once whatever its answer was. A watch that waits counts as one.
struct CallCounts {
  std::uint64_t Reads = 0;
  std::uint64_t Writes = 0;
  std::uint64_t Watches = 0;
  std::uint64_t Leases = 0;
  std::uint64_t Limited = 0; ///< Of the above: answered with 429.
  std::uint64_t Failed = 0;  ///< Of the above: answered with 503 in an outage.

  friend bool operator==(const CallCounts &, const CallCounts &) = default;
};

/// The store's state and answers. Versions rise over all keys, so that a key which is deleted and
/// created again never gets an old version, unless the store is restored from a copy: the era in
/// the header of each answer then rises by one, and a write may state the era of the version that
/// it expects.
///
/// Example: `Store S({}); S.handle({"GET", "/v1/kv/config", {}, ""}, Now).Status == 404`
class Store {
public:
  explicit Store(StoreLimits Limits);

  [[nodiscard]] const CallCounts &counts() const noexcept { return Counts; }
  [[nodiscard]] const Faults &faults() const noexcept { return Active; }
  [[nodiscard]] std::size_t size() const noexcept { return Data.Entries.size(); }
  [[nodiscard]] std::uint64_t era() const noexcept { return Era; }
  /// Number of changes so far; a waiting watch looks again when it rises.
  [[nodiscard]] std::uint64_t changes() const noexcept { return Changes; }
  /// When the next lease expires.
  [[nodiscard]] std::optional<common::TimePoint> nextExpiry() const noexcept;
  /// The answer that a watch has now: 200 with a newer value, 404 if the value it knew is deleted,
  /// 410 if the store hasn't given out the version it knew, 503 in an outage. Empty while it has to
  /// wait.
  [[nodiscard]] std::optional<common::HttpResponse> watchAnswer(const std::string &Key,
                                                                std::uint64_t After) const;

  /// Answers one call. A watch is answered at once, with 204 if there is nothing newer.
  [[nodiscard]] common::HttpResponse handle(const common::HttpRequest &Request,
                                            common::TimePoint Now);
  void setFaults(const Faults &Next) noexcept;
  /// Comes back from the copy with this last version, or the oldest one after it: later changes and
  /// leases are gone, and versions and leases are given out anew.
  void restore(std::uint64_t LastVersion);
  /// Deletes the keys of expired leases.
  void expire(common::TimePoint Now);

private:
  struct Entry {
    std::uint64_t Version = 0;
    std::string Value;
    std::uint64_t Lease = 0; ///< 0 without a lease.
  };
  struct Lease {
    common::TimePoint Expiry{};
    common::Duration Ttl{};
  };

  /// All that a copy holds.
  struct State {
    std::map<std::string, Entry> Entries;
    std::map<std::uint64_t, Lease> Leases;
    std::uint64_t LastVersion = 0;
    std::uint64_t LastLease = 0;
  };
  [[nodiscard]] common::HttpResponse handleWithoutEra(const common::HttpRequest &Request,
                                                      common::TimePoint Now);
  [[nodiscard]] common::HttpResponse read(const common::HttpRequest &Request) const;
  [[nodiscard]] common::HttpResponse list(const std::string &Prefix) const;
  [[nodiscard]] common::HttpResponse watch(const common::HttpRequest &Request) const;
  [[nodiscard]] common::HttpResponse write(const common::HttpRequest &Request);
  [[nodiscard]] common::HttpResponse put(const std::string &Key,
                                         const common::HttpRequest &Request);
  [[nodiscard]] common::HttpResponse lease(const common::HttpRequest &Request,
                                           common::TimePoint Now);
  void changed() noexcept { ++Changes; }
  /// Keeps a copy of the state before a change.
  void keepCopy();

  State Data;
  std::deque<State> Copies;
  std::uint64_t Era = 1;
  std::uint64_t Changes = 0;
  RateLimit Reads;
  RateLimit Writes;
  Faults Active;
  CallCounts Counts;
};

} // namespace galenarelay::standins::store

#endif // GALENARELAY_STANDINS_STORE_STORE_H
