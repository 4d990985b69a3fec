#include "fleet.h"

#include "galenarelay/common/log.h"
#include "galenarelay/node/impl/relay_store.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <cxxopts.hpp>

#include <cmath>
#include <filesystem>
#include <iostream>

namespace galenarelay::soak {

using node::impl::sleepFor;

namespace {

constexpr auto TimerStep = std::chrono::milliseconds(10);
/// Nodes find each other, and upstreams register, before traffic begins.
constexpr auto StartTime = std::chrono::milliseconds(2500);
/// Shares of the time: planned work alone, then faults as well; then all is calm.
constexpr double PlannedShare = 0.3;
/// Share of the time for which a zone is evacuated, in runs with an evacuation.
constexpr double EvacuatedShare = 0.6;
/// One seed in this many has an evacuation. It isn't drawn, so that the others play as before.
constexpr std::uint64_t SeedsPerEvacuation = 4;
/// After the last fault a quarter of the requests is served within this time.
constexpr auto RecoveryBound = std::chrono::seconds(12);
constexpr double RecoveredShare = 0.25;
/// Without a check of times, recovery is awaited for this long.
constexpr auto RecoveryPatience = std::chrono::seconds(60);
constexpr auto RecoveryWindow = std::chrono::seconds(2);
constexpr auto StateCheckInterval = std::chrono::milliseconds(100);
/// Faults of single machines; the other kinds concern all of them.
constexpr std::size_t MachineFaults = 6;
constexpr std::size_t AllFaults = 11;

/// Nodes of each kind that start during a run, at least.
constexpr std::size_t Late = 3;

struct SoakOptions {
  double Seconds = 20;
  double Rate = 60;
  bool CheckTimes = false;
  bool Evacuates = false;
};

/// Load, planned work and faults of one run, all drawn from one seed.
class Soak {
public:
  Soak(boost::asio::io_context &Io, Fleet &Under, Ledger &Seen, SoakOptions Chosen,
       std::uint64_t Seed)
      : Io(Io), Under(Under), Seen(Seen), Chosen(Chosen), Random(Seed),
        FaultKinds(common::uniformUnit(Random) < 0.5 ? MachineFaults : AllFaults) {}

  void start() {
    spawn(tick());
    spawn(load());
    spawn(play());
    if (Chosen.Evacuates)
      spawn(evacuate());
  }

private:
  using Task = boost::asio::awaitable<void>;

  void spawn(Task Next) {
    boost::asio::co_spawn(Io, std::move(Next), [](const std::exception_ptr &Thrown) {
      if (Thrown)
        std::rethrow_exception(Thrown);
    });
  }

  common::Duration between(double Least, double Most) {
    const double Chosen = Least + (Most - Least) * common::uniformUnit(Random);
    return std::chrono::duration_cast<common::Duration>(std::chrono::duration<double>(Chosen));
  }

  Task tick() {
    while (true) {
      Seen.onTick();
      Under.onTimer(Clock::now());
      co_await sleepFor(TimerStep);
    }
  }

  Task load() {
    co_await sleepFor(StartTime);
    common::Engine Arrivals(Random());
    while (true) {
      const double Gap = -std::log(1 - common::uniformUnit(Arrivals)) / Chosen.Rate;
      co_await sleepFor(
          std::chrono::duration_cast<common::Duration>(std::chrono::duration<double>(Gap)));
      const double Draw = common::uniformUnit(Arrivals);
      Under.Users->ask(Draw < 0.7 ? Kind::Feed : (Draw < 0.9 ? Kind::Order : Kind::Photo));
    }
  }

  Task play() {
    co_await sleepFor(StartTime);
    const auto Begin = Clock::now();
    const auto At = [&](double Share) {
      return Begin + std::chrono::duration_cast<Clock::duration>(
                         std::chrono::duration<double>(Chosen.Seconds * Share));
    };
    while (Clock::now() < At(PlannedShare)) {
      plan();
      co_await sleepFor(between(0.2, 1.5));
    }
    while (Clock::now() < At(1)) {
      if (common::uniformUnit(Random) < 0.3)
        plan();
      else
        disturb();
      co_await sleepFor(between(0.05, 1.0));
    }
    Under.Store->setFault(StoreFault::None);
    Under.Link->setFault(LinkFault::None);
    Under.Links.disturb(0, {});
    co_await recover();
    co_await awaitState();
    Io.stop();
  }

