// Plays one case of the review: stage CASE PROGRAMS WORK RECORD, with TROUBLE=0 in the environment
// without its disturbance. Exit status: 0 if the rules held, 1 if one was broken, 2 if the case
// could not run.

#include "fleet.h"

#include "galenarelay/common/http.h"
#include "galenarelay/common/log.h"
#include "galenarelay/node/impl/call_pause.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <cstdlib>
#include <functional>
#include <iostream>
#include <map>

namespace galenarelay::review {
namespace {

using boost::asio::awaitable;
using node::impl::sleepFor;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t LongFlows = 24;
constexpr int CouldNotRun = 2;

struct Stage {
  Fleet &Machines;
  Record &Notes;
  bool Trouble;

  /// The host that holds a flow; null if none does.
  [[nodiscard]] Host *holderOf(const packet::FlowKey &Key) const {
    for (std::size_t I = 0; I < Fleet::Sizes{}.Hosts; ++I)
      if (Machines.host(I).holds(Key))
        return &Machines.host(I);
    return nullptr;
  }

  /// FLOW: a reset of the system's own while the flow's host lives, and has done so for longer than
  /// stableWindowMs.
  void watchResets() const {
    Machines.callers().onReset([this](const packet::FlowKey &Key) {
      if (const Host *Holder = holderOf(Key); Holder != nullptr && Holder->age() > StableWindow)
        Notes.violation("FLOW: the caller of " + packet::toString(Key) +
                        " gets a reset that host " + Holder->id() +
                        ", which lives and holds the flow, didn't send");
    });
  }

  /// Opens flows with one request each. Returns those that were answered.
  [[nodiscard]] awaitable<std::vector<packet::FlowKey>> openFlows(common::Endpoint Route) const {
    std::vector<packet::FlowKey> Keys;
    for (std::size_t I = 0; I < LongFlows; ++I) {
      Keys.push_back(Machines.callers().open(I, Route, "request-" + std::to_string(I) + "-1"));
      co_await sleepFor(milliseconds(20));
    }
    co_await sleepFor(milliseconds(600));
    std::erase_if(Keys, [this](const packet::FlowKey &Key) {
      return Machines.callers().flow(Key).Answers != 1;
    });
    co_return Keys;
  }

  [[nodiscard]] std::size_t heldBy(const Host &Holder,
                                   const std::vector<packet::FlowKey> &Keys) const {
    std::size_t Count = 0;
    for (const auto &Key : Keys)
      Count += Holder.holds(Key) ? 1 : 0;
    return Count;
  }

  void askAll(const std::vector<packet::FlowKey> &Keys, const std::string &Suffix) const {
    for (std::size_t I = 0; I < Keys.size(); ++I)
      Machines.callers().ask(Keys[I], "request-" + std::to_string(I) + Suffix);
  }

  /// Sends a call of a host whose delivery was held up.
  awaitable<void> deliver(std::string Method, std::string Id, std::string Body) const {
    const auto Control = Machines.host(0).where().Control;
    const auto Answer = co_await common::httpCall(Control, Method, "/-/instances/" + Id,
                                                  std::move(Body), seconds(1));
    Notes.note("the delayed " + Method + " of " + Id + " arrives, answered by " +
               (Answer ? std::to_string(Answer->Status) : "nothing"));
  }

  /// A check-in of an earlier lifetime arrives while the agent has just started again.
  awaitable<int> delayedCheckIn() const {
    Host &Watched = Machines.host(0);
    co_await sleepFor(seconds(2));
    const std::string EarlierId = Watched.id();
    const std::string Delayed = Watched.checkIn();
    Notes.note("host " + EarlierId + " sends a check-in that is held up");
    Watched.crash();
    co_await sleepFor(milliseconds(500));
    Watched.start("i-0-b", Watched.service());
    // Balancers spare a host for some seconds after its crash.
    co_await sleepFor(milliseconds(9700));
    const auto Keys = co_await openFlows(Machines.orderRoute());
    const auto Held = heldBy(Watched, Keys);
    Notes.note(std::to_string(Keys.size()) + " flows are open, " + std::to_string(Held) +
               " of them at " + Watched.id());
    if (Held == 0)
      co_return CouldNotRun;
    co_await Machines.restartAgent(0);
    if (Trouble)
      co_await deliver("PUT", EarlierId, Delayed);
    co_await sleepFor(milliseconds(1500));
    askAll(Keys, "-2");
    co_await sleepFor(seconds(5));
    co_return 0;
  }

