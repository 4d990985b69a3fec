#include "config_fixture.h"
#include "galenarelay/common/random.h"
#include "galenarelay/config/edit_loop.h"

#include <cppunit/extensions/HelperMacros.h>

#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <thread>

namespace galenarelay::tests {

using namespace config;
using common::ResultCode;
using common::uniformBelow;
using standins::store::Store;

namespace {

/// Lets one of several threads run at a time; the seeded engine picks the next one at each yield.
class TurnScheduler {
public:
  TurnScheduler(std::size_t Count, std::uint64_t Seed) : Random(Seed) {
    for (std::size_t I = 0; I < Count; ++I)
      Alive.push_back(I);
    pick();
  }

  void await(std::size_t Id) {
    std::unique_lock Lock(Guard);
    Changed.wait(Lock, [&] { return Current == Id; });
  }

  void yield(std::size_t Id) {
    std::unique_lock Lock(Guard);
    pick();
    Changed.wait(Lock, [&] { return Current == Id; });
  }

  void leave(std::size_t Id) {
    const std::scoped_lock Lock(Guard);
    std::erase(Alive, Id);
    pick();
  }

private:
  void pick() {
    if (!Alive.empty())
      Current = Alive[uniformBelow(Random, Alive.size())];
    Changed.notify_all();
  }

  std::mutex Guard;
  std::condition_variable Changed;
  common::Engine Random;
  std::vector<std::size_t> Alive;
  std::size_t Current = 0;
};

/// A store whose network loses requests and answers, delivers writes late, and has outages.
struct FaultyNetwork {
  Store Target{{}};
  common::TimePoint Now{};
  common::Engine Random;
  bool Healthy = false;
  std::uint64_t Calls = 0;
  std::deque<common::HttpRequest> DelayedWrites;
  std::map<std::string, int> Faults;

  explicit FaultyNetwork(std::uint64_t Seed) : Random(Seed) {}

  common::Outcome<common::HttpResponse> call(const common::HttpRequest &Request) {
    Now += std::chrono::milliseconds(1);
    // An outage of 40 calls in every 400.
    constexpr std::uint64_t Period = 400;
    constexpr std::uint64_t Length = 40;
    standins::store::Faults Active;
    Active.Outage = !Healthy && ++Calls % Period >= Period - Length;
    Target.setFaults(Active);
    if (!DelayedWrites.empty() && (Healthy || uniformBelow(Random, 4) == 0))
      deliverDelayedWrite();
    const std::uint64_t Chance = Healthy ? 100 : uniformBelow(Random, 100);
    const bool Write = Request.Method == "PUT";
    if (Chance < 5)
      return lose("request");
    if (Write && Chance < 12) {
      DelayedWrites.push_back(Request);
      return lose("late write");
    }
    common::HttpResponse Answer = Target.handle(Request, Now);
    if (Chance < 22)
      return lose(Write && Answer.Status == 200 ? "answer of a write" : "answer");
    return {std::move(Answer), {}};
  }

  void deliverDelayedWrite() {
    static_cast<void>(Target.handle(DelayedWrites.front(), Now));
    DelayedWrites.pop_front();
  }

  common::Outcome<common::HttpResponse> lose(const char *What) {
    ++Faults[What];
    return {std::nullopt, {ResultCode::RequestOutcomeUnknown, What}};
  }
};

/// One operator's transport. Before each call, another operator may be scheduled to run.
struct OperatorTransport {
  FaultyNetwork *Network;
  TurnScheduler *Turns;
  std::size_t Id;

  common::Outcome<common::HttpResponse> call(const std::string &Method, const std::string &Target,
                                             const std::string &Body) {
    if (Turns != nullptr)
      Turns->yield(Id);
    return Network->call(toRequest(Method, Target, Body));
  }

  void pause(std::uint32_t) { Network->Now += std::chrono::milliseconds(20); }
};

/// Delays the first write of the document, deletes an upstream's member record meanwhile, and
/// delivers the write at pause number DeliverAt (0: only when deliver is called).
struct HeldWriteTransport {
  DirectTransport Direct;
  std::uint32_t DeliverAt;
  bool CutOff; ///< No call gets through after the write.
  std::optional<std::string> HeldTarget{};
  std::string HeldBody{};

