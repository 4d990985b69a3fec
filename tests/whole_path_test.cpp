#include "tests/whole_path.h"

#include <cppunit/extensions/HelperMacros.h>

namespace galenarelay::tests {

using std::chrono::seconds;

class WholePathTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WholePathTest);
  CPPUNIT_TEST(testRelabel_keepAliveFlows_runNothingOnTheOldUpstream);
  CPPUNIT_TEST(testStop_idleFlows_moveAndAgentLeaves);
  CPPUNIT_TEST(testStop_targetDiesDuringMove_runsAtMostOnce);
  CPPUNIT_TEST(testOrders_faultyNetworkAndKills_runAtMostOnce);
  CPPUNIT_TEST_SUITE_END();

  static std::string name(const std::string &Prefix, std::size_t I) {
    return Prefix + std::to_string(I);
  }

  /// Starts a service with these upstreams and balancers; returns its address once all upstreams
  /// are candidates for it.
  static common::Endpoint startDesk(WholePath &Path, const std::vector<std::string> &Upstreams,
                                    const std::vector<std::string> &Balancers) {
    const auto Desk = Path.addService("desk", "app=desk");
    for (const auto &Id : Upstreams)
      Path.addUpstream(Id, "desk");
    for (const auto &Id : Balancers)
      Path.addBalancer(Id);
    Path.publish();
    Path.awaitInForce();
    Path.sprayOver(Balancers);
    Path.runUntil("all upstreams are candidates",
                  [&] { return Path.candidates(Balancers.front(), Desk) == Upstreams.size(); });
    return Desk;
  }

  /// Callers of which each has had one answer on its flow.
  static std::vector<std::unique_ptr<KeepAliveCaller>>
  openCallers(WholePath &Path, common::Endpoint Service, std::size_t Count) {
    std::vector<std::unique_ptr<KeepAliveCaller>> Callers;
    for (std::size_t I = 0; I < Count; ++I) {
      Callers.push_back(std::make_unique<KeepAliveCaller>(Path, Service));
      CPPUNIT_ASSERT_EQUAL(200U, Callers[I]->request("GET", "/status", name("before-", I)).Status);
    }
    return Callers;
  }

