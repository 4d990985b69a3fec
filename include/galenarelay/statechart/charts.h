#ifndef GALENARELAY_STATECHART_CHARTS_H
#define GALENARELAY_STATECHART_CHARTS_H

#include "galenarelay/statechart/chart.h"

#include <cstdint>

namespace galenarelay::statechart {

/// Life cycle of an upstream as its agent drives it (charts/upstream.json).
struct UpstreamChart {
  enum class State : std::uint8_t { Joining, Active, Unreachable, Draining, Stopping, Left };
  enum class Event : std::uint8_t { Reachable, Unreachable, Drain, Resume, Stop, Idle };
  enum class Action : std::uint8_t {
    AnnounceJoining,
    AnnounceActive,
    AnnounceLeaving,
    AcceptNewFlows,
    RefuseNewFlows,
    Leave
  };

  [[nodiscard]] static Vocabulary vocabulary() noexcept;
};

/// Life of a flow at the agent that serves it (charts/flow.json).
struct FlowChart {
  enum class State : std::uint8_t { HalfOpen, Open, Draining, Closing, Ended };
  enum class Event : std::uint8_t {
    CallerAcknowledged,
    RequestStarted,
    RequestsAnswered,
    Drain,
    CallerFinished,
    Broken,
    Expired
  };
  enum class Action : std::uint8_t { SendConnectionClose, Finish, CancelRequests, Release };

  [[nodiscard]] static Vocabulary vocabulary() noexcept;
};

/// The configuration on a node (charts/configuration.json).
struct ConfigurationChart {
  enum class State : std::uint8_t { Empty, InForce, Behind };
  enum class Event : std::uint8_t { NewerDocument, OlderDocument, NewerRevisionSeen, FetchFailed };
  enum class Action : std::uint8_t { Adopt, Refuse, Fetch, RetryLater };

  [[nodiscard]] static Vocabulary vocabulary() noexcept;
};

} // namespace galenarelay::statechart

#endif // GALENARELAY_STATECHART_CHARTS_H
