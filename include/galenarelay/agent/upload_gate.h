#ifndef GALENARELAY_AGENT_UPLOAD_GATE_H
#define GALENARELAY_AGENT_UPLOAD_GATE_H

#include "galenarelay/request/ledger.h"
#include "galenarelay/schedule/scheduler.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <set>

namespace galenarelay::agent {

/// Uploads with an incomplete body that wait at one agent; one more is refused.
inline constexpr std::size_t MaxWaitingUploads = 64;

/// Limits the uploads that hold a slot while their body still arrives. A body arrives as slowly as
/// its caller likes, so the other slots must stay free for work that is complete.
class UploadGate {
public:
  explicit UploadGate(const schedule::SchedulerOptions &Options) noexcept;

  [[nodiscard]] std::uint32_t limit() const noexcept { return Limit; }
  [[nodiscard]] std::size_t waiting() const noexcept { return Waiting.size(); }
  /// True if the upload waits for its turn.
  [[nodiscard]] bool waits(request::RequestId Id) const noexcept;
  [[nodiscard]] bool full() const noexcept { return Waiting.size() >= MaxWaitingUploads; }

  /// True if the upload may ask for a slot now; otherwise it waits in order of arrival.
  [[nodiscard]] bool enter(request::RequestId Id);
  /// The upload has ended, or needs no place any more. Returns the upload that takes its place.
  [[nodiscard]] std::optional<request::RequestId> leave(request::RequestId Id);

private:
  std::uint32_t Limit;
  std::set<request::RequestId> Inside;
  std::deque<request::RequestId> Waiting;
};

} // namespace galenarelay::agent

#endif // GALENARELAY_AGENT_UPLOAD_GATE_H
