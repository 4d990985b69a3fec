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

/// How often an agent sends its load report to the agents of its service.
inline constexpr common::Duration ReportInterval = std::chrono::milliseconds(250);

/// Knobs of the choice of upstream; docs/tuning.md describes each for operators.
struct LoadViewOptions {
  common::Duration HalfLife = std::chrono::milliseconds(100); ///< Of the last report's weight.
  common::Duration RecentWindow = std::chrono::seconds(1);    ///< Of the load it fades into.
  common::Duration SilenceHalfLife = std::chrono::milliseconds(750); ///< Of a silent member's load.
  common::Duration Smoothing = std::chrono::seconds(5); ///< Window of the average load.
  common::Duration JoinRamp = std::chrono::seconds(5);  ///< Of an upstream that joins.
  double HandOffMargin = 0.1; ///< Busy share by which a peer must be lower when none is free.
  double ErrorWeight = 4;     ///< Busy share that an error share of 1 counts as.

  friend bool operator==(const LoadViewOptions &, const LoadViewOptions &) = default;
};

/// A home's view of its peers' load, from aged reports and its own recent assignments.
class LoadView {
public:
  explicit LoadView(std::uint64_t Seed) : LoadView(Seed, LoadViewOptions{}) {}
  LoadView(std::uint64_t Seed, LoadViewOptions Options);

  /// Load per slot that is expected of a member; 1 is all slots busy. Empty if it is unknown.
  [[nodiscard]] std::optional<double> expectedLoad(const std::string &MemberId,
                                                   common::TimePoint Now) const;

  /// Takes a peer's or the own report; an older sequence is ignored. The own report should be
  /// current when choose is called.
  void onReport(const LoadReport &Report, common::TimePoint Now);
  /// Picks the upstream for a new flow and remembers the assignment.
  /// Returns a position in Route.Candidates; empty if there is none.
  [[nodiscard]] std::optional<std::size_t> choose(const routing::ServiceRoute &Route,
                                                  const std::string &Self, common::TimePoint Now);

private:
  /// What is known of one member.
  struct Peer {
    LoadReport Last;
    common::TimePoint Received{};
    common::TimePoint Sampled{}; ///< Last regular report.
    common::TimePoint FirstSeen{};
    double Recent = 0;   ///< Busy and queued share over the recent window.
    double Average = 0;  ///< Busy share over the smoothing window.
    double Assigned = 0; ///< Own assignments that the last report doesn't show yet.
    bool Reported = false;
  };
  /// One candidate's figures for a choice.
  struct Candidate {
    double Load = 0;    ///< Expected busy and queued share.
    double Recent = 0;  ///< Busy and queued share over the recent window.
    double Average = 0; ///< Smoothed busy share.
    double Slots = 1;
    double Ramp = 1;      ///< Share of its work that it may get.
    double Health = 1;    ///< Share of good completions.
    double HomeShare = 0; ///< Share of the flows whose home it is.
    bool Usable = true;
  };

  [[nodiscard]] double ramp(const Peer &Of, common::TimePoint Now) const noexcept;
  [[nodiscard]] double reportedLoad(const Peer &Of, common::TimePoint Now) const noexcept;
  [[nodiscard]] std::vector<Candidate> assess(const routing::ServiceRoute &Route,
                                              common::TimePoint Now);
  [[nodiscard]] std::size_t pick(const std::vector<Candidate> &From, std::size_t Home);
  /// Moves the part of the home's flows that is beyond its share of the slots.
  [[nodiscard]] std::optional<std::size_t> pickByShare(const std::vector<Candidate> &From,
                                                       std::size_t Home);
  void learnShares(const routing::ServiceTable &Table);
  [[nodiscard]] std::size_t weighted(const std::vector<double> &Weights, std::size_t Otherwise);
  void forgetOthers(const routing::ServiceRoute &Route, common::TimePoint Now);

  LoadViewOptions Options;
  common::Engine Random;
  std::map<std::string, Peer> Peers; ///< Bounded: members that neither report nor are candidates
                                     ///< are forgotten.
  std::vector<std::string> ShareMembers; ///< Members that HomeShares is of.
  std::vector<double> HomeShares;
  std::optional<common::TimePoint> Began;
  common::TimePoint LastSweep{};
};

} // namespace galenarelay::schedule

#endif // GALENARELAY_SCHEDULE_LOAD_VIEW_H
