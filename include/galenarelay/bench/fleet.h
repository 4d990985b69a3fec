#ifndef GALENARELAY_BENCH_FLEET_H
#define GALENARELAY_BENCH_FLEET_H

#include "galenarelay/common/random.h"
#include "galenarelay/common/time.h"
#include "galenarelay/schedule/load_view.h"
#include "galenarelay/schedule/scheduler.h"

#include <cstdint>
#include <deque>
#include <memory>
#include <queue>
#include <string_view>
#include <utility>
#include <vector>

namespace galenarelay::bench {

/// Which upstream gets a flow and how its requests queue there.
enum class Policy : std::uint8_t {
  Galenarelay, ///< LoadView and Scheduler.
  RoundRobin,  ///< Each home in turn; bounded FIFO queues.
  Random,      ///< Uniform; bounded FIFO queues.
  TwoChoices,  ///< Less reported load of two; bounded FIFO queues.
  NoAdmission, ///< LoadView; unbounded FIFO queues.
};

/// How an attempt to run a request ended.
enum class Ending : std::uint8_t { Open, Done, Failed, Rejected };

/// A fleet of upstreams of one service and the traffic that it gets.
struct FleetOptions {
  std::uint32_t Hosts = 7;
  std::uint32_t Slots = 5;
  std::uint32_t Callers = 100;
  double DealerShare = 0; ///< Share of the demand that caller 0 sends.
  common::Duration OrderTime = std::chrono::milliseconds(40);
  double StragglerFactor = 50;
  double StragglerShare = 0;         ///< Of the work.
  bool StragglersPredictable = true; ///< They are a work class of their own.
  common::Duration OrderDeadline = std::chrono::seconds(1);
  common::Duration StragglerDeadline = std::chrono::seconds(60);
  std::uint32_t RequestsPerFlow = 1;
  common::Duration RequestGap = std::chrono::milliseconds(500); ///< Mean, within a flow.
  std::uint32_t MaxAttempts = 1; ///< A client retries after Retry-After until it made as many.
  /// Demand as a multiple of capacity, linear between the points.
  std::vector<std::pair<common::Duration, double>> Demand{{common::Duration{}, 0.5}};
  common::Duration Length = std::chrono::seconds(60);
  std::int32_t FailFastHost = -1; ///< This host fails each request after 1 ms.
  std::uint64_t Seed = 1;
  schedule::SchedulerOptions Schedule;
  schedule::LoadViewOptions View;
};

/// A planned change of the fleet.
struct FleetChange {
  common::TimePoint At{};
  std::int32_t Leaves = -1; ///< Host that leaves; -1 for none.
  std::uint32_t Joins = 0;  ///< Hosts that join.
};

/// A request as its caller sees it.
struct Order {
  std::uint32_t Caller = 0;
  bool Straggler = false;
  common::Duration Work{};
  common::TimePoint Fresh{}; ///< First attempt.
};

/// One attempt to run an order.
struct Attempt {
  std::uint32_t OrderIndex = 0;
  std::uint32_t Host = 0;
  std::uint32_t Number = 1;
  Ending End = Ending::Open;
  common::ResultCode Reason = common::ResultCode::Ok; ///< Of a rejection.
  common::TimePoint Arrived{};
  common::TimePoint Started{};
  common::TimePoint Finished{};
};

/// Mean busy slots of each active upstream in a window.
struct Imbalance {
  double MaxOverMean = 0;
  double Variation = 0; ///< Coefficient of variation.
};

[[nodiscard]] std::string_view name(Policy Which) noexcept;
/// The policy of a name, or all of them if the name is empty, ours first.
[[nodiscard]] std::vector<Policy> policies(std::string_view Only);

/// Event-driven simulation of one service's fleet. The arrivals depend on the options and the seed
/// only, so that policies meet the same demand.
class Fleet {
public:
  Fleet(Policy Which, FleetOptions Options, std::vector<FleetChange> Changes = {});

  /// Runs to the end of the demand.
  void run();

