#include "galenarelay/relay/policy/sparing.h"

#include "galenarelay/relay/packet_head.h"

#include <algorithm>
#include <utility>

namespace galenarelay::relay::policy {

namespace {

/// Requests that an upstream carries on average before its service is short of places: half of
/// those that may wait at it do. A service that was short no longer is if none has to wait.
double placesOf(const SparingInput &Upstream, bool WasShort) noexcept {
  return WasShort ? Upstream.Slots : (Upstream.Slots + requestLimit(Upstream.Slots)) / 2.0;
}

} // namespace

std::vector<std::uint32_t> agentsNotSpared(std::span<const SparingInput> Upstreams) {
  std::vector<const SparingInput *> Unsteady;
  const bool WasShort = std::any_of(Upstreams.begin(), Upstreams.end(),
                                    [](const SparingInput &Each) { return Each.Exempt; });
  double Requests = 0;
  double Places = 0;
  for (const SparingInput &Each : Upstreams) {
    Requests += Each.Requests;
    if (Each.Damping.Which == Standing::Steady)
      Places += placesOf(Each, WasShort);
    else
      Unsteady.push_back(&Each);
  }
  // Those to spare first are at the front.
  std::sort(Unsteady.begin(), Unsteady.end(), [](const SparingInput *A, const SparingInput *B) {
    return std::pair(B->Damping.Penalty, A->Agent) < std::pair(A->Damping.Penalty, B->Agent);
  });
  const auto ShareOfAll = [&](double Share) {
    return static_cast<std::size_t>(Share * static_cast<double>(Upstreams.size()));
  };
  std::size_t SparedCount = std::min(Unsteady.size(), ShareOfAll(MaxSparedShare));
  if (Unsteady.size() > ShareOfAll(CommonFaultShare))
    SparedCount = 0;
  for (std::size_t I = SparedCount; I < Unsteady.size(); ++I)
    Places += placesOf(*Unsteady[I], WasShort);
  while (SparedCount > 0 && Requests > Places)
    Places += placesOf(*Unsteady[--SparedCount], WasShort);
  std::vector<std::uint32_t> NotSpared;
  for (std::size_t I = SparedCount; I < Unsteady.size(); ++I)
    NotSpared.push_back(Unsteady[I]->Agent);
  std::sort(NotSpared.begin(), NotSpared.end());
  return NotSpared;
}

Fitness availabilityFor(const UpstreamStatus &Status, FlowKind Kind) noexcept {
  if (Status.Damping == Standing::Steady)
    return Status.Availability;
  if (Status.Exempt)
    return Kind == FlowKind::Long ? Status.Availability
                                  : std::max(Status.Availability, Fitness::Doubtful);
  const std::uint32_t Requests = Status.Unanswered + Status.PlacedShort + Status.PlacedLong;
  const bool Probe =
      Status.Damping == Standing::Probing && Kind == FlowKind::Long && Requests < MaxProbeRequests;
  return Probe ? Status.Availability : Fitness::Unfit;
}

} // namespace galenarelay::relay::policy