  /// A departure of an earlier lifetime arrives after the host has started again with its ID.
  awaitable<int> delayedDeparture() const {
    Host &Watched = Machines.host(0);
    co_await sleepFor(seconds(2));
    const std::string Id = Watched.id();
    co_await Watched.drain();
    Notes.note("host " + Id + " sends its departure, which is held up, and exits");
    Watched.crash();
    co_await sleepFor(milliseconds(500));
    Watched.start(Id, Watched.service());
    co_await sleepFor(milliseconds(800));
    const auto Keys = co_await openFlows(Machines.orderRoute());
    const auto Held = heldBy(Watched, Keys);
    Notes.note(std::to_string(Keys.size()) + " flows are open, " + std::to_string(Held) +
               " of them at " + Watched.id());
    if (Held == 0)
      co_return CouldNotRun;
    co_await sleepFor(milliseconds(2600));
    // Orders are in progress as the departure arrives.
    Watched.WorkTime = milliseconds(300);
    askAll(Keys, "-2");
    co_await sleepFor(milliseconds(20));
    if (Trouble)
      co_await deliver("DELETE", Id, "");
    co_await sleepFor(seconds(5));
    co_return 0;
  }

  /// ROUTE: a request of the orders' route, whose service is "desk", is run by another service.
  void watchRuns() const {
    for (std::size_t I = 0; I < Fleet::Sizes{}.Hosts; ++I)
      Machines.host(I).OnRun = [this](const Host &Runs, const std::string &Text) {
        if (Text.starts_with("order") && Runs.service() != "desk")
          Notes.violation("ROUTE: " + Text + " is run by host " + Runs.id() + " of " +
                          Runs.service());
      };
  }

  /// Opens a flow for each order, at an even rate.
  awaitable<void> sendOrders(milliseconds Time) const {
    constexpr milliseconds Interval{25};
    for (int I = 0; I < Time / Interval; ++I) {
      Machines.callers().open(static_cast<std::size_t>(I), Machines.orderRoute(),
                              "order-" + std::to_string(I));
      co_await sleepFor(Interval);
    }
  }

  /// The address of a host that has crashed goes to another service; then a check-in of the crashed
  /// host arrives.
  awaitable<int> reusedAddress() const {
    Host &Watched = Machines.host(0);
    watchRuns();
    boost::asio::co_spawn(Machines.context(), sendOrders(seconds(9)), boost::asio::detached);
    co_await sleepFor(seconds(2));
    const std::string EarlierId = Watched.id();
    const std::string Delayed = Watched.checkIn();
    Notes.note("host " + EarlierId + " sends a check-in that is held up");
    Watched.crash();
    // reuseAfterS is 2.
    co_await sleepFor(milliseconds(2100));
    Watched.start("i-9-a", "intake");
    co_await sleepFor(milliseconds(300));
    if (Trouble)
      co_await deliver("PUT", EarlierId, Delayed);
    co_await sleepFor(seconds(6));
    Notes.note(std::to_string(Machines.callers().answers()) + " answers");
    co_return Machines.callers().answers() < 100 ? CouldNotRun : 0;
  }

  awaitable<int> play(std::string Name) const {
    watchResets();
    const bool Ready = co_await Machines.start();
    if (!Ready) {
      Notes.note("the balancers aren't ready");
      co_return CouldNotRun;
    }
    Notes.note("the balancers are ready");
    co_await sleepFor(seconds(2));
    int Result = CouldNotRun;
    if (Name == "delayed-check-in")
      Result = co_await delayedCheckIn();
    else if (Name == "reused-address")
      Result = co_await reusedAddress();
    else if (Name == "delayed-departure")
      Result = co_await delayedDeparture();
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