public:
  // Guards against requests of the old service that run on a relabelled upstream because they come
  // on flows that were opened before, and against breaking such flows or a running feed.
  void testRelabel_keepAliveFlows_runNothingOnTheOldUpstream() {
    WholePath Path;
    const auto Desk = Path.addService("desk", "app=desk");
    Path.addService("intake", "app=intake");
    for (const char *Id : {"a", "b"})
      Path.addUpstream(Id, "desk");
    Path.addUpstream("w", "intake");
    Path.addBalancer("b1");
    Path.publish();
    Path.awaitInForce();
    Path.sprayOver({"b1"});
    Path.runUntil("two candidates", [&] { return Path.candidates("b1", Desk) == 2; });

    const auto Callers = openCallers(Path, Desk, 12);
    std::vector<std::shared_ptr<Reply>> Feeds;
    std::vector<std::unique_ptr<KeepAliveCaller>> Readers;
    for (std::size_t I = 0; I < 4; ++I) {
      Readers.push_back(std::make_unique<KeepAliveCaller>(Path, Desk));
      Feeds.push_back(Readers[I]->start("GET", "/feed?lines=40&interval_ms=25", name("feed-", I)));
    }
    Path.runUntil("feeds run", [&] {
      return Path.runs("feed-0") + Path.runs("feed-1") + Path.runs("feed-2") +
                 Path.runs("feed-3") ==
             4;
    });
    const std::size_t Before = Path.upstream("a").runs().runs().size();
    CPPUNIT_ASSERT_MESSAGE("upstream a serves some of the flows", Before > 0);

    Path.Configuration.UpstreamLabels["a"]["app"] = "intake";
    Path.publish();
    Path.awaitInForce();
    for (std::size_t Round = 0; Round < 2; ++Round)
      for (std::size_t I = 0; I < Callers.size(); ++I) {
        const Reply Told = Callers[I]->request("GET", "/status", name("after-", I));
        CPPUNIT_ASSERT(!Told.Broken);
        CPPUNIT_ASSERT_EQUAL(200U, Told.Status);
      }
    CPPUNIT_ASSERT_EQUAL(Before, Path.upstream("a").runs().runs().size());
    for (const auto &Feed : Feeds) {
      Path.runUntil("feeds end", [&] { return Feed->Ended; });
      CPPUNIT_ASSERT(!Feed->Broken);
      CPPUNIT_ASSERT(Feed->Body.find("line 40\n") != std::string::npos);
    }
  }

  // Guards against a planned stop that waits for idle callers, or that closes their connections
  // while a request is on its way.
  void testStop_idleFlows_moveAndAgentLeaves() {
    WholePath Path;
    const auto Desk = startDesk(Path, {"a", "b", "c"}, {"b1", "b2"});
    const auto Callers = openCallers(Path, Desk, 20);
    for (const char *Id : {"a", "b"}) {
      Path.stopAgent(Id);
      while (!Path.process(Id).Left) {
        for (std::size_t I = 0; I < Callers.size(); ++I) {
          const Reply Told = Callers[I]->request("POST", "/orders", "order");
          CPPUNIT_ASSERT(!Told.Broken);
          CPPUNIT_ASSERT_EQUAL(200U, Told.Status);
        }
      }
      const std::size_t After = Path.upstream(Id).runs().runs().size();
      for (std::size_t I = 0; I < Callers.size(); ++I)
        CPPUNIT_ASSERT_EQUAL(200U, Callers[I]->request("GET", "/status", "after").Status);
      CPPUNIT_ASSERT_EQUAL(After, Path.upstream(Id).runs().runs().size());
    }
  }

  // Guards against a request that runs at both agents of a move whose target was paused after it
  // had taken the flow, was declared dead and came back.
  void testStop_targetDiesDuringMove_runsAtMostOnce() {
    WholePath Path;
    const auto Desk = startDesk(Path, {"a", "b"}, {"b1"});
    // More flows than moves that may begin at once: the later ones carry an order that waits.
    const auto Callers = openCallers(Path, Desk, 100);
    Path.stopAgent("a");
    Path.process("b").Runs = false;
    std::vector<std::shared_ptr<Reply>> Replies;
    for (std::size_t I = 0; I < Callers.size(); ++I)
      Replies.push_back(Callers[I]->start("POST", "/orders", name("order-", I)));
    Path.runUntil("agent b is declared dead", [&] { return Path.candidates("b1", Desk) == 0; });
    Path.process("b").Runs = true;
    Path.runUntil("agent b is back", [&] { return Path.candidates("b1", Desk) == 1; });
    for (std::size_t I = 0; I < Callers.size(); ++I) {
      Path.runUntil("a reply or a reset", [&] { return Replies[I]->Ended; });
      const std::size_t Runs = Path.runs(name("order-", I));
      CPPUNIT_ASSERT(Runs <= 1);
      if (!Replies[I]->Broken && Replies[I]->Status == 200)
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Runs);
    }
  }

  // Guards against doubled, lost or wrongly reported orders while packets are lost, repeated and
  // reordered, a balancer and an agent die, the store is out, and callers resend what is unknown.
  void testOrders_faultyNetworkAndKills_runAtMostOnce() {
    WholePath Path;
    const auto Desk = startDesk(Path, {"a", "b", "c", "d"}, {"b1", "b2"});
    Path.Fabric->setFaults({0.03, 0.03, 0.2, {}});

    struct Order {
      std::string Key;
      std::size_t Sends = 0;
      std::shared_ptr<Reply> Last;
      std::unique_ptr<KeepAliveCaller> Caller;
      bool Done = false;
    };
    std::vector<Order> Orders(60);
    const auto Send = [&](Order &Sent) {
      Sent.Caller = std::make_unique<KeepAliveCaller>(Path, Desk);
      Sent.Last = Sent.Caller->start("POST", "/orders?work_ms=50", Sent.Key, Sent.Key);
      ++Sent.Sends;
    };
    const auto Progress = [&] {
      bool All = true;
      for (Order &Each : Orders) {
        if (!Each.Done && Each.Last && Each.Last->Ended) {
          const bool Unknown = Each.Last->Broken || Each.Last->Status == 502 ||
                               Each.Last->Status == 504 || Each.Last->Status == 409;
          const bool NotRun = !Each.Last->Broken && Each.Last->Status == 503;
          if (NotRun)
            CPPUNIT_ASSERT_EQUAL_MESSAGE(Each.Key, std::size_t{0},
                                         Each.Sends == 1 ? Path.runs(Each.Key) : std::size_t{0});
          // A careful caller resends under its key until it knows, at most five times.
          if ((Unknown || NotRun) && Each.Sends < 5)
            Send(Each);
          else
            Each.Done = true;
        }
        All = All && Each.Done;
      }
      return All;
    };
    for (std::size_t I = 0; I < Orders.size(); ++I) {
      Orders[I].Key = name("order-", I);
      Send(Orders[I]);
    }
    Path.runUntil("some orders have run", [&] {
      (void)Progress();
      return Path.upstream("a").runs().runs().size() > 1;
    });
    Path.process("b1").Runs = false; // Killed.
    Path.sprayOver({"b2"});
    Path.process("a").Runs = false; // Killed, with the orders that it runs.
    Path.call(
        Path.Store.local(), "POST", "/v1/faults", R"({"outage":true})",
        [](const common::HttpResponse &Answer) { CPPUNIT_ASSERT_EQUAL(200U, Answer.Status); });
    Path.runUntil("all orders have ended", Progress);
    std::size_t Ran = 0;
    for (const Order &Each : Orders) {
      const std::size_t Runs = Path.runs(Each.Key);
      CPPUNIT_ASSERT_MESSAGE(Each.Key + " ran more than once", Runs <= 1);
      if (Each.Last->Status == 200)
        CPPUNIT_ASSERT_EQUAL_MESSAGE(Each.Key, std::size_t{1}, Runs);
      Ran += Runs;
    }
    CPPUNIT_ASSERT(Ran > Orders.size() / 2);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WholePathTest);

} // namespace galenarelay::tests
