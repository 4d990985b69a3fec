#include "galenarelay/relay/policy/sparing.h"

#include <algorithm>
#include <utility>

namespace galenarelay::relay::policy {

std::vector<std::uint32_t> agentsNotSpared(std::span<const SparingInput> Upstreams) {
  std::vector<const SparingInput *> Unsteady;
  double Requests = 0;
  double Places = 0;
  for (const SparingInput &Each : Upstreams) {
    Requests += Each.Requests;
    if (Each.Damping.Which == Standing::Steady)
      Places += Each.Slots;
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
    Places += Unsteady[I]->Slots;
  while (SparedCount > 0 && Requests > Places)
    Places += Unsteady[--SparedCount]->Slots;
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