  common::Outcome<common::HttpResponse> call(const std::string &Method, const std::string &Target,
                                             const std::string &Body) {
    if (HeldTarget && CutOff)
      return {std::nullopt, {ResultCode::PeerUnreachable, "cut off"}};
    if (Method != "PUT" || HeldTarget)
      return Direct.call(Method, Target, Body);
    HeldTarget = Target;
    HeldBody = Body;
    static_cast<void>(Direct.call("DELETE", "/v1/kv/members/u3?version=3", ""));
    return {std::nullopt, {ResultCode::RequestOutcomeUnknown, "the write is late"}};
  }

  void pause(std::uint32_t Attempt) {
    if (Attempt == DeliverAt)
      deliver();
  }

  void deliver() { static_cast<void>(Direct.call("PUT", *HeldTarget, HeldBody)); }
};

/// Refers to a transport that the test owns.
struct SharedTransport {
  HeldWriteTransport *Shared;

  common::Outcome<common::HttpResponse> call(const std::string &Method, const std::string &Target,
                                             const std::string &Body) {
    return Shared->call(Method, Target, Body);
  }
  void pause(std::uint32_t Attempt) { Shared->pause(Attempt); }
};

/// Restores the store before the first write of the document, and gives its version out again with
/// the edit of another operator.
struct RestoringTransport {
  DirectTransport Direct;
  std::uint64_t RestoredVersion;
  Edit OtherEdit;
  bool *Restored;

