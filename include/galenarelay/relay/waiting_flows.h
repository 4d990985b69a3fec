#ifndef GALENARELAY_RELAY_WAITING_FLOWS_H
#define GALENARELAY_RELAY_WAITING_FLOWS_H

#include "galenarelay/packet/packet.h"
#include "galenarelay/relay/peer_message.h"
#include "galenarelay/relay/policy/admission.h"
#include "galenarelay/relay/policy/mechanism.h"
#include "galenarelay/relay/policy/release_order.h"
#include "galenarelay/relay/policy/release_shares.h"
#include "galenarelay/relay/policy/returning_callers.h"

#include <algorithm>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace galenarelay::relay {

/// Maximum number of waiting SYNs. At the bound a new SYN is refused at once, or with
/// SharedContention the newest one of the caller with the most waiting SYNs.
inline constexpr std::size_t MaxHeldFlows = 1000;
/// The releases of a service's callers are remembered until none of its flows has waited for this
/// time: several times the time that a request with all its tries takes.
inline constexpr common::Duration ShareMemory = std::chrono::seconds(10);

/// Minimum time between two passes over the waiting SYNs for each of them, except by the timer:
/// several times what ranking one takes, so that a full queue leaves the processor to the packets
/// that wait in the socket.
inline constexpr common::Duration RankingPause = std::chrono::microseconds(10);
/// Maximum number of messages on refused tries that wait to be sent; further ones are left out.
inline constexpr std::size_t MaxTryMessages = 2 * MaxHeldFlows;

/// A flow that may wait, with what its release and its refusal depend on.
struct WaitingEntry {
  std::string Service;
  policy::WaitingFlow Input;
  bool Waits = false;
  bool HasWaited = false;
  bool OthersWait = false; ///< Further flows wait for the same service.
  policy::WaitForecast Forecast;
};

/// Number of decisions on flows that had to wait.
struct WaitingDecisions {
  std::uint64_t Waited = 0;          ///< Flows that began to wait.
  std::uint64_t Released = 0;        ///< Waiting flows that were sent to an agent.
  std::uint64_t RefusedAtOnce = 0;   ///< Refused, as no try can be served.
  std::uint64_t RefusedForRetry = 0; ///< Refused, as a later try may be served.

  friend bool operator==(const WaitingDecisions &, const WaitingDecisions &) = default;
};

/// Places and refuses flows for WaitingFlows.
template <typename T>
concept WaitingFlowHost = requires(T &Host, const packet::FlowKey &Key,
                                   policy::AdmissionVerdict Verdict) {
  /// The entry of a flow; null if it doesn't wait any more.
  { Host.waiting(Key) } -> std::same_as<WaitingEntry *>;
  /// Places a flow, or lets it wait again by WaitingFlows::enqueue.
  Host.place(Key);
  /// Refuses a flow and removes it.
  Host.refuse(Key, Verdict);
  /// Notes a flow that begins to wait.
  Host.noteWaiting(Key);
};

/// The SYNs that wait at a balancer because all upstreams are full: which go first, and which are
/// refused.
class WaitingFlows {
public:
  explicit WaitingFlows(policy::Mechanisms InUse) : InUse(InUse) {}

  [[nodiscard]] bool empty() const noexcept { return Keys.empty(); }
  [[nodiscard]] bool atBound() const noexcept { return Keys.size() >= MaxHeldFlows; }
  [[nodiscard]] const std::map<std::string, WaitingDecisions> &decisions() const noexcept {
    return Decisions;
  }
  /// Refusals and queries to send, each to the balancer that keeps those of its caller's address.
  [[nodiscard]] std::vector<CallerTries> takeMessages() { return std::exchange(Messages, {}); }
  /// Handles a refusal or a query at the balancer that keeps those of the address. Returns the
  /// answer to a query, if there is one.
  [[nodiscard]] std::optional<CallerTries> onCallerTries(const CallerTries &Message,
                                                         common::TimePoint Now);

