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
/// After the last fault a quarter of the requests is served within this time.
constexpr auto RecoveryBound = std::chrono::seconds(12);
constexpr double RecoveredShare = 0.25;
/// Without a check of times, recovery is awaited for this long.
constexpr auto RecoveryPatience = std::chrono::seconds(60);
constexpr auto RecoveryWindow = std::chrono::seconds(2);

struct SoakOptions {
  double Seconds = 20;
  double Rate = 60;
  bool CheckTimes = false;
};

/// Load, planned work and faults of one run, all drawn from one seed.
class Soak {
public:
  Soak(boost::asio::io_context &Io, Fleet &Under, Ledger &Seen, SoakOptions Chosen,
       std::uint64_t Seed)
      : Io(Io), Under(Under), Seen(Seen), Chosen(Chosen), Random(Seed) {}

  void start() {
    spawn(tick());
    spawn(load());
    spawn(play());
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
    Io.stop();
  }

  void plan() {
    const auto Node = common::uniformBelow(Random, Under.nodes());
    const auto Host = common::uniformBelow(Random, Under.hosts());
    switch (common::uniformBelow(Random, 4)) {
    case 0:
      note("restart", Node);
      return spawn(Under.restart(Node));
    case 1:
      note("reload", Node);
      return Under.reload(Node);
    case 2:
      note("replace_host", Host);
      return spawn(Under.replaceHost(Host));
    default:
      note("configure", 0);
      return Under.configure(common::uniformUnit(Random) < 0.5);
    }
  }

  void disturb() {
    const auto Node = common::uniformBelow(Random, Under.nodes());
    const auto Host = common::uniformBelow(Random, Under.hosts());
    switch (common::uniformBelow(Random, 9)) {
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
      note("kill_all", 0);
      for (std::size_t I = 0; I < Under.nodes(); ++I)
        spawn(Under.kill(I, between(0.05, 0.6)));
      return;
    case 5:
      return spawn(
          storeFault(static_cast<StoreFault>(1 + common::uniformBelow(Random, StoreFaults - 1))));
    case 6:
      note("drop_history", 0);
      Seen.onUnplannedFault();
      Under.configure(false);
      return Under.Store->dropHistory();
    case 7:
      return spawn(
          linkFault(static_cast<LinkFault>(1 + common::uniformBelow(Random, LinkFaults - 1))));
    default:
      return spawn(lossyLinks());
    }
  }

  Task storeFault(StoreFault What) {
    note("store", static_cast<std::size_t>(What));
    Seen.onUnplannedFault();
    Under.Store->setFault(What);
    co_await sleepFor(between(0.3, 4));
    Under.Store->setFault(StoreFault::None);
    Seen.onUnplannedFault();
  }

  Task linkFault(LinkFault What) {
    note("store_link", static_cast<std::size_t>(What));
    Seen.onUnplannedFault();
    Under.Link->setFault(What);
    co_await sleepFor(between(0.3, 4));
    Under.Link->setFault(LinkFault::None);
    Seen.onUnplannedFault();
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

  void note(const char *Action, std::size_t Which) {
    common::log(common::LogLevel::Info, "soak_action", {{"action", Action}, {"which", Which}});
  }

  boost::asio::io_context &Io;
  Fleet &Under;
  Ledger &Seen;
  SoakOptions Chosen;
  common::Engine Random;
};

int runSoak(const cxxopts::ParseResult &Given) {
  const auto Seed = Given["seed"].as<std::uint64_t>();
  FleetOptions Options;
  Options.Programs = Given["programs"].as<std::string>();
  Options.Work = Given["work"].as<std::string>();
  Options.Balancers = Given["balancers"].as<std::size_t>();
  Options.Hosts = Given["hosts"].as<std::size_t>();
  Options.Seed = Seed;
  std::filesystem::create_directories(Options.Work);
  boost::asio::io_context Io(1);
  Ledger Seen(Given["check-times"].as<bool>());
  Fleet Under(Io, Options, Seen);
  Soak Run(
      Io, Under, Seen,
      {Given["seconds"].as<double>(), Given["rate"].as<double>(), Given["check-times"].as<bool>()},
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
      ("balancers", "balancers", cxxopts::value<std::size_t>()->default_value("3"))
      ("hosts", "upstreams, each with its agent", cxxopts::value<std::size_t>()->default_value("6"))
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