  common::Outcome<common::HttpResponse> call(const std::string &Method, const std::string &Target,
                                             const std::string &Body) {
    if (Method == "PUT" && !std::exchange(*Restored, true)) {
      Direct.Target->restore(RestoredVersion);
      StoreClient Other(Direct);
      CPPUNIT_ASSERT(submitEdit(Other, OtherEdit).Result.Code == ResultCode::Ok);
    }
    return Direct.call(Method, Target, Body);
  }
  void pause(std::uint32_t Attempt) { Direct.pause(Attempt); }
};

struct SubmittedEdit {
  Edit RequestedEdit;
  EditReport Report;
};

EditAction randomAction(common::Engine &Random) {
  static const std::vector<std::string> Names{"desk", "warranty", "shop"};
  const std::string &Name = Names[uniformBelow(Random, Names.size())];
  const std::string &Role = Names[uniformBelow(Random, Names.size())];
  const std::string Upstream = "u" + std::to_string(1 + uniformBelow(Random, 6));
  const std::string Tier = "t" + std::to_string(uniformBelow(Random, 9));
  switch (uniformBelow(Random, 8)) {
  case 0:
    return CreateService{Name, {{0x0a010007, 80}, "role=" + Name, std::chrono::seconds(1)}};
  case 1:
    return DeleteService{Name};
  case 2:
    return SetLabels{Upstream, {{"role", Role}}};
  case 3:
    return RemoveLabels{Upstream, {"tier"}};
  case 4:
    return SetSelector{Name, "role=" + Role + ",tier!=" + Tier};
  case 5:
    return UpdateService{Name, {}, {}, std::chrono::milliseconds(1 + uniformBelow(Random, 10'000))};
  default:
    return SetLabels{Upstream, {{"tier", Tier}}};
  }
}

} // namespace

class ConfigHistoryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConfigHistoryTest);
  CPPUNIT_TEST(testOperators_concurrentWithFaults_agreeWithHistory);
  CPPUNIT_TEST(testEdit_lostAnswer_isAcceptedOnce);
  CPPUNIT_TEST(testEdit_lateWrite_agreesWithReport);
  CPPUNIT_TEST(testEdit_repeatedWithItsId_isAcceptedOnce);
  CPPUNIT_TEST(testEdit_basedOnOldRevision_learnsWhatChanged);
  CPPUNIT_TEST(testEdit_storeRestoredBeforeWrite_keepsOtherEdit);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::size_t Operators = 4;
  static constexpr int EditsPerOperator = 100;

  static StoreClient<OperatorTransport> client(FaultyNetwork &Network,
                                               TurnScheduler *Turns = nullptr, std::size_t Id = 0) {
    return StoreClient(OperatorTransport{&Network, Turns, Id});
  }

  static std::unique_ptr<FaultyNetwork> network(std::uint64_t Seed, bool Healthy) {
    auto Network = std::make_unique<FaultyNetwork>(Seed);
    Network->Healthy = Healthy;
    announce(Network->Target, Network->Now,
             {{"u1", "a"}, {"u2", "b"}, {"u3", "a"}, {"u4", "b"}, {"u5", "c"}, {"u6", "c"}});
    const std::string Text = toJson(deskAndWarranty()).dump();
    static_cast<void>(
        Network->Target.handle(toRequest("PUT", "/v1/kv/config?version=0", Text), Network->Now));
    return Network;
  }

  static std::vector<SubmittedEdit> runOperators(FaultyNetwork &Network, std::uint64_t Seed) {
    TurnScheduler Turns(Operators, Seed);
    std::vector<std::vector<SubmittedEdit>> EditsByOperator(Operators);
    std::vector<std::thread> Threads;
    for (std::size_t Id = 0; Id < Operators; ++Id)
      Threads.emplace_back([&, Id] {
        Turns.await(Id);
        auto Client = client(Network, &Turns, Id);
        common::Engine Random(Seed * 100 + Id);
        for (int I = 0; I < EditsPerOperator; ++I) {
          const std::string Name = "op" + std::to_string(Id);
          const Edit RequestedEdit{Name + "-" + std::to_string(I), Name, I, randomAction(Random)};
          EditsByOperator[Id].push_back({RequestedEdit, submitEdit(Client, RequestedEdit)});
        }
        Turns.leave(Id);
      });
    for (std::thread &Thread : Threads)
      Thread.join();
    std::vector<SubmittedEdit> All;
    for (const auto &OperatorEdits : EditsByOperator)
      All.insert(All.end(), OperatorEdits.begin(), OperatorEdits.end());
    return All;
  }

  static std::vector<AuditEntry> checkedHistory(FaultyNetwork &Network) {
    auto Client = client(Network);
    const auto Final = readConfiguration(Client);
    CPPUNIT_ASSERT(Final);
    const auto History = readHistory(Client, Final->Document, 1, Final->Document.RevisionNumber);
    CPPUNIT_ASSERT_MESSAGE(History.Failure.Detail, History);
    nlohmann::json Replayed = toJson(deskAndWarranty());
    Revision Expected = 0;
    for (const AuditEntry &Entry : *History) {
      CPPUNIT_ASSERT_EQUAL(++Expected, Entry.AcceptedRevision);
      Replayed = Replayed.patch(Entry.Patch);
    }
    const nlohmann::json Document = toJson(Final->Document);
    CPPUNIT_ASSERT(Replayed.at("services") == Document.at("services"));
    CPPUNIT_ASSERT(Replayed.at("labels") == Document.at("labels"));
    return *History;
  }

public:
  // Guards against an operator who is told a wrong outcome: each acknowledged edit is in the
  // history exactly once, each refused one never, and the revisions have no gap.
  void testOperators_concurrentWithFaults_agreeWithHistory() {
    for (const std::uint64_t Seed : {1U, 2U, 3U}) {
      const auto Network = network(Seed, false);
      std::vector<SubmittedEdit> Edits = runOperators(*Network, Seed);
      Network->Healthy = true;
      while (!Network->DelayedWrites.empty())
        Network->deliverDelayedWrite();
      auto Client = client(*Network);
      std::map<ResultCode, int> Results;
      for (SubmittedEdit &Submission : Edits) {
        ++Results[Submission.Report.Result.Code];
        if (Submission.Report.Result.Code == ResultCode::StoreOutcomeUnknown)
          Submission.Report = submitEdit(Client, Submission.RequestedEdit, {{}, true});
      }
      std::map<std::string, std::vector<Revision>> RevisionsById;
      for (const AuditEntry &Entry : checkedHistory(*Network))
        RevisionsById[Entry.EditId].push_back(Entry.AcceptedRevision);
      std::size_t Acknowledged = 0;
      for (const SubmittedEdit &Submission : Edits) {
        const bool Accepted = Submission.Report.Result.Code == ResultCode::Ok;
        const std::vector<Revision> Expected =
            Accepted ? std::vector{Submission.Report.AcceptedRevision} : std::vector<Revision>{};
        CPPUNIT_ASSERT_MESSAGE(Submission.RequestedEdit.Id + " " + Submission.Report.Result.Detail,
                               Expected == RevisionsById[Submission.RequestedEdit.Id]);
        Acknowledged += Accepted ? 1 : 0;
      }
      // The run must have included the faults and conflicts that the test is about.
      CPPUNIT_ASSERT(Acknowledged > MaxAuditEntries);
      CPPUNIT_ASSERT(Results[ResultCode::EditConflict] > 0);
      CPPUNIT_ASSERT(Results[ResultCode::StoreOutcomeUnknown] > 0);
      CPPUNIT_ASSERT(Results[ResultCode::StoreUnavailable] > 0);
      CPPUNIT_ASSERT(Network->Faults["answer of a write"] > 0);
      CPPUNIT_ASSERT(Network->Faults["late write"] > 0);
    }
  }

  // Guards against applying an edit twice after the response to its write was lost.
  void testEdit_lostAnswer_isAcceptedOnce() {
    Store Target{{}};
    common::TimePoint Now{};
    announce(Target, Now, fourAnnounced());
    standins::store::Faults Lossy;
    Lossy.LoseAnswers = 1;
    Target.setFaults(Lossy);
    StoreClient Client(DirectTransport{&Target, &Now});
    const auto Report = submitEdit(Client, {"e1", "rosa", 1, SetLabels{"u1", {{"role", "desk"}}}});
    CPPUNIT_ASSERT(Report.Result.Code == ResultCode::Ok);
    CPPUNIT_ASSERT(!Report.AlreadyAccepted);
    CPPUNIT_ASSERT_EQUAL(Revision{1}, readConfiguration(Client)->Document.RevisionNumber);
  }

  // Guards against an edit that is reported as refused, by the command that sent it or by its
  // repetition, and takes effect afterwards because its first write arrives late.
  void testEdit_lateWrite_agreesWithReport() {
    constexpr std::uint32_t Never = 0;
    struct Row {
      std::uint32_t DeliverAt;
      bool CutOff;
      ResultCode First;
      ResultCode Final;
    };
    const Row Rows[] = {
        {1, false, ResultCode::Ok, ResultCode::Ok},
        {Never, false, ResultCode::ServiceWithoutUpstream, ResultCode::ServiceWithoutUpstream},
        {Never, true, ResultCode::StoreOutcomeUnknown, ResultCode::ServiceWithoutUpstream},
        {2, true, ResultCode::StoreOutcomeUnknown, ResultCode::Ok},
    };
    const Service Shop{{0x0a010003, 80}, "id=u3", std::chrono::seconds(1)};
    const Edit RequestedEdit{"e1", "rosa", 1, CreateService{"shop", Shop}};
    for (const Row &Case : Rows) {
      Store Target{{}};
      common::TimePoint Now{};
      announce(Target, Now, fourAnnounced());
      HeldWriteTransport Network{{&Target, &Now}, Case.DeliverAt, Case.CutOff};
      StoreClient Client(SharedTransport{&Network});
      CPPUNIT_ASSERT(submitEdit(Client, RequestedEdit).Result.Code == Case.First);
      Network.CutOff = false;
      if (Case.First != ResultCode::StoreOutcomeUnknown)
        Network.deliver();
      CPPUNIT_ASSERT(submitEdit(Client, RequestedEdit, {{}, true}).Result.Code == Case.Final);
      Network.deliver();
      const bool Present = readConfiguration(Client)->Document.Services.contains("shop");
      CPPUNIT_ASSERT_EQUAL(Case.Final == ResultCode::Ok, Present);
    }
  }

  // Guards against a repeated command that applies its edit again, long after the entry has left
  // the document, and against an edit ID that is used for two different edits.
  void testEdit_repeatedWithItsId_isAcceptedOnce() {
    const auto Network = network(1, true);
    auto Client = client(*Network);
    const Edit First{"e1", "rosa", 1, SetLabels{"u3", {{"tier", "gold"}}}};
    CPPUNIT_ASSERT_EQUAL(Revision{1}, submitEdit(Client, First).AcceptedRevision);
    for (std::size_t I = 0; I < MaxAuditEntries + 5; ++I) {
      const SetLabels Action{"u4", {{"tier", "t" + std::to_string(I)}}};
      CPPUNIT_ASSERT(
          submitEdit(Client, {"f" + std::to_string(I), "rosa", 1, Action}).AcceptedRevision > 0);
    }
    const auto Again = submitEdit(Client, First);
    CPPUNIT_ASSERT(Again.Result.Code == ResultCode::Ok && Again.AlreadyAccepted);
    CPPUNIT_ASSERT_EQUAL(Revision{1}, Again.AcceptedRevision);
    const auto Other = submitEdit(Client, {"e1", "rosa", 1, SetLabels{"u3", {{"tier", "x"}}}});
    CPPUNIT_ASSERT(Other.Result.Code == ResultCode::EditConflict);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1 + MaxAuditEntries + 5}, checkedHistory(*Network).size());
  }