  /// Notes that a waiting flow is refused.
  void onRefused(const packet::FlowKey &Key, const WaitingEntry &Entry,
                 policy::AdmissionVerdict Verdict, common::TimePoint Now);
  /// What becomes of a flow that can't be placed now.
  [[nodiscard]] policy::AdmissionVerdict judge(const policy::WaitingFlow &Flow,
                                               const policy::WaitForecast &Forecast,
                                               common::TimePoint Now) const;
  /// Lets a flow wait. True if it begins to, false if it has waited before.
  bool enqueue(const packet::FlowKey &Key, WaitingEntry &Entry, common::TimePoint Now);
  /// Lets a flow wait that has not been offered to any agent, since others wait already.
  void enqueueUnoffered(const packet::FlowKey &Key, WaitingEntry &Entry) {
    Entry.Waits = true;
    Keys.push_back(Key);
    WaitingServices.insert(Entry.Service);
  }
  void remove(const packet::FlowKey &Key) { std::erase(Keys, Key); }
  [[nodiscard]] std::vector<packet::FlowKey> takeAll() { return std::exchange(Keys, {}); }

  /// Places waiting flows in the order of release as long as there is room, and refuses those whose
  /// time is over. A call that isn't that of the timer has no effect within RankingPause with
  /// RestartRecovery, and none without room with SharedContention, as the order needn't be known
  /// then.
  template <WaitingFlowHost Host> void release(Host &&Target, bool ByTimer, common::TimePoint Now) {
    using policy::Mechanism;
    const bool Paused = InUse.uses(Mechanism::RestartRecovery) && Keys.size() <= MaxHeldFlows &&
                        Now - ReleasedAt < RankingPause * static_cast<std::int64_t>(Keys.size());
    if (!ByTimer && Paused)
      return;
    ReleasedAt = Now;
    if (InUse.uses(Mechanism::SharedContention)) {
      const bool HasRoom = std::any_of(WaitingServices.begin(), WaitingServices.end(),
                                       [&](const auto &Name) { return Target.hasRoom(Name); });
      if (ByTimer || HasRoom || Keys.size() > MaxHeldFlows)
        releaseByShares(Target, Now);
    } else if (InUse.uses(Mechanism::ReleaseOrder))
      releaseByRank(policy::UrgentAndFreshFirst{InUse.uses(Mechanism::GoneCallersLast)}, Target,
                    Now);
    else
      releaseByRank(policy::OldestFirst{}, Target, Now);
  }

private:
  void addMessage(const CallerTries &Message);

  /// The releases of one service.
  struct ServiceReleases {
    policy::ReleaseRate Rate;
    policy::ReleaseShares Shares;
    common::TimePoint LastWaitAt{};
  };
  /// One pass over the waiting flows.
  struct Pass {
    std::map<std::string, std::size_t> Remaining;    ///< Flows per service not yet considered.
    std::map<std::string, std::size_t> StillWaiting; ///< Flows per service that go on waiting.
    std::set<std::string> FullServices; ///< Services without an agent that takes another flow now.
  };

  template <typename Host, policy::ReleaseOrder Order>
  void releaseByRank(const Order &Policy, Host &Target, common::TimePoint Now) {
    struct RankedFlow {
      policy::ReleaseRank Rank;
      packet::FlowKey Key;
    };
    std::vector<RankedFlow> Ranked;
    Ranked.reserve(Keys.size());
    Pass Current;
    for (const auto &Key : takeAll())
      if (const WaitingEntry *Entry = Target.waiting(Key)) {
        Ranked.push_back({Policy.rank(Entry->Input, Now), Key});
        ++Current.Remaining[Entry->Service];
      }
    std::sort(Ranked.begin(), Ranked.end(),
              [](const RankedFlow &A, const RankedFlow &B) { return A.Rank < B.Rank; });
    for (const auto &Next : Ranked)
      (void)releaseNext(Next.Key, Current, Target, Now);
  }

