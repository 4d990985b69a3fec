// Measures time and memory per request in the scheduler and per choice in the load view.
#include "galenarelay/bench/report.h"
#include "galenarelay/common/random.h"
#include "galenarelay/schedule/load_view.h"
#include "galenarelay/schedule/scheduler.h"

#include <cstdlib>
#include <deque>
#include <malloc.h>
#include <new>

namespace {

/// Bytes currently allocated, including the allocator's rounding.
std::size_t LiveBytes = 0;

} // namespace

void *operator new(std::size_t Size) {
  void *Block = std::malloc(Size);
  if (Block == nullptr)
    throw std::bad_alloc();
  LiveBytes += malloc_usable_size(Block);
  return Block;
}

void operator delete(void *Block) noexcept {
  LiveBytes -= Block == nullptr ? 0 : malloc_usable_size(Block);
  std::free(Block);
}

void operator delete(void *Block, std::size_t /*Size*/) noexcept { operator delete(Block); }

namespace galenarelay::bench {

namespace {

using common::Duration;
using common::TimePoint;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t Rounds = 200'000;
constexpr Duration OrderTime = milliseconds(40);

double nanoseconds(std::chrono::steady_clock::duration Value) {
  return std::chrono::duration<double, std::nano>(Value).count();
}

/// Keeps a scheduler's queue at a constant length: each completed request is replaced by a new one.
class SteadyLoad {
public:
  SteadyLoad(std::size_t Queued, std::uint32_t Callers, std::uint64_t Seed)
      : Subject(options(Queued)), Random(Seed), Callers(Callers) {
    // Callers take turns at first, so that as many as requested have queued requests.
    for (std::size_t I = 0; I < Queued + 5; ++I)
      arrive(static_cast<std::uint32_t>(I) % Callers);
    Bytes = LiveBytes;
  }

  void arrive(std::uint32_t Caller) {
    apply(Subject.onArrival({++LastId, Caller, Class, Now + seconds(600)}, Now));
  }
  void replaceOne() {
    Now += OrderTime / 5;
    const schedule::RequestId Id = Running.front();
    Running.pop_front();
    apply(Subject.onFinished(Id, schedule::Completion::Succeeded, Now));
    arrive(static_cast<std::uint32_t>(common::uniformBelow(Random, Callers)));
  }
  [[nodiscard]] std::size_t queued() const noexcept { return Subject.queued(); }
  [[nodiscard]] std::size_t bytes() const noexcept { return Bytes; }

private:
  static schedule::SchedulerOptions options(std::size_t Queued) {
    schedule::SchedulerOptions Options;
    Options.MaxQueued = static_cast<std::uint32_t>(Queued + 10);
    Options.MaxQueueDelay = seconds(36000);
    Options.SlowStart = Duration{};
    return Options;
  }
  void apply(const std::vector<schedule::Decision> &Decisions) {
    for (const schedule::Decision &Next : Decisions)
      if (Next.Dispatch)
        Running.push_back(Next.Id);
  }

  const schedule::WorkClass Class{"desk", "POST", "orders", 0};
  schedule::Scheduler Subject;
  common::Engine Random;
  std::uint32_t Callers;
  TimePoint Now{seconds(1)};
  schedule::RequestId LastId = 0;
  std::deque<schedule::RequestId> Running;
  std::size_t Bytes = 0;
};

Table perRequest(const BenchArguments &Settings) {
  Table Result{"scheduler, one arrival and one completion per request", {}};
  struct Case {
    std::size_t Queued;
    std::uint32_t Callers;
  };
  const Case Cases[] = {{0, 100},  {10, 100},  {100, 100},   {1000, 100},   {10000, 100},
                        {1000, 1}, {1000, 10}, {1000, 1000}, {1000, 10000}, {10000, 10000}};
  for (const Case &Parameters : Cases) {
    const std::size_t Before = LiveBytes;
    SteadyLoad Run(Parameters.Queued, Parameters.Callers, Settings.Seed);
    const double Bytes = static_cast<double>(Run.bytes() - Before);
    const auto Begin = std::chrono::steady_clock::now();
    for (std::size_t I = 0; I < Rounds; ++I)
      Run.replaceOne();
    const double MeanTime = nanoseconds(std::chrono::steady_clock::now() - Begin) / Rounds;
    Result.Rows.push_back(
        {{"queue", Parameters.Queued},
         {"callers", Parameters.Callers},
         {"ns_per_request", MeanTime},
         {"bytes_per_waiting", Parameters.Queued == 0 ? 0 : Bytes / Parameters.Queued},
         {"queue_at_end", Run.queued()}});
  }
  return Result;
}

Table perChoice(const BenchArguments &Settings) {
  Table Result{"load view, own report and one choice per flow", {}};
  for (const std::size_t Members : {3, 7, 70, 700}) {
    routing::ServiceRoute Route;
    const std::size_t Before = LiveBytes;
    schedule::LoadView View(Settings.Seed);
    TimePoint Now{seconds(1)};
    for (std::size_t I = 0; I < Members; ++I) {
      membership::Member Member;
      Member.Id = "agent-" + std::to_string(100000 + I);
      Member.State = membership::MemberState::Active;
      Route.Candidates.push_back(Member);
      View.onReport({.MemberId = Member.Id,
                     .Slots = 5,
                     .Busy = static_cast<std::uint32_t>(I % 5),
                     .Sequence = 1},
                    Now);
    }
    const double Bytes = static_cast<double>(LiveBytes - Before);
    const std::size_t Choices = Rounds / Members;
    std::size_t Sum = 0;
    const auto Begin = std::chrono::steady_clock::now();
    for (std::size_t I = 0; I < Choices; ++I) {
      Now += milliseconds(1);
      View.onReport({.MemberId = Route.Candidates[0].Id, .Slots = 5, .Busy = 5, .Sequence = 1},
                    Now);
      Sum += View.chooseUpstream(Route, Route.Candidates[0].Id, Now).value_or(0);
    }
    const double MeanTime =
        nanoseconds(std::chrono::steady_clock::now() - Begin) / static_cast<double>(Choices);
    Result.Rows.push_back({{"members", Members},
                           {"ns_per_choice", MeanTime},
                           {"bytes_per_member", Bytes / static_cast<double>(Members)},
                           {"mean_choice", static_cast<double>(Sum) / Choices}});
  }
  return Result;
}

std::vector<Table> measure(const BenchArguments &Settings) {
  return {perRequest(Settings), perChoice(Settings)};
}

} // namespace

} // namespace galenarelay::bench

int main(int ArgumentCount, char **Arguments) {
  return galenarelay::bench::runBench("schedule_cost", ArgumentCount, Arguments,
                                      galenarelay::bench::measure);
}
