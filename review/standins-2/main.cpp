#include "parts.h"

#include "galenarelay/node/impl/call_pause.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <set>

namespace galenarelay::review {

namespace {

using boost::asio::awaitable;
using node::impl::sleepFor;
using std::chrono::milliseconds;

/// The route of the orders, and another one.
constexpr common::Endpoint Orders{0xc6120001, 443};
constexpr common::Endpoint Photos{0xc6120002, 443};

enum class Verdict : std::uint8_t { Held = 0, Broken = 1, NotRun = 2 };

struct Case {
  boost::asio::io_context &Io;
  Record &Log;
  DeploymentOptions Options;
  bool Trouble = true;
};

/// The hosts of the site: seven of one service, then three of the other.
std::vector<std::string> siteHosts() {
  std::vector<std::string> Services(7, "dealer-desk");
  Services.resize(10, "warranty-intake");
  return Services;
}

awaitable<void> waitUntil(Clock::time_point At) {
  co_await sleepFor(std::chrono::duration_cast<common::Duration>(At - Clock::now()));
}

/// Sends orders at an even rate until Until.
awaitable<void> sendOrders(Callers &Users, milliseconds Gap, Clock::time_point Until) {
  while (Clock::now() < Until) {
    Users.ask(Orders);
    co_await sleepFor(Gap);
  }
}

/// A node beside a host freezes for 3.45 s. Meanwhile its host crashes, and the address goes to a
/// host of another service, 2.05 s later.
awaitable<Verdict> playReuseDuringFreeze(Case Of) {
  std::size_t Foreign = 0;
  std::size_t Runs = 0;
  const std::map<common::Endpoint, std::string> Manifest{{Orders, "dealer-desk"},
                                                         {Photos, "warranty-intake"}};
  const auto Ran = [&](const Host &By, std::uint64_t Id, common::Endpoint Route) {
    ++Runs;
    const bool Allowed = Manifest.at(Route) == By.service();
    Foreign += Allowed ? 0 : 1;
    Of.Log.write("attempt " + std::to_string(Id) + " for " + common::toString(Route) +
                 " is run by " + By.id() + " of " + By.service() +
                 (Allowed ? "" : ": NO MANIFEST ALLOWS IT"));
  };
  Of.Options.Services = siteHosts();
  Deployment Under(Of.Io, Of.Options, Of.Log, Ran);
  Under.configure(Manifest);
  if (!co_await Under.start())
    co_return Verdict::NotRun;
  co_await sleepFor(milliseconds(3000));
  const auto Begun = Clock::now();
  boost::asio::co_spawn(Of.Io,
                        sendOrders(*Under.Users, milliseconds(25), Begun + milliseconds(11'000)),
                        boost::asio::detached);
  const auto Freeze = Begun + milliseconds(3000);
  co_await waitUntil(Freeze);
  if (Of.Trouble) {
    Of.Log.write("the node side-0 freezes");
    Under.agent(0).signal(SIGSTOP);
  }
  co_await waitUntil(Freeze + milliseconds(1300));
  Under.host(0).crash();
  Under.writeAgentSettings(0, "warranty-intake");
  co_await waitUntil(Freeze + milliseconds(1300) + ReuseAfter + milliseconds(50));
  Under.host(0).start("h0-2", "warranty-intake");
  co_await waitUntil(Freeze + milliseconds(3450));
  if (Of.Trouble) {
    Under.agent(0).signal(SIGCONT);
    Of.Log.write("the node side-0 goes on");
  }
  co_await waitUntil(Begun + milliseconds(13'000));
  Of.Log.write(std::to_string(Runs) + " requests run, " + std::to_string(Foreign) +
               " of them by a service to which no manifest sends them; " +
               std::to_string(Under.Users->answered()) + " answered");
  if (Under.lostProcess() || Runs < 100)
    co_return Verdict::NotRun;
  co_return Foreign > 0 ? Verdict::Broken : Verdict::Held;
}

/// Open connections to the store go silent for good, without a reset, while new ones work. A
/// manifest that is acknowledged then sends the orders to another service.
awaitable<Verdict> playSilentWatch(Case Of) {
  struct {
    std::optional<Clock::time_point> Silent;
    std::optional<Clock::time_point> Moved;
  } At;
  std::map<std::uint64_t, Clock::time_point> SentAt;
  std::size_t Stale = 0;
  std::size_t Runs = 0;
  const auto Ran = [&](const Host &By, std::uint64_t Id, common::Endpoint Route) {
    ++Runs;
    const auto Sent = SentAt.at(Id);
    const bool Bound = At.Moved && Sent > *At.Moved + ConfigApply &&
                       (!At.Silent || Sent > *At.Silent + StableWindow);
    const bool Old = Bound && By.service() == "dealer-desk";
    Stale += Old ? 1 : 0;
    Of.Log.write("attempt " + std::to_string(Id) + " for " + common::toString(Route) +
                 " is run by " + By.id() + " of " + By.service() +
                 (Old ? ": ONLY AN OLDER MANIFEST ALLOWS IT" : ""));
  };
  Of.Options.Services = siteHosts();
  Deployment Under(Of.Io, Of.Options, Of.Log, Ran);
  Under.configure({{Orders, "dealer-desk"}});
  if (!co_await Under.start())
    co_return Verdict::NotRun;
  co_await sleepFor(milliseconds(6000));
  Under.configure({{Orders, "dealer-desk"}, {Photos, "warranty-intake"}});
  co_await sleepFor(milliseconds(300));
  if (Of.Trouble) {
    std::size_t Count = 0;
    for (const auto &Link : Under.storeLinks())
      Count += Link->silenceOpen();
    At.Silent = Clock::now();
    Of.Log.write(std::to_string(Count) + " connections to the store go silent");
  }
  co_await sleepFor(milliseconds(300));
  Under.configure({{Orders, "warranty-intake"}, {Photos, "warranty-intake"}});
  At.Moved = Clock::now();
  while (Clock::now() < *At.Moved + milliseconds(8000)) {
    const auto Sent = Under.Users->ask(Orders);
    SentAt[Sent.Id] = Sent.SentAt;
    co_await sleepFor(milliseconds(25));
  }
  co_await sleepFor(milliseconds(1000));
  Of.Log.write(std::to_string(Runs) + " requests run, " + std::to_string(Stale) +
               " of them as only an older manifest allows, later than 3 s after the "
               "acknowledgement, by machines in touch");
  if (Under.lostProcess() || Runs < 100)
    co_return Verdict::NotRun;
  co_return Stale > 0 ? Verdict::Broken : Verdict::Held;
}

/// The store turns some machines away and serves the others: those of the frontends that watch it.
/// A manifest that is acknowledged meanwhile sends the orders to another service.
awaitable<Verdict> playWatchersTurnedAway(Case Of) {
  std::optional<Clock::time_point> Moved;
  std::map<std::uint64_t, Attempt> Sent;
  std::set<std::size_t> Away;
  std::size_t Stale = 0;
  std::size_t Runs = 0;
  Of.Options.Balancers = 18;
  Of.Options.Services = siteHosts();
  Deployment Under(
      Of.Io, Of.Options, Of.Log, [&](const Host &By, std::uint64_t Id, common::Endpoint) {
        ++Runs;
        const Attempt &Asked = Sent.at(Id);
        const bool Old = Moved && Asked.SentAt > *Moved + ConfigApply &&
                         !Away.contains(Asked.Balancer) && By.service() == "dealer-desk";
        Stale += Old ? 1 : 0;
        Of.Log.write("attempt " + std::to_string(Id) + " through frontend-" +
                     std::to_string(Asked.Balancer) + " is run by " + By.id() + " of " +
                     By.service() + (Old ? ": ONLY AN OLDER MANIFEST ALLOWS IT" : ""));
      });
  Under.configure({{Orders, "dealer-desk"}});
  if (!co_await Under.start())
    co_return Verdict::NotRun;
  co_await sleepFor(milliseconds(8000));
  for (std::size_t I = 0; I < Under.storeLinks().size(); ++I) {
    if (!Of.Trouble || Under.storeLinks()[I]->open() == 0)
      continue;
    Away.insert(I);
    Under.storeLinks()[I]->turnAway(true);
    Of.Log.write("the store turns frontend-" + std::to_string(I) + " away");
  }
  co_await sleepFor(milliseconds(500));
  Under.configure({{Orders, "warranty-intake"}});
  Moved = Clock::now();
  while (Clock::now() < *Moved + milliseconds(8500)) {
    const auto Asked = Under.Users->ask(Orders);
    Sent[Asked.Id] = Asked;
    co_await sleepFor(milliseconds(25));
  }
  for (const auto &Link : Under.storeLinks())
    Link->turnAway(false);
  Of.Log.write("the store serves all again");
  co_await sleepFor(milliseconds(1000));
  Of.Log.write(std::to_string(Away.size()) + " of 28 machines turned away; " +
               std::to_string(Runs) + " requests run, " + std::to_string(Stale) +
               " of them as only an older manifest allows, later than 3 s after the "
               "acknowledgement, by machines that the store serves");
  if (Under.lostProcess() || Runs < 100)
    co_return Verdict::NotRun;
  co_return Stale > 0 ? Verdict::Broken : Verdict::Held;
}

/// The first check-in of a host is delayed by a partition; the later ones pass, and the host holds
/// open flows. The node beside it is restarted as planned, and gets the late check-in before the
/// next one.
awaitable<Verdict> playLateCheckIn(Case Of) {
  std::size_t Resets = 0;
  Of.Options.Services = siteHosts();
  Of.Options.DelaysFirstCheckIn = Of.Trouble;
  Deployment Under(Of.Io, Of.Options, Of.Log,
                   [&](const Host &By, std::uint64_t Id, common::Endpoint) {
                     Of.Log.write("attempt " + std::to_string(Id) + " is run by " + By.id());
                   });
  Under.Users->onOpenFlowReset([&](const packet::FlowKey &Key) {
    for (std::size_t I = 0; I < Of.Options.Services.size(); ++I) {
      if (!Under.host(I).holds(Key))
        continue;
      ++Resets;
      Of.Log.write("the flow " + packet::toString(Key) + " IS OPEN AT THE LIVING HOST " +
                   Under.host(I).id());
    }
  });
  Under.configure({{Orders, "dealer-desk"}}, "safe");
  if (!co_await Under.start())
    co_return Verdict::NotRun;
  co_await sleepFor(milliseconds(2000));
  for (int I = 0; I < 80; ++I) {
    Under.Users->ask(Orders, true);
    co_await sleepFor(milliseconds(20));
  }
  // The next check-in then falls into the restart, and the one after it comes a second later.
  const auto Acknowledged = Under.host(0).acknowledged();
  while (Under.host(0).acknowledged() == Acknowledged)
    co_await sleepFor(milliseconds(5));
  co_await sleepFor(milliseconds(300));
  Of.Log.write("the node side-0 is restarted as planned");
  co_await Deployment::restart(Under.agent(0), milliseconds(1000));
  co_await sleepFor(milliseconds(100));
  Of.Log.write("the node side-0 runs again");
  if (Of.Trouble) {
    Under.checkInLink(0).release();
    Of.Log.write("the delayed check-in of h0-1 arrives");
  }
  co_await sleepFor(milliseconds(6000));
  const auto Before = Under.Users->answered();
  Under.Users->askOnKept();
  co_await sleepFor(milliseconds(4000));
  Of.Log.write(std::to_string(Before) + " requests answered before the restart, " +
               std::to_string(Under.Users->answered() - Before) + " after it on the same flows, " +
               std::to_string(Resets) + " flows reset that their living host holds");
  if (Under.lostProcess() || Before < 60)
    co_return Verdict::NotRun;
  co_return Resets > 0 ? Verdict::Broken : Verdict::Held;
}

/// A frontend freezes with SYNs that it has not read. Their copies open the flows through others.
/// The node beside one of the hosts is restarted as planned. The frontend then goes on, and sends
/// the SYNs to hosts.
awaitable<Verdict> playSynFromFreeze(Case Of) {
  std::size_t Resets = 0;
  Of.Options.Services = siteHosts();
  Deployment Under(Of.Io, Of.Options, Of.Log,
                   [&](const Host &By, std::uint64_t Id, common::Endpoint) {
                     Of.Log.write("attempt " + std::to_string(Id) + " is run by " + By.id());
                   });
  const auto HolderOf = [&](const packet::FlowKey &Key) -> std::optional<std::size_t> {
    for (std::size_t I = 0; I < Of.Options.Services.size(); ++I)
      if (Under.host(I).holds(Key))
        return I;
    return std::nullopt;
  };
  Under.Users->onOpenFlowReset([&](const packet::FlowKey &Key) {
    const auto Holder = HolderOf(Key);
    if (!Holder)
      return;
    ++Resets;
    Of.Log.write("the flow " + packet::toString(Key) + " IS OPEN AT THE LIVING HOST " +
                 Under.host(*Holder).id());
  });
  Under.configure({{Orders, "dealer-desk"}}, "safe");
  if (!co_await Under.start())
    co_return Verdict::NotRun;
  // The callers are in the zone of these three.
  Under.rotate({0, 3, 6});
  co_await sleepFor(milliseconds(5000));
  const auto Freeze = Clock::now();
  if (Of.Trouble) {
    Under.balancer(0).signal(SIGSTOP);
    Of.Log.write("frontend-0 freezes");
  }
  co_await waitUntil(Freeze + milliseconds(420));
  for (int I = 0; I < 110; ++I) {
    Under.Users->ask(Orders, true);
    co_await sleepFor(milliseconds(3));
  }
  // Two readiness checks have failed.
  co_await waitUntil(Freeze + milliseconds(1000));
  if (Of.Trouble)
    Under.rotate({3, 6});
  co_await waitUntil(Freeze + milliseconds(1650));
  std::map<std::size_t, std::size_t> Counts;
  for (const auto &[Key, First] : Under.Users->keptFlows())
    if (const auto Holder = HolderOf(Key); Holder && First == 0)
      ++Counts[*Holder];
  const auto Most =
      std::max_element(Counts.begin(), Counts.end(),
                       [](const auto &A, const auto &B) { return A.second < B.second; });
  if (Most == Counts.end())
    co_return Verdict::NotRun;
  const std::string Node = "the node side-" + std::to_string(Most->first);
  Of.Log.write(Node + " is restarted as planned");
  co_await Deployment::restart(Under.agent(Most->first), milliseconds(600));
  Of.Log.write(Node + " runs again");
  co_await waitUntil(Freeze + milliseconds(3450));
  if (Of.Trouble) {
    Under.balancer(0).signal(SIGCONT);
    Of.Log.write("frontend-0 goes on");
  }
  co_await sleepFor(milliseconds(1000));
  Under.rotate({0, 3, 6});
  co_await sleepFor(milliseconds(5000));
  const auto Before = Under.Users->answered();
  Under.Users->askOnKept();
  co_await sleepFor(milliseconds(4000));
  Of.Log.write(std::to_string(Before) + " requests answered before, " +
               std::to_string(Under.Users->answered() - Before) +
               " on the same flows 6 s after the freeze, " + std::to_string(Resets) +
               " flows reset that their living host holds");
  if (Under.lostProcess() || Before < 50)
    co_return Verdict::NotRun;
  co_return Resets > 0 ? Verdict::Broken : Verdict::Held;
}

int play(const std::string &Name, const std::string &Programs, const std::string &Work,
         const std::string &RecordPath) {
  boost::asio::io_context Io(1);
  Record Log(RecordPath);
  const char *Trouble = std::getenv("TROUBLE");
  const Case Of{Io, Log, {Programs, Work}, Trouble == nullptr || std::string(Trouble) != "0"};
  Verdict Result = Verdict::NotRun;
  const auto Run = [&]() -> awaitable<void> {
    if (Name == "reuse-during-freeze")
      Result = co_await playReuseDuringFreeze(Of);
    else if (Name == "silent-watch")
      Result = co_await playSilentWatch(Of);
    else if (Name == "watchers-turned-away")
      Result = co_await playWatchersTurnedAway(Of);
    else if (Name == "syn-from-freeze")
      Result = co_await playSynFromFreeze(Of);
    else if (Name == "late-check-in")
      Result = co_await playLateCheckIn(Of);
    Io.stop();
  };
  boost::asio::co_spawn(Io, Run(), [&](const std::exception_ptr &Failure) {
    if (Failure)
      Io.stop();
  });
  Io.run();
  constexpr std::array Texts{"the rule held", "the rule was broken", "the case couldn't run"};
  Log.write(Texts.at(static_cast<std::size_t>(Result)));
  return static_cast<int>(Result);
}

} // namespace

} // namespace galenarelay::review

// Arguments: the case, the folder of the programs, a folder for settings and logs, the record.
int main(int ArgumentCount, char **Arguments) {
  if (ArgumentCount != 5)
    return 2;
  try {
    return galenarelay::review::play(Arguments[1], Arguments[2], Arguments[3], Arguments[4]);
  } catch (const std::exception &Problem) {
    std::cerr << Problem.what() << "\n";
    return 2;
  }
}
