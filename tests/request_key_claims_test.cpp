#include "galenarelay/common/random.h"
#include "galenarelay/request/key_claims.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace galenarelay::tests {

using namespace request;
using common::Duration;
using common::Endpoint;
using common::TimePoint;
using membership::Member;
using membership::MemberState;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Endpoint ServiceAddress{0x0a010001, 80};

/// Agents of one service that exchange claim messages over a simulated network with seeded loss,
/// duplication and delay.
class ClaimGroup {
public:
  ClaimGroup(std::size_t Size, double Loss, std::uint64_t Seed) : Loss(Loss), Random(Seed) {
    for (std::size_t I = 0; I < Size; ++I)
      add(I);
    changeView();
  }

  void add(std::size_t I) {
    Member Record;
    Record.Id = "agent-" + std::to_string(I);
    Record.State = MemberState::Active;
    Record.Incarnation = 1;
    Record.Control = {0x7f000001, static_cast<std::uint16_t>(1000 + I)};
    Members.push_back(Record);
    Agents.push_back(std::make_unique<KeyClaims>(Record.Id, 1));
  }

  void kill(std::size_t I) {
    Members[I].State = MemberState::Dead;
    Agents[I].reset();
  }

  void restart(std::size_t I) {
    ++Members[I].Incarnation;
    Agents[I] = std::make_unique<KeyClaims>(Members[I].Id, Members[I].Incarnation);
    changeView();
  }

  void changeView() {
    config::Configuration Document;
    Document.RevisionNumber = 1;
    Document.Services["shop"] = {ServiceAddress, "id", seconds(10)};
    const auto Next = View ? std::make_shared<routing::RoutingView>(*View, Document, Members)
                           : std::make_shared<routing::RoutingView>(Document, Members);
    View = Next;
    for (std::size_t I = 0; I < Agents.size(); ++I)
      if (Agents[I])
        apply(I, Agents[I]->onViewChange(View, Now));
  }

  void claim(std::size_t I, std::uint64_t Request, const std::string &Key) {
    apply(I, Agents[I]->claim(Request, {"shop", Key}, 7, Now));
  }

  void apply(std::size_t From, const std::vector<ClaimAction> &Actions) {
    for (const ClaimAction &Action : Actions) {
      if (const auto *Sent = std::get_if<flow::SendControl>(&Action))
        post(From, *Sent);
      else if (const auto *Granted = std::get_if<ClaimGranted>(&Action))
        Results[Granted->Request] = "granted";
      else if (const auto *Denied = std::get_if<ClaimDenied>(&Action))
        Results[Denied->Request] = "denied:" + Denied->Holder.Body;
      else if (const auto *Failed = std::get_if<ClaimFailed>(&Action))
        Results[Failed->Request] = "failed";
    }
  }

  void run(Duration Span) {
    const TimePoint End = Now + Span;
    while (Now < End) {
      Now += milliseconds(1);
      auto Due = Network.equal_range(Now);
      std::vector<Datagram> Arrived;
      for (auto Item = Due.first; Item != Due.second; ++Item)
        Arrived.push_back(Item->second);
      Network.erase(Now);
      for (const Datagram &Item : Arrived)
        if (Agents[Item.To])
          apply(Item.To, Agents[Item.To]->onControl(Item.Message, Members[Item.From].Control, Now));
      for (std::size_t I = 0; I < Agents.size(); ++I)
        if (Agents[I] && Agents[I]->nextTimer() && *Agents[I]->nextTimer() <= Now)
          apply(I, Agents[I]->onTimer(Now));
    }
  }

  KeyClaims &agent(std::size_t I) { return *Agents[I]; }
  [[nodiscard]] TimePoint now() const { return Now; }

  std::map<std::uint64_t, std::string> Results;
  std::size_t Sent = 0;

private:
  struct Datagram {
    std::size_t From;
    std::size_t To;
    nlohmann::json Message;
  };

  void post(std::size_t From, const flow::SendControl &Message) {
    ++Sent;
    CPPUNIT_ASSERT(nlohmann::json::to_cbor(Message.Message).size() <= 1200);
    if (common::uniformUnit(Random) < Loss)
      return;
    const std::size_t Copies = common::uniformUnit(Random) < Loss ? 2 : 1;
    for (std::size_t I = 0; I < Copies; ++I)
      Network.emplace(Now + milliseconds(1 + common::uniformBelow(Random, 20)),
                      Datagram{From, Message.Control.Port - 1000U, Message.Message});
  }

