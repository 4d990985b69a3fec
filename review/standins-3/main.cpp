// Plays one case of the review: stage CASE PROGRAMS WORK RECORD, with TROUBLE=0 in the environment
// without its disturbance. Exit status: 0 if the rules held, 1 if one was broken, 2 if the case
// could not run.

#include "fleet.h"

#include "galenarelay/common/log.h"
#include "galenarelay/node/impl/call_pause.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <map>
#include <utility>

namespace galenarelay::review {
namespace {

using boost::asio::awaitable;
using node::impl::sleepFor;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int CouldNotRun = 2;

struct Stage {
  Fleet &Machines;
  Record &Notes;
  bool Trouble;

  /// A caller's order with its tries.
  struct Order {
    std::string Text;
    Clock::time_point SentAt;
    packet::FlowKey Key;
    std::uint32_t Tries = 0;
    bool Served = false;
    bool Over = false;
  };

  void tryOrder(Order &Sent, std::size_t Caller) const {
    ++Sent.Tries;
    Sent.Key = Machines.callers().open(Caller, Machines.orderRoute(), Sent.Text);
  }

  /// An order is tried again if its flow never opened, or its host said that it wasn't run.
  void followOrder(Order &Sent, std::size_t Caller) const {
    constexpr seconds TimeBudget{4};
    constexpr std::uint32_t MaxTries = 3;
    const auto &Flow = Machines.callers().flow(Sent.Key);
    const bool NeverOpened = Flow.State == Callers::Phase::Closed && !Flow.WasOpen;
    Sent.Served = Flow.Answers > 0;
    Sent.Over = Sent.Served || Clock::now() - Sent.SentAt > TimeBudget ||
                (Flow.State == Callers::Phase::Closed && Flow.WasOpen && !Flow.NotRun);
    if (Sent.Served || Flow.NotRun)
      Machines.callers().close(Sent.Key);
    else if (Sent.Over)
      Machines.callers().giveUp(Sent.Key);
    if (Sent.Over || !(NeverOpened || Flow.NotRun))
      return;
    if (Sent.Tries < MaxTries)
      tryOrder(Sent, Caller);
    else
      Sent.Over = true;
  }

  /// Orders a second, from a time on.
  struct Demand {
    std::chrono::duration<double> From;
    double Rate = 0;
  };

  /// Sends orders until Time, and follows them until their time is over.
  awaitable<void> playOrders(std::vector<Order> &Orders, std::vector<Demand> Demands,
                             milliseconds Time) const {
    const auto Began = Clock::now();
    double Due = 0;
    std::chrono::duration<double> Counted{};
    while (Clock::now() - Began < Time + seconds(5)) {
      const std::chrono::duration<double> Now =
          std::min<Clock::duration>(Clock::now() - Began, Time);
      double Rate = 0;
      for (const auto &Each : Demands)
        if (Now >= Each.From)
          Rate = Each.Rate;
      Due += (Now - std::exchange(Counted, Now)).count() * Rate;
      for (; Due >= 1; Due -= 1) {
        Orders.push_back({"order-" + std::to_string(Orders.size()), Clock::now(), {}});
        tryOrder(Orders.back(), Orders.size());
      }
      for (std::size_t I = 0; I < Orders.size(); ++I)
        if (!Orders[I].Over)
          followOrder(Orders[I], I + 1);
      co_await sleepFor(milliseconds(5));
    }
  }