  template <typename Host> void releaseByShares(Host &Target, common::TimePoint Now) {
    struct ServiceFlows {
      std::vector<policy::WaitingFlow> Inputs;
      std::vector<packet::FlowKey> Keys;
    };
    std::map<std::string, ServiceFlows> ByService;
    Pass Current;
    WaitingServices.clear();
    while (Keys.size() > MaxHeldFlows) {
      const auto Victim = evictionVictim();
      remove(Victim);
      if (Target.waiting(Victim) != nullptr)
        Target.refuse(Victim, policy::AdmissionVerdict::RefuseAtOnce);
    }
    // A key is listed twice if its caller has reused it.
    std::set<packet::FlowKey> Seen;
    for (const auto &Key : takeAll())
      if (const WaitingEntry *Entry = Target.waiting(Key);
          Entry != nullptr && Seen.insert(Key).second) {
        auto &Flows = ByService[Entry->Service];
        Flows.Inputs.push_back(Entry->Input);
        Flows.Keys.push_back(Key);
        ++Current.Remaining[Entry->Service];
      }
    for (const auto &[Service, Flows] : ByService) {
      auto &Releases = ByServiceName[Service];
      Releases.LastWaitAt = Now;
      const auto [Least, Most] =
          std::minmax_element(Flows.Inputs.begin(), Flows.Inputs.end(),
                              [](const auto &A, const auto &B) { return A.Priority < B.Priority; });
      const auto MostUrgent = Least->Priority;
      const bool Contended = Most->Priority != MostUrgent;
      for (const std::size_t I : Releases.Shares.order(Flows.Inputs, Now))
        if (releaseNext(Flows.Keys[I], Current, Target, Now))
          Releases.Shares.noteReleased(Flows.Inputs[I], Flows.Inputs[I].Priority == MostUrgent,
                                       Contended);
    }
    std::erase_if(ByServiceName, [Now](const auto &NameAndReleases) {
      return Now - NameAndReleases.second.LastWaitAt > ShareMemory;
    });
  }

  /// The newest flow of the caller with the most waiting flows. Precondition: not empty.
  [[nodiscard]] packet::FlowKey evictionVictim() const;
  /// Places, refuses or keeps one flow. True if it was placed.
  template <typename Host>
  bool releaseNext(const packet::FlowKey &Key, Pass &Current, Host &Target, common::TimePoint Now) {
    WaitingEntry *Entry = Target.waiting(Key);
    // A key is listed twice if its caller has reused it.
    if (Entry == nullptr)
      return false;
    const std::string Service = Entry->Service;
    Entry->OthersWait = --Current.Remaining[Service] > 0;
    Entry->Forecast = {Current.StillWaiting[Service],
                       InUse.uses(policy::Mechanism::PredictedWait)
                           ? ByServiceName[Service].Rate.perSecond(Now)
                           : 0};
    const auto Verdict = judge(Entry->Input, Entry->Forecast, Now);
    if (Verdict != policy::AdmissionVerdict::Wait) {
      Target.refuse(Key, Verdict);
      return false;
    }
    if (Current.FullServices.contains(Service)) {
      ++Current.StillWaiting[Service];
      if (enqueue(Key, *Entry, Now))
        Target.noteWaiting(Key);
      return false;
    }
    Entry->Waits = false;
    const bool HasWaited = Entry->HasWaited;
    Target.place(Key);
    if (Target.waiting(Key) != nullptr) {
      ++Current.StillWaiting[Service];
      Current.FullServices.insert(Service);
      return false;
    }
    ByServiceName[Service].Rate.note(Now);
    if (HasWaited)
      ++Decisions[Service].Released;
    return true;
  }

  policy::Mechanisms InUse;
  std::vector<packet::FlowKey> Keys;
  common::TimePoint ReleasedAt{};        ///< Time of the latest pass.
  std::set<std::string> WaitingServices; ///< Of the flows of Keys, and of earlier ones.
  std::map<std::string, ServiceReleases> ByServiceName;
  std::map<std::string, WaitingDecisions> Decisions; ///< By service.
  policy::ReturningCallers Returning;
  std::vector<CallerTries> Messages;
};

} // namespace galenarelay::relay

#endif // GALENARELAY_RELAY_WAITING_FLOWS_H