  void plan() {
    const auto Node = common::uniformBelow(Random, Under.nodes());
    const auto Host = common::uniformBelow(Random, Under.hosts());
    switch (common::uniformBelow(Random, 7)) {
    case 0:
      note("restart", Node);
      return spawn(Under.restart(Node));
    case 1:
      note("reload", Node);
      return Under.reload(Node);
    case 2:
      note("replace_host", Host);
      return spawn(Under.replaceHost(Host));
    case 3:
      return restartMany();
    case 4:
    case 5:
      return joinMany();
    default:
      note("configure", 0);
      return Under.configure(common::uniformUnit(Random) < 0.5);
    }
  }

  /// A zone is evacuated and taken back, beside all else.
  Task evacuate() {
    co_await sleepFor(StartTime + std::chrono::duration_cast<common::Duration>(
                                      std::chrono::duration<double>(Chosen.Seconds * 0.1)));
    note("evacuate", 0);
    Under.evacuate(true);
    co_await sleepFor(std::chrono::duration_cast<common::Duration>(
        std::chrono::duration<double>(Chosen.Seconds * EvacuatedShare)));
    note("take_back", 0);
    Under.evacuate(false);
  }

  /// Restarts half of the balancers or of all nodes, one after the other or overlapping, while an
  /// upstream may be replaced.
  void restartMany() {
    const bool OnlyBalancers = common::uniformUnit(Random) < 0.7;
    const bool InTurn = common::uniformUnit(Random) < 0.5;
    const auto Pause = between(0.01, 1.5);
    auto Chosen = shuffled(OnlyBalancers ? Under.balancers() : Under.nodes());
    Chosen.resize((Chosen.size() + 1) / 2);
    const auto Host = common::uniformBelow(Random, Under.hosts());
    if (common::uniformUnit(Random) < 0.5)
      spawn(Under.replaceHost(Host));
    note(InTurn ? "restart_in_turn" : "restart_overlapping", Chosen.size());
    spawn(restartEach(std::move(Chosen), InTurn, Pause));
  }

  Task restartEach(std::vector<std::size_t> Nodes, bool InTurn, common::Duration Pause) {
    for (const auto Node : Nodes) {
      if (InTurn)
        co_await Under.restart(Node);
      else
        spawn(Under.restart(Node));
      co_await sleepFor(Pause);
    }
  }

  /// Balancers and upstreams start for the first time, all at once or with pauses, at times while
  /// the store or a link has a fault.
  void joinMany() {
    const auto Balancers = common::uniformBelow(Random, 3);
    const auto Hosts = common::uniformBelow(Random, 5);
    const auto Pause = between(0, 0.5);
    const double Draw = common::uniformUnit(Random);
    const auto What = static_cast<std::size_t>(Random() % 4);
    if (FaultKinds == AllFaults && Draw < 0.25)
      spawn(storeFault(static_cast<StoreFault>(1 + What)));
    else if (FaultKinds == AllFaults && Draw < 0.4)
      spawn(lossyLinks());
    spawn(joinEach(Balancers, Hosts, Pause));
  }

  Task joinEach(std::size_t Balancers, std::size_t Hosts, common::Duration Pause) {
    for (std::size_t I = 0; I < std::max(Balancers, Hosts); ++I) {
      if (I < Hosts && Under.joinHost())
        note("join_host", I);
      if (I < Balancers && Under.joinBalancer())
        note("join_balancer", I);
      co_await sleepFor(Pause);
    }
  }

  std::vector<std::size_t> shuffled(std::size_t Count) {
    std::vector<std::size_t> Order(Count);
    for (std::size_t I = 0; I < Count; ++I)
      Order[I] = I;
    for (std::size_t I = Count; I > 1; --I)
      std::swap(Order[I - 1], Order[common::uniformBelow(Random, I)]);
    return Order;
  }