  [[nodiscard]] const std::vector<Order> &orders() const noexcept { return Orders; }
  [[nodiscard]] const std::vector<Attempt> &attempts() const noexcept { return Attempts; }
  /// Flows that were served by another upstream than their home.
  [[nodiscard]] double handOffShare() const noexcept;
  /// Imbalance of the time-averaged busy slots in [From, To) over hosts active throughout.
  [[nodiscard]] Imbalance imbalance(common::TimePoint From, common::TimePoint To) const;
  /// Service time per second that all slots provide.
  [[nodiscard]] double capacity() const noexcept;

private:
  enum class Kind : std::uint8_t {
    NewFlow,
    Request,
    Retry,
    Finish,
    Report,
    Deliver,
    Timer,
    Change
  };
  struct Event {
    common::TimePoint At{};
    std::uint64_t Sequence = 0;
    Kind What{};
    std::uint64_t Subject = 0; ///< Host, flow, order or attempt.
    std::uint64_t Detail = 0;
    friend bool operator>(const Event &A, const Event &B) noexcept {
      return std::pair(A.At, A.Sequence) > std::pair(B.At, B.Sequence);
    }
  };
  struct Host {
    std::unique_ptr<schedule::Scheduler> Scheduled; ///< Null with FIFO queues.
    std::deque<std::uint64_t> Fifo;
    std::uint32_t FifoBusy = 0;
    schedule::LoadView View{0};
    schedule::LoadReport Sent;
    std::uint64_t Sequence = 0;
    std::uint32_t Turn = 0;
    common::TimePoint TimerAt{};
    common::TimePoint Joined{};
    common::TimePoint Left = common::TimePoint::max();
    common::TimePoint BusySince{};
    std::uint32_t BusyCount = 0;     ///< Since BusySince.
    std::vector<double> BusySeconds; ///< Per bucket of BusyBucket.
  };
  struct Flow {
    std::uint32_t Caller = 0;
    std::uint32_t Host = 0;
    std::uint32_t Left = 0; ///< Requests that are still to come.
  };

  void push(common::TimePoint At, Kind What, std::uint64_t Subject, std::uint64_t Detail = 0);
  void handle(const Event &Next);
  void addHost();
  void rebuildRoute();
  void scheduleFlow();
  void openFlow();
  void nextRequest(std::uint64_t FlowIndex);
  void attempt(std::uint64_t OrderIndex, std::uint32_t HostIndex, std::uint32_t Number);
  void retry(std::uint64_t AttemptIndex);
  void finish(std::uint64_t AttemptIndex);
  void sendReport(std::uint32_t HostIndex);
  void apply(const FleetChange &Change);
  void apply(std::uint32_t HostIndex, const std::vector<schedule::Decision> &Decisions);
  void start(std::uint64_t AttemptIndex);
  void reject(std::uint64_t AttemptIndex, common::Duration RetryAfter, common::ResultCode Reason);
  void fifoFill(std::uint32_t HostIndex);
  void account(Host &Of);
  [[nodiscard]] std::uint32_t busy(const Host &Of) const noexcept;
  [[nodiscard]] schedule::LoadReport reportOf(std::uint32_t HostIndex) const;
  [[nodiscard]] std::uint32_t chooseHost();
  [[nodiscard]] double demandAt(common::TimePoint When) const noexcept;
  [[nodiscard]] double exponential(double Mean);
  [[nodiscard]] double meanWork() const noexcept;
  [[nodiscard]] double stragglerChance() const noexcept;

  Policy Which;
  FleetOptions Options;
  std::vector<FleetChange> Changes;
  common::Engine Traffic;
  common::Engine Choices;
  common::TimePoint Now{};
  std::uint64_t Events = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> Pending;
  std::vector<Host> Hosts;
  std::vector<std::uint32_t> CandidateHosts; ///< Same order as Route.Candidates.
  routing::ServiceRoute Route;
  std::vector<Flow> Flows;
  std::vector<Order> Orders;
  std::vector<Attempt> Attempts;
  std::uint64_t HandOffs = 0;
  std::uint64_t Opened = 0;
};

} // namespace galenarelay::bench

#endif // GALENARELAY_BENCH_FLEET_H