  double Loss;
  common::Engine Random;
  TimePoint Now{};
  std::vector<Member> Members;
  std::vector<std::unique_ptr<KeyClaims>> Agents;
  std::shared_ptr<const routing::RoutingView> View;
  std::multimap<TimePoint, Datagram> Network;
};

} // namespace

class KeyClaimsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(KeyClaimsTest);
  CPPUNIT_TEST(testClaim_singleAgent_isGrantedAtOnce);
  CPPUNIT_TEST(testClaim_answeredElsewhere_returnsKeptAnswer);
  CPPUNIT_TEST(testClaim_releasedRequest_freesTheKey);
  CPPUNIT_TEST(testClaim_claimantDied_isDeniedNotRun);
  CPPUNIT_TEST(testClaim_concurrentResends_grantAtMostOne);
  CPPUNIT_TEST(testClaim_twoReplicasReplaced_isStillKnown);
  CPPUNIT_TEST(testClaim_restartedClaimant_isDenied);
  CPPUNIT_TEST(testSettle_retentionOver_leavesNothingBehind);
  CPPUNIT_TEST(testView_unrelatedChange_sendsNothing);
  CPPUNIT_TEST(testControl_malformedMessage_hasNoEffect);
  CPPUNIT_TEST(testHandover_oddClaim_keepsOthers);
  CPPUNIT_TEST_SUITE_END();

