#include "galenarelay/relay/registration.h"

#include <algorithm>
#include <array>

namespace galenarelay::relay {

namespace {

bool sameStatus(const Heartbeat &A, const Heartbeat &B) {
  return A.Draining == B.Draining && A.Slots == B.Slots;
}

} // namespace

std::string_view name(HeartbeatEffect Effect) noexcept {
  constexpr std::array<std::string_view, 5> Names{"refreshed", "changed", "new_incarnation",
                                                  "outdated", "unproven"};
  return Names[static_cast<std::size_t>(Effect)];
}

HeartbeatEffect Registration::onHeartbeat(const Heartbeat &Received, common::TimePoint Now) {
  if (isCurrent(Received) && Received.Sequence > Last->Sequence)
    return DepartureCertain ? HeartbeatEffect::Outdated : refresh(Received, Now);
  if (succeeds(Received)) {
    // An incarnation that is later than the known one has started while this process ran.
    const bool IsLater = Last && Last->Incarnation != 0 && Last->Incarnation < Received.Incarnation;
    const bool Started = Received.Sequence <= 1 || IsLater;
    return replace(Received, Started, Now);
  }
  const auto First = prove(Received, Now);
  if (!First)
    return isCurrent(Received) || wasReplaced(Received) ? HeartbeatEffect::Outdated
                                                        : HeartbeatEffect::Unproven;
  return isCurrent(Received) ? refresh(Received, Now)
                             : replace(Received, First->Sequence <= 1, Now);
}

// An upstream keeps its service for its life.
bool Registration::isCurrent(const Heartbeat &Received) const {
  return Last && lifetimeOf(*Last) == lifetimeOf(Received) && Last->Service == Received.Service;
}

// Whether the heartbeat shows by itself that a new incarnation has taken the place of the one in
// effect. An address goes to another service only some time after its upstream has ended, and
// clocks that were set back make a new incarnation look older than the one before.
bool Registration::succeeds(const Heartbeat &Received) const {
  if (Received.Service != service() && !service().empty())
    return false;
  if (!Last)
    return true;
  return lifetimeOf(*Last) != lifetimeOf(Received) && Received.Incarnation >= Last->Incarnation &&
         !wasReplaced(Received);
}

bool Registration::wasReplaced(const Heartbeat &Received) const {
  return std::find(Replaced.begin(), Replaced.end(), lifetimeOf(Received)) != Replaced.end();
}

std::optional<Heartbeat> Registration::prove(const Heartbeat &Received, common::TimePoint Now) {
  const auto It = std::find_if(Contenders.begin(), Contenders.end(), [&](const Contender &Each) {
    return lifetimeOf(Each.First) == lifetimeOf(Received) && Each.First.Service == Received.Service;
  });
  if (It == Contenders.end()) {
    if (Contenders.size() >= MaxContenders)
      Contenders.erase(Contenders.begin());
    Contenders.push_back({Received, Now, Received.Sequence});
    return std::nullopt;
  }
  if (Received.Sequence <= It->Sequence)
    return std::nullopt;
  It->Sequence = Received.Sequence;
  const auto ProofTime = std::chrono::duration_cast<common::Duration>(Interval * ProofIntervals);
  const bool CurrentLives = !Departed && fresh(Now);
  if (CurrentLives || (DepartureCertain && isCurrent(Received)) || Now - It->FirstAt < ProofTime)
    return std::nullopt;
  return It->First;
}

HeartbeatEffect Registration::refresh(const Heartbeat &Received, common::TimePoint Now) {
  // Draining is final within an incarnation: a later heartbeat without it doesn't end it.
  const bool WasDraining = Last->Draining;
  const bool SameStatus = sameStatus(*Last, Received);
  Last = Received;
  Last->Draining = Last->Draining || WasDraining;
  ReceivedAt = Now;
  // The departure was that of an earlier incarnation with the same ID.
  Departed = false;
  Contenders.clear();
  return SameStatus ? HeartbeatEffect::Refreshed : HeartbeatEffect::Changed;
}

HeartbeatEffect Registration::replace(const Heartbeat &Received, bool Started,
                                      common::TimePoint Now) {
  std::erase(Replaced, lifetimeOf(Received));
  if (Last) {
    if (Replaced.size() >= MaxReplaced)
      Replaced.erase(Replaced.begin());
    Replaced.push_back(lifetimeOf(*Last));
  }
  Last = Received;
  ReceivedAt = Now;
  StartSeen = Started;
  Departed = false;
  DepartureCertain = false;
  UnknownDeparted = false;
  Contenders.clear();
  return HeartbeatEffect::NewIncarnation;
}

bool Registration::onDeparture(const Departure &Received) {
  if (!Last) {
    UnknownDeparted = true;
    return false;
  }
  const bool StatesIncarnation = Received.Incarnation && Last->Incarnation != 0;
  if (Last->Id != Received.Id || (StatesIncarnation && *Received.Incarnation != Last->Incarnation))
    return false;
  Departed = true;
  DepartureCertain = DepartureCertain || StatesIncarnation;
  return true;
}

bool Registration::fresh(common::TimePoint Now) const noexcept {
  return Last && Now - ReceivedAt <=
                     std::chrono::duration_cast<common::Duration>(Interval * SilentIntervals);
}

common::Duration Registration::coldFor(common::TimePoint Now) const noexcept {
  if (!Last)
    return {};
  return std::max(common::Duration::zero(), Last->ColdFor - (Now - ReceivedAt));
}

} // namespace galenarelay::relay