  void disturb() {
    const auto Node = common::uniformBelow(Random, Under.nodes());
    const auto Host = common::uniformBelow(Random, Under.hosts());
    switch (common::uniformBelow(Random, FaultKinds)) {
    case 0:
    case 1:
      note("kill", Node);
      return spawn(Under.kill(Node, between(0.05, 1.5)));
    case 2:
      note("pause", Node);
      return spawn(Under.pause(Node, between(0.1, 3)));
    case 3:
      note("crash_host", Host);
      return spawn(Under.crashHost(Host, between(0.1, 2.5)));
    case 4:
      note("crash_machine", Host);
      spawn(Under.crashHost(Host, between(0.1, 2.5)));
      return spawn(Under.kill(Under.balancers() + Host, between(0.05, 2.5)));
    case 5:
      note("drop_history", 0);
      Under.configure(false);
      return Under.Store->dropHistory();
    case 6:
      note("kill_all", 0);
      for (std::size_t I = 0; I < Under.nodes(); ++I)
        spawn(Under.kill(I, between(0.05, 0.6)));
      return;
    case 7:
      return spawn(
          storeFault(static_cast<StoreFault>(1 + common::uniformBelow(Random, StoreFaults - 1))));
    case 8:
      return spawn(
          linkFault(static_cast<LinkFault>(1 + common::uniformBelow(Random, LinkFaults - 1))));
    case 9:
      return spawn(restoreStore());
    default:
      return spawn(lossyLinks());
    }
  }

  /// The store is away for a moment and comes back from an older copy. The operator writes its
  /// configuration again.
  Task restoreStore() {
    note("restore_store", 0);
    Seen.onStoreFault();
    Under.Store->setFault(common::uniformUnit(Random) < 0.5 ? StoreFault::Refusing
                                                            : StoreFault::Silent);
    co_await sleepFor(between(0.3, 3));
    Under.Store->restore(between(0.5, 9));
    Under.Store->setFault(StoreFault::None);
    Seen.onStoreFault();
    co_await sleepFor(between(0, 1));
    Under.writeAgain();
  }

  Task storeFault(StoreFault What) {
    note("store", static_cast<std::size_t>(What));
    Seen.onStoreFault();
    Under.Store->setFault(What);
    co_await sleepFor(between(0.3, 4));
    Under.Store->setFault(StoreFault::None);
    Seen.onStoreFault();
  }

  Task linkFault(LinkFault What) {
    note("store_link", static_cast<std::size_t>(What));
    Seen.onStoreFault();
    Under.Link->setFault(What);
    co_await sleepFor(between(0.3, 4));
    Under.Link->setFault(LinkFault::None);
    Seen.onStoreFault();
  }

  Task lossyLinks() {
    note("lossy_links", 0);
    Seen.onUnplannedFault();
    Under.Links.disturb(0.05, between(0, 0.03));
    co_await sleepFor(between(0.3, 3));
    Under.Links.disturb(0, {});
    Seen.onUnplannedFault();
  }

  /// Traffic goes on until enough of it is served.
  Task recover() {
    const auto Begin = Clock::now();
    const common::Duration Patience =
        Chosen.CheckTimes ? common::Duration(RecoveryBound) : common::Duration(RecoveryPatience);
    while (true) {
      const auto Before = Seen.Counts;
      co_await sleepFor(RecoveryWindow);
      const auto Asked = Seen.Counts.Asked - Before.Asked;
      const auto Served = Seen.Counts.Served - Before.Served;
      if (Asked > 0 && static_cast<double>(Served) >= RecoveredShare * static_cast<double>(Asked)) {
        note("recovered", Served);
        co_return;
      }
      if (Clock::now() - Begin > Patience) {
        Seen.violation("recovery", std::to_string(Served) + " of " + std::to_string(Asked) +
                                       " requests are served");
        co_return;
      }
    }
  }

