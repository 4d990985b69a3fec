#ifndef GALENARELAY_SCHEDULE_LOAD_VIEW_H
#define GALENARELAY_SCHEDULE_LOAD_VIEW_H

#include "galenarelay/common/random.h"
#include "galenarelay/common/time.h"
#include "galenarelay/routing/routing_view.h"
#include "galenarelay/schedule/scheduler.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace galenarelay::schedule {

/// Interval at which an agent sends its load report to the other agents of its service.
inline constexpr common::Duration ReportInterval = std::chrono::milliseconds(250);

/// Parameters of the choice of upstream; docs/tuning.md describes each for operators.
struct LoadViewOptions {
  /// The weight of a member's last report, relative to its recent load, halves each ReportHalfLife.
  common::Duration ReportHalfLife = std::chrono::milliseconds(100);
  common::Duration RecentWindow = std::chrono::seconds(1); ///< Averaging window of the recent load.
  /// The weight of a silent member's load, relative to the mean of the candidates, halves each
  /// SilenceHalfLife.
  common::Duration SilenceHalfLife = std::chrono::milliseconds(750);
  /// Averaging window of the average load.
  common::Duration AverageWindow = std::chrono::seconds(5);
  /// Slow start of an upstream that joins.
  common::Duration JoinSlowStart = std::chrono::seconds(5);
  /// Difference in load per slot above which a home without a free slot hands a flow to a peer.
  double HandOffMargin = 0.1;
  double ErrorWeight = 4; ///< Load per slot that an error share of 1 counts as.

  friend bool operator==(const LoadViewOptions &, const LoadViewOptions &) = default;
};

/// Load of the members of a service as one member sees it, from reports that may be stale and its
/// own recent assignments. It chooses the upstream for flows whose home (the member that the
/// routing table assigns) is this member.
class LoadView {
public:
  explicit LoadView(std::uint64_t Seed) : LoadView(Seed, LoadViewOptions{}) {}
  LoadView(std::uint64_t Seed, LoadViewOptions Options);

  /// Estimated load per slot of a member; 1 means all slots busy. Empty if it has not reported.
  [[nodiscard]] std::optional<double> expectedLoad(const std::string &MemberId,
                                                   common::TimePoint Now) const;

  /// Records a report of a peer or of this member. A report with an older sequence
  /// number is ignored, unless the member was silent and may have restarted; so is one with an
  /// error share outside 0 to 1. This member's report should be current when chooseUpstream is
  /// called.
  void onReport(const LoadReport &Report, common::TimePoint Now);
  /// Chooses the upstream for a new flow and records the assignment. Returns an index into
  /// Route.Candidates; empty if there are no candidates.
  [[nodiscard]] std::optional<std::size_t> chooseUpstream(const routing::ServiceRoute &Route,
                                                          const std::string &Self,
                                                          common::TimePoint Now);

private:
  /// Reported load of one member and averages of it.
  struct Peer {
    LoadReport Last;
    common::TimePoint Received{};
    common::TimePoint LastSampled{}; ///< Time of the last regular report.
    common::TimePoint FirstSeen{};
    double Recent = 0;   ///< Busy and queued requests per slot over the recent window.
    double Average = 0;  ///< Busy requests per slot over the smoothing window.
    double Assigned = 0; ///< Own assignments that the last report doesn't include yet.
    bool Reported = false;
  };
  /// Load and weights of one candidate during a choice.
  struct Candidate {
    double Load = 0;    ///< Estimated load per slot.
    double Recent = 0;  ///< Busy and queued requests per slot over the recent window.
    double Average = 0; ///< Busy requests per slot over the smoothing window.
    double Slots = 1;
    double Ramp = 1;      ///< Slow start: share of its work that it may get.
    double Health = 1;    ///< Share of successful completions.
    double HomeShare = 0; ///< Share of the flows whose home this candidate is.
    bool Usable = true;
  };

  [[nodiscard]] double ramp(const Peer &Known, common::TimePoint Now) const noexcept;
  [[nodiscard]] double reportedLoad(const Peer &Known, common::TimePoint Now) const noexcept;
  /// Estimates load, slow start and health of each candidate, in the order of the route.
  [[nodiscard]] std::vector<Candidate> assessCandidates(const routing::ServiceRoute &Route,
                                                        common::TimePoint Now);
  [[nodiscard]] std::size_t selectCandidate(const std::vector<Candidate> &Candidates,
                                            std::size_t Home);
  /// Chooses a candidate for the part of the home's flows that exceeds its share of the slots;
  /// empty if the flow isn't in that part.
  [[nodiscard]] std::optional<std::size_t> moveExcess(const std::vector<Candidate> &Candidates,
                                                      std::size_t Home);
  /// Recomputes HomeShares if the members of the table have changed.
  void updateHomeShares(const routing::ServiceTable &Table);
  /// Index drawn at random in proportion to the weights; Fallback if all are 0.
  [[nodiscard]] std::size_t weightedIndex(const std::vector<double> &Weights, std::size_t Fallback);
  /// Removes members that are no candidates and have been silent; at most once a minute.
  void removeSilentPeers(const routing::ServiceRoute &Route, common::TimePoint Now);

  LoadViewOptions Options;
  common::Engine Random;
  /// Bounded: members that are no candidates and don't report are removed.
  std::map<std::string, Peer> Peers;
  /// Members of the table from which HomeShares was computed.
  std::vector<std::string> HomeShareMembers;
  std::vector<double> HomeShares;
  /// Time of the first report or choice; empty before it.
  std::optional<common::TimePoint> FirstEventTime;
  common::TimePoint LastCleanup{};
};

} // namespace galenarelay::schedule

#endif // GALENARELAY_SCHEDULE_LOAD_VIEW_H