public:
  void testClaim_singleAgent_isGrantedAtOnce() {
    ClaimGroup Group(1, 0, 1);
    Group.claim(0, 1, "k");
    CPPUNIT_ASSERT_EQUAL(std::string("granted"), Group.Results[1]);
  }

  // Guards against running a request twice when a resend reaches another agent than the first
  // request did.
  void testClaim_answeredElsewhere_returnsKeptAnswer() {
    ClaimGroup Group(7, 0.2, 2);
    Group.claim(0, 1, "k");
    Group.run(seconds(2));
    CPPUNIT_ASSERT_EQUAL(std::string("granted"), Group.Results[1]);
    Group.apply(0, Group.agent(0).settle(1, ClaimState::Answered, 201, "application/json",
                                         "{\"order\":1}", Group.now()));
    Group.run(seconds(2));
    for (std::size_t I = 0; I < 7; ++I) {
      Group.claim(I, 100 + I, "k");
      Group.run(seconds(3));
      CPPUNIT_ASSERT_EQUAL(std::string("denied:{\"order\":1}"), Group.Results[100 + I]);
    }
  }

  // Guards against a key that stays claimed after the caller was told that the request was not run.
  void testClaim_releasedRequest_freesTheKey() {
    ClaimGroup Group(5, 0.2, 3);
    Group.claim(0, 1, "k");
    Group.run(seconds(2));
    Group.apply(0, Group.agent(0).release(1, Group.now()));
    Group.run(seconds(5));
    Group.claim(3, 2, "k");
    Group.run(seconds(2));
    CPPUNIT_ASSERT_EQUAL(std::string("granted"), Group.Results[2]);
  }

  // Guards against running a request again after its claimant died before it reported the outcome.
  void testClaim_claimantDied_isDeniedNotRun() {
    ClaimGroup Group(5, 0, 4);
    Group.claim(0, 1, "k");
    Group.run(seconds(1));
    Group.kill(0);
    Group.changeView();
    Group.run(seconds(1));
    Group.claim(2, 2, "k");
    Group.run(seconds(3));
    CPPUNIT_ASSERT_EQUAL(std::string("denied:"), Group.Results[2]);
  }

  // Guards against granting one key twice when resends to several agents race on a lossy network.
  void testClaim_concurrentResends_grantAtMostOne() {
    for (std::uint64_t Seed = 1; Seed <= 40; ++Seed) {
      ClaimGroup Group(7, 0.3, Seed);
      for (std::size_t I = 0; I < 7; ++I) {
        Group.claim(I, 1 + I, "k");
        Group.run(milliseconds(7));
      }
      Group.run(seconds(4));
      std::size_t Granted = 0;
      for (const auto &Result : Group.Results)
        Granted += Result.second == "granted" ? 1 : 0;
      CPPUNIT_ASSERT(Granted <= 1);
      CPPUNIT_ASSERT_EQUAL(std::size_t{7}, Group.Results.size());
    }
  }

  // Guards against losing a claim when two agents at a time die and are replaced by new ones,
  // twice.
  void testClaim_twoReplicasReplaced_isStillKnown() {
    for (std::uint64_t Seed = 1; Seed <= 10; ++Seed) {
      ClaimGroup Group(6, 0.1, Seed);
      Group.claim(0, 1, "k");
      Group.run(seconds(2));
      Group.apply(0, Group.agent(0).settle(1, ClaimState::Answered, 200, "", "done", Group.now()));
      Group.run(seconds(2));
      for (std::size_t Victim = 0; Victim < 4; Victim += 2) {
        Group.kill(Victim);
        Group.kill(Victim + 1);
        Group.changeView();
        Group.run(seconds(2));
        Group.add(6 + Victim);
        Group.add(7 + Victim);
        Group.changeView();
        Group.run(seconds(2));
      }
      Group.claim(5, 2, "k");
      Group.run(seconds(3));
      CPPUNIT_ASSERT_EQUAL(std::string("denied:done"), Group.Results[2]);
    }
  }

  // Guards against granting a restarted agent a key of its former process: request IDs begin again
  // at each start.
  void testClaim_restartedClaimant_isDenied() {
    ClaimGroup Group(5, 0, 6);
    Group.claim(0, 1, "k");
    Group.run(seconds(1));
    Group.restart(0);
    Group.Results.clear();
    Group.claim(0, 1, "k");
    Group.run(seconds(3));
    CPPUNIT_ASSERT_EQUAL(std::string("denied:"), Group.Results[1]);
  }

  // Guards against leaving the 24-hour expiry entry of a running claim (ClaimRunningLimit) in place
  // when the claim ends: at 20 claims per second these entries alone would exceed a node's memory.
  void testSettle_retentionOver_leavesNothingBehind() {
    ClaimGroup Group(1, 0, 7);
    Group.claim(0, 1, "k");
    Group.apply(0, Group.agent(0).settle(1, ClaimState::Answered, 200, "", "done", Group.now()));
    CPPUNIT_ASSERT(Group.agent(0).nextTimer() == Group.now() + ClaimRetention);
    static_cast<void>(Group.agent(0).onTimer(Group.now() + ClaimRetention));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Group.agent(0).storedCount());
    CPPUNIT_ASSERT(!Group.agent(0).nextTimer());
  }

  // Guards against handing over every claim at each membership change, also one that does not
  // concern the service of the claim.
  void testView_unrelatedChange_sendsNothing() {
    ClaimGroup Group(5, 0, 5);
    Group.claim(0, 1, "k");
    Group.run(seconds(1));
    const std::size_t Before = Group.Sent;
    Group.changeView();
    Group.run(seconds(2));
    CPPUNIT_ASSERT_EQUAL(Before, Group.Sent);
  }

  void testControl_malformedMessage_hasNoEffect() {
    ClaimGroup Group(3, 0, 6);
    const char *Rows[] = {R"({"t":"claim"})", R"({"t":"claimed","r":"x","ok":true})",
                          R"({"t":"settle","s":1})", R"({"t":"claims","e":[{}]})", R"({"t":7})"};
    for (const char *Row : Rows)
      CPPUNIT_ASSERT_THROW(
          (void)Group.agent(0).onControl(nlohmann::json::parse(Row), {}, Group.now()),
          nlohmann::json::exception);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Group.agent(0).storedCount());
  }

  // Guards against a claim that is lost, so that its request runs twice, because of another one in
  // the same handover.
  void testHandover_oddClaim_keepsOthers() {
    ClaimGroup Group(3, 0, 6);
    const auto Row = [](const char *Key, const nlohmann::json &Fingerprint) {
      return nlohmann::json{
          {"s", "desk"}, {"k", Key}, {"c", "agent-1#1#1"}, {"f", Fingerprint}, {"st", "running"}};
    };
    const nlohmann::json Message{{"t", "claims"},
                                 {"e", {Row("odd", true), Row("odd", -1), Row("k", 7)}}};
    CPPUNIT_ASSERT_THROW((void)Group.agent(0).onControl(Message, {}, Group.now()),
                         nlohmann::json::exception);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Group.agent(0).storedCount());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(KeyClaimsTest);

} // namespace galenarelay::tests