  /// Waits until no record and no configuration is missing.
  Task awaitState() {
    const auto Begin = Clock::now();
    while (true) {
      const std::string Missing = co_await Under.missingState();
      if (Missing.empty())
        co_return;
      if (Clock::now() - Begin > RecoveryPatience)
        co_return Seen.violation("records and configuration", Missing);
      co_await sleepFor(StateCheckInterval);
    }
  }

  void note(const char *Action, std::size_t Which) {
    common::log(common::LogLevel::Info, "soak_action", {{"action", Action}, {"which", Which}});
  }

  boost::asio::io_context &Io;
  Fleet &Under;
  Ledger &Seen;
  SoakOptions Chosen;
  common::Engine Random;
  /// Half of the runs have faults of single machines only, so that most machines stay in touch.
  std::size_t FaultKinds;
};

int runSoak(const cxxopts::ParseResult &Given) {
  const auto Seed = Given["seed"].as<std::uint64_t>();
  FleetOptions Options;
  Options.Programs = Given["programs"].as<std::string>();
  Options.Work = Given["work"].as<std::string>();
  Options.Balancers = Given["balancers"].as<std::size_t>();
  Options.Hosts = Given["hosts"].as<std::size_t>();
  // Half as many again, three at least, start during the run.
  Options.LateBalancers = std::max(Late, Options.Balancers / 2);
  Options.LateHosts = std::max(Late, Options.Hosts / 2);
  Options.Balancers += Options.LateBalancers;
  Options.Hosts += Options.LateHosts;
  Options.Seed = Seed;
  Options.TwoZones = Seed % SeedsPerEvacuation == 0;
  std::filesystem::create_directories(Options.Work);
  boost::asio::io_context Io(1);
  Ledger Seen(Given["check-times"].as<bool>());
  Fleet Under(Io, Options, Seen);
  Soak Run(Io, Under, Seen,
           {Given["seconds"].as<double>(), Given["rate"].as<double>(),
            Given["check-times"].as<bool>(), Options.TwoZones},
           Seed);
  Run.start();
  Io.run();
  common::log(common::LogLevel::Info, "soak_ended",
              {{"seed", Seed},
               {"asked", Seen.Counts.Asked},
               {"served", Seen.Counts.Served},
               {"refused", Seen.Counts.Refused},
               {"failed", Seen.Counts.Failed},
               {"pending", Under.Users->pending()},
               {"excused_flows", Seen.Counts.ExcusedFlows},
               {"violations", Seen.violations()}});
  return Seen.violations() == 0 ? 0 : 1;
}

} // namespace

} // namespace galenarelay::soak

int main(int ArgumentCount, char **Arguments) {
  using namespace galenarelay;
  common::configureLog("galenarelay-soak");
  cxxopts::Options Options("galenarelay-soak", "Plays faults against the programs of relayed flows "
                                               "and checks what callers and upstreams see.");
  // clang-format off
  Options.add_options()
      ("seed", "draws load, planned work and faults", cxxopts::value<std::uint64_t>()->default_value("1"))
      ("seconds", "time with planned work and faults", cxxopts::value<double>()->default_value("20"))
      ("rate", "requests per second", cxxopts::value<double>()->default_value("60"))
      ("balancers", "balancers; half as many again start later", cxxopts::value<std::size_t>()->default_value("3"))
      ("hosts", "upstreams, each with its agent; half as many again start later", cxxopts::value<std::size_t>()->default_value("6"))
      ("programs", "folder with the programs", cxxopts::value<std::string>()->default_value("build"))
      ("work", "folder for settings and logs", cxxopts::value<std::string>()->default_value("/tmp/galenarelay-soak"))
      ("check-times", "check promises with a time bound as well")
      ("help", "this text");
  // clang-format on
  try {
    const auto Given = Options.parse(ArgumentCount, Arguments);
    if (Given.count("help") > 0) {
      std::cout << Options.help();
      return 0;
    }
    return soak::runSoak(Given);
  } catch (const std::exception &Problem) {
    std::cerr << "galenarelay-soak: " << Problem.what() << '\n';
    return 2;
  }
}