  /// During a rush, the hosts of a service crash one after the other; each is back soon.
  awaitable<int> restartedHosts() const {
    constexpr std::size_t HostsOfService = 2;
    constexpr double RushRate = 236; // 1.7 times what the hosts can run.
    constexpr double UsualRate = 80;
    constexpr milliseconds DownTime{120};
    constexpr seconds Pause{4};
    constexpr seconds RecoveryTime{12};
    constexpr seconds Lead{5};
    constexpr milliseconds Rush =
        Lead + HostsOfService * (DownTime + Pause) - Pause + RecoveryTime + seconds(15);
    constexpr milliseconds Time = Rush + seconds(15);
    std::vector<Order> Orders;
    for (std::size_t I = 0; I < HostsOfService; ++I)
      Machines.host(I).WorkTime = milliseconds(72);
    boost::asio::co_spawn(Machines.context(),
                          playOrders(Orders, {{seconds(0), RushRate}, {Rush, UsualRate}}, Time),
                          boost::asio::detached);
    co_await sleepFor(Lead);
    const auto Before = Clock::now();
    auto Back = Before;
    for (std::size_t I = 0; I < HostsOfService; ++I) {
      if (Trouble)
        Machines.host(I).crash();
      co_await sleepFor(DownTime);
      if (Trouble)
        Machines.host(I).start("i-" + std::to_string(I) + "-b", "desk");
      Back = Clock::now();
      co_await sleepFor(Pause);
    }
    co_await sleepFor(RecoveryTime + seconds(15) - Pause);
    const auto RushEnd = Clock::now();
    Notes.note("the rush is over");
    co_await sleepFor(Time - Rush + seconds(6));
    const auto Share = [&](auto &&Counts, const char *When) {
      std::size_t Sent = 0;
      std::size_t Served = 0;
      for (const auto &Each : Orders) {
        Sent += Counts(Each.SentAt) ? 1 : 0;
        Served += Counts(Each.SentAt) && Each.Served ? 1 : 0;
      }
      Notes.note(std::string(When) + ": " + std::to_string(Served) + " of " + std::to_string(Sent) +
                 " orders are served");
      return static_cast<double>(Served) / static_cast<double>(std::max<std::size_t>(1, Sent));
    };
    const double Early = Share([&](auto At) { return At < Before; }, "before the first crash");
    const double Late = Share([&](auto At) { return At > Back + RecoveryTime && At < RushEnd; },
                              "later than recoveryS after the last host is back, in the rush");
    (void)Share([&](auto At) { return At > RushEnd + seconds(5); },
                "later than 5 s after the rush");
    if (Early < 0.25)
      co_return CouldNotRun;
    if (Late < 0.25)
      Notes.violation("RECOVER: less than a quarter of the orders is served");
    co_return 0;
  }

  awaitable<int> play(std::string Name) const {
    const bool Ready = co_await Machines.start();
    if (!Ready) {
      Notes.note("the balancers aren't ready");
      co_return CouldNotRun;
    }
    Notes.note("the balancers are ready");
    co_await sleepFor(seconds(2));
    int Result = CouldNotRun;
    if (Name == "restarted-hosts")
      Result = co_await restartedHosts();
    if (Result == 0 && Machines.programEnded())
      Notes.violation("a program has ended by itself");
    if (Result != 0)
      co_return Result;
    co_return Notes.violations() > 0 ? 1 : 0;
  }
};

} // namespace
} // namespace galenarelay::review

int main(int ArgumentCount, char **Arguments) {
  using namespace galenarelay;
  if (ArgumentCount != 5)
    return review::CouldNotRun;
  const char *Trouble = std::getenv("TROUBLE");
  common::configureLog("stage", common::LogLevel::Error);
  try {
    boost::asio::io_context Io(1);
    review::Record Notes(Arguments[4]);
    review::Fleet Machines(Io, Notes, Arguments[2], Arguments[3], {});
    const review::Stage Played{Machines, Notes, Trouble == nullptr || std::string(Trouble) != "0"};
    int Result = review::CouldNotRun;
    boost::asio::co_spawn(Io, Played.play(Arguments[1]),
                          [&](const std::exception_ptr &Problem, int Exit) {
                            Result = Problem ? review::CouldNotRun : Exit;
                            Io.stop();
                          });
    Io.run();
    Notes.note("result " + std::to_string(Result));
    return Result;
  } catch (const std::exception &Problem) {
    std::cerr << Problem.what() << "\n";
    return review::CouldNotRun;
  }
}
