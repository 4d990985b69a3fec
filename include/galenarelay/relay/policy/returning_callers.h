#ifndef GALENARELAY_RELAY_POLICY_RETURNING_CALLERS_H
#define GALENARELAY_RELAY_POLICY_RETURNING_CALLERS_H

#include "galenarelay/common/time.h"
#include "galenarelay/relay/policy/admission.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <utility>

namespace galenarelay::relay::policy {

/// A new SYN from the address of a refused caller is taken as its next try within this time:
/// several times the way of the reset to the caller and of the SYN back, and the caller's pause of
/// some 30 ms.
inline constexpr common::Duration ReturnWindow = std::chrono::milliseconds(100);
/// Maximum number of refusals kept; beyond it the oldest are forgotten.
inline constexpr std::size_t MaxKeptRefusals = 4096;

/// What is known about the earlier tries of a request.
struct EarlierTries {
  std::uint32_t Count = 0;
  common::TimePoint FirstSynAt{}; ///< Of the first known try.

  friend bool operator==(const EarlierTries &, const EarlierTries &) = default;
};

/// Refused tries, to recognise the next tries of their callers. An estimate: several users may
/// share an address.
class ReturningCallers {
public:
  /// Notes a refused try, unless it was the caller's last one. Tries includes the refused one.
  /// Service identifies the service endpoint.
  void noteRefused(std::uint32_t Caller, std::uint64_t Service, const EarlierTries &Tries,
                   common::TimePoint Now) {
    forgetOld(Now);
    if (Tries.Count >= MaxCallerTries)
      return;
    if (Order.size() >= MaxKeptRefusals)
      removeOldest();
    const CallerKey Key{Caller, Service};
    ByCaller[Key].push_back({Tries, Now, ++LastNumber});
    Order.push_back({Now, Key, LastNumber});
  }
  /// The earlier tries of the request of a new SYN, which then belong to it: those of the caller's
  /// oldest refusal before the SYN. Empty if the caller doesn't return.
  [[nodiscard]] std::optional<EarlierTries> takeReturn(std::uint32_t Caller, std::uint64_t Service,
                                                       common::TimePoint SynAt,
                                                       common::TimePoint Now) {
    forgetOld(Now);
    const auto It = ByCaller.find({Caller, Service});
    if (It == ByCaller.end() || It->second.front().RefusedAt > SynAt)
      return std::nullopt;
    const auto Earlier = It->second.front().Tries;
    It->second.pop_front();
    if (It->second.empty())
      ByCaller.erase(It);
    return Earlier;
  }
  /// Number of callers with refusals that no later try has been matched with.
  [[nodiscard]] std::size_t callers() const noexcept { return ByCaller.size(); }

private:
  using CallerKey = std::pair<std::uint32_t, std::uint64_t>;
  struct Refusal {
    EarlierTries Tries;
    common::TimePoint RefusedAt{};
    std::uint64_t Number = 0;
  };
  struct Expiry {
    common::TimePoint RefusedAt{};
    CallerKey Key;
    std::uint64_t Number = 0; ///< Of the refusal.
  };

  void forgetOld(common::TimePoint Now) {
    while (!Order.empty() && Now - Order.front().RefusedAt > ReturnWindow)
      removeOldest();
  }
  void removeOldest() {
    const auto Oldest = Order.front();
    Order.pop_front();
    const auto It = ByCaller.find(Oldest.Key);
    if (It == ByCaller.end() || It->second.front().Number != Oldest.Number)
      return; // Taken by a later try.
    It->second.pop_front();
    if (It->second.empty())
      ByCaller.erase(It);
  }

  std::map<CallerKey, std::deque<Refusal>> ByCaller;
  std::deque<Expiry> Order; ///< Oldest first.
  std::uint64_t LastNumber = 0;
};

} // namespace galenarelay::relay::policy

#endif // GALENARELAY_RELAY_POLICY_RETURNING_CALLERS_H