  // Guards against an edit overwriting a change made after the revision that it is based on.
  void testEdit_basedOnOldRevision_learnsWhatChanged() {
    const auto Network = network(1, true);
    auto Client = client(*Network);
    const auto Submit = [&](const char *Id, EditAction Action, std::optional<Revision> Base) {
      return submitEdit(Client, {Id, "rosa", 1, std::move(Action)}, {Base, false});
    };
    CPPUNIT_ASSERT_EQUAL(Revision{1},
                         Submit("e1", SetSelector{"desk", "role=desk,!x"}, 0).AcceptedRevision);
    const auto Lost = Submit("e2", SetSelector{"desk", "role=desk,!y"}, 0);
    CPPUNIT_ASSERT(Lost.Result.Code == ResultCode::EditConflict);
    CPPUNIT_ASSERT_EQUAL(std::string("e1"), Lost.ConflictingEntries.at(0).EditId);
    CPPUNIT_ASSERT_EQUAL(std::string("/services/desk/selector"),
                         Lost.ConcurrentPatch.at(0).at("path").get<std::string>());
    CPPUNIT_ASSERT_EQUAL(Revision{2},
                         Submit("e3", SetLabels{"u3", {{"tier", "a"}}}, 0).AcceptedRevision);
    CPPUNIT_ASSERT_EQUAL(Revision{3},
                         Submit("e4", SetSelector{"desk", "role=desk,!y"}, 2).AcceptedRevision);
    CPPUNIT_ASSERT(Submit("e5", SetSelector{"desk", "role=desk"}, 9).Result.Code ==
                   ResultCode::RevisionUnknown);
  }

