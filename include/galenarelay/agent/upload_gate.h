#ifndef GALENARELAY_AGENT_UPLOAD_GATE_H
#define GALENARELAY_AGENT_UPLOAD_GATE_H

#include "galenarelay/request/ledger.h"
#include "galenarelay/schedule/scheduler.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <set>

namespace galenarelay::agent {

/// Maximum uploads with an incomplete body that wait at one agent; further ones are refused.
inline constexpr std::size_t MaxWaitingUploads = 64;

/// Admission control for uploads that hold a slot while their body is still arriving. The caller
/// sets the pace of the body, so the remaining slots are kept for requests with a complete body.
class UploadLimiter {
public:
  explicit UploadLimiter(const schedule::SchedulerOptions &Options) noexcept;

  /// Maximum uploads admitted at the same time.
  [[nodiscard]] std::uint32_t limit() const noexcept { return Limit; }
  [[nodiscard]] std::size_t waiting() const noexcept { return Waiting.size(); }
  /// True if the upload waits for admission.
  [[nodiscard]] bool waits(request::RequestId Id) const noexcept;
  [[nodiscard]] bool full() const noexcept { return Waiting.size() >= MaxWaitingUploads; }

  /// Returns true if the upload is admitted and may ask for a slot. Otherwise it waits; uploads are
  /// admitted in order of arrival.
  [[nodiscard]] bool enter(request::RequestId Id);
  /// Removes an upload that has ended or whose body is complete. Returns the waiting upload that is
  /// admitted in its place, if any.
  [[nodiscard]] std::optional<request::RequestId> leave(request::RequestId Id);

private:
  std::uint32_t Limit;
  std::set<request::RequestId> Admitted;
  std::deque<request::RequestId> Waiting;
};

} // namespace galenarelay::agent

#endif // GALENARELAY_AGENT_UPLOAD_GATE_H
