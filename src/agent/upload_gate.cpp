#include "galenarelay/agent/upload_gate.h"

#include <algorithm>
#include <cmath>

namespace galenarelay::agent {

using request::RequestId;

// Uploads may take the slots that the scheduler leaves to stragglers: all but the reserved share,
// and at least one.
UploadLimiter::UploadLimiter(const schedule::SchedulerOptions &Options) noexcept {
  const auto Reserved =
      static_cast<std::uint32_t>(std::lround(Options.ReservedShare * Options.Slots));
  Limit = Reserved >= Options.Slots ? 1 : Options.Slots - Reserved;
}

bool UploadLimiter::waits(RequestId Id) const noexcept {
  return std::find(Waiting.begin(), Waiting.end(), Id) != Waiting.end();
}

bool UploadLimiter::enter(RequestId Id) {
  if (Admitted.size() < Limit) {
    Admitted.insert(Id);
    return true;
  }
  Waiting.push_back(Id);
  return false;
}

std::optional<RequestId> UploadLimiter::leave(RequestId Id) {
  std::erase(Waiting, Id);
  if (Admitted.erase(Id) == 0 || Waiting.empty())
    return std::nullopt;
  const RequestId Next = Waiting.front();
  Waiting.pop_front();
  Admitted.insert(Next);
  return Next;
}

} // namespace galenarelay::agent