  // Guards against an edit that overwrites another one whose version has the number of a lost one.
  void testEdit_storeRestoredBeforeWrite_keepsOtherEdit() {
    Store Target{{}};
    common::TimePoint Now{};
    announce(Target, Now, fourAnnounced());
    StoreClient Direct(DirectTransport{&Target, &Now});
    const auto First = Direct.put(ConfigurationKey, {}, toJson(deskAndWarranty()).dump())->Number;
    const auto LabelEdit = [](const std::string &Id, const std::string &Key) {
      return Edit{Id, "rosa", 1, SetLabels{"u3", {{Key, "yes"}}}};
    };
    CPPUNIT_ASSERT(submitEdit(Direct, LabelEdit("lost", "lost")).Result.Code == ResultCode::Ok);
    bool Restored = false;
    StoreClient Client(
        RestoringTransport{{&Target, &Now}, First, LabelEdit("other", "other"), &Restored});
    CPPUNIT_ASSERT(submitEdit(Client, LabelEdit("own", "own")).Result.Code == ResultCode::Ok);
    const auto Final = readConfiguration(Direct);
    const Labels Expected{{"other", "yes"}, {"own", "yes"}};
    CPPUNIT_ASSERT(Final->Document.UpstreamLabels.at("u3") == Expected);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigHistoryTest);

} // namespace galenarelay::tests
