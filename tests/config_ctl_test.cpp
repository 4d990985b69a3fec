#include "config_fixture.h"
#include "galenarelay/standins/store/store_server.h"

#include <boost/asio/io_context.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

#include <array>
#include <atomic>
#include <cstdio>
#include <fstream>
#include <sys/wait.h>
#include <thread>

namespace galenarelay::tests {

using common::HttpRequest;
using common::HttpResponse;
using common::ResultCode;
using nlohmann::json;

class ConfigCtlTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConfigCtlTest);
  CPPUNIT_TEST(testCommands_scriptOfEdits_endsWithResultCodes);
  CPPUNIT_TEST(testEdit_repeatedWithEditId_isAcceptedOnce);
  CPPUNIT_TEST(testWait_memberBehind_isNotInForceUntilItCatchesUp);
  CPPUNIT_TEST(testHelp_everyCommand_isDescribed);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::uint32_t Loopback = 0x7f000001;
  static constexpr common::Duration Timeout = std::chrono::seconds(20);

  struct Ended {
    int Code = -1;
    std::string Output;
  };

  /// A store and a node, each with its stand-in server, on one thread.
  struct Platform {
    boost::asio::io_context Io;
    std::atomic<int> Revision{0};
    standins::store::StoreServer Store{Io, {Loopback, 0}, {}};
    common::HttpServer Node{
        Io, {Loopback, 0}, [this](HttpRequest Request) -> boost::asio::awaitable<HttpResponse> {
          co_return answer(Request);
        }};
    std::thread Loop{[this] { Io.run(); }};

    ~Platform() {
      Io.stop();
      Loop.join();
    }

    HttpResponse answer(const HttpRequest &Request) {
      if (Request.Path == "/v1/status")
        return {200, json{{"revision", Revision.load()}}.dump()};
      if (Request.Path == "/v1/explain")
        return {404, R"({"error":"PacketUnknownService","detail":"no such service"})"};
      membership::Member Alive;
      Alive.Id = "b1";
      Alive.Admin = Node.local();
      membership::Member Gone;
      Gone.Id = "b2";
      Gone.State = membership::MemberState::Dead;
      return {200, json{{"members", {toJson(Alive), toJson(Gone)}}}.dump()};
    }

    void storeCall(const char *Method, const std::string &Target, const std::string &Body) const {
      const auto Answer = common::httpCallBlocking(Store.local(), Method, Target, Body, Timeout);
      CPPUNIT_ASSERT(Answer && Answer->Status == 200);
    }

    void announce(const std::string &Id) const {
      membership::Member Record;
      Record.Id = Id;
      storeCall("PUT", "/v1/kv/members/" + Id + "?version=0", toJson(Record).dump());
    }

    [[nodiscard]] Ended galenactl(const std::string &Arguments) const {
      const std::string Command = std::string(GALENARELAY_BINARY_DIR) + "/galenactl --store " +
                                  common::toString(Store.local()) + " --node " +
                                  common::toString(Node.local()) + " --author rosa " + Arguments +
                                  " 2>&1";
      Ended Result;
      std::FILE *Pipe = popen(Command.c_str(), "r");
      CPPUNIT_ASSERT(Pipe != nullptr);
      std::array<char, 4096> Buffer{};
      while (std::fgets(Buffer.data(), Buffer.size(), Pipe) != nullptr)
        Result.Output += Buffer.data();
      Result.Code = WEXITSTATUS(pclose(Pipe));
      return Result;
    }
  };

public:
  // Guards against exit codes that don't tell a script how a command ended.
  void testCommands_scriptOfEdits_endsWithResultCodes() {
    const Platform Running;
    Running.announce("u1");
    Running.announce("u2");
    struct Row {
      const char *Arguments;
      ResultCode Code;
      const char *Prints;
    };
    const Row Rows[] = {
        {"", ResultCode::Usage, "no command"},
        {"frob", ResultCode::Usage, "frob"},
        {"label set u1", ResultCode::Usage, "usage"},
        {"show --limit 3", ResultCode::Usage, "--limit"},
        {"show --output xml", ResultCode::Usage, "table or json"},
        {"show --config /none", ResultCode::SettingsUnreadable, "/none"},
        {"history", ResultCode::Ok, "REVISION"},
        {"label set u9 role=desk", ResultCode::UpstreamUnknown, "u9"},
        {"label set u1 role", ResultCode::LabelSyntax, "role"},
        {"label set u1 role=desk tier=gold", ResultCode::Ok, "accepted"},
        {"service create desk --address 10.1.0.1 --selector role", ResultCode::Usage, "address"},
        {"service create desk --address 10.1.0.1:80 --selector 'role in (desk,x),tier'",
         ResultCode::Ok, "accepted"},
        {"service create shop --address 10.1.0.2:80 --selector '!role'", ResultCode::Ok,
         "accepted"},
        {"selector set desk '!role'", ResultCode::UpstreamOverlap, "shop"},
        {"service update desk --deadline-ms 500 --base 2", ResultCode::Ok, "accepted"},
        {"service update desk --deadline-ms 700 --base 3", ResultCode::EditConflict, "desk"},
        {"label remove u1 role --base 9", ResultCode::RevisionUnknown, "4"},
        {"service delete warranty", ResultCode::ServiceUnknown, "warranty"},
        {"service delete shop", ResultCode::Ok, "5"},
        {"service list", ResultCode::Ok, "role in (desk,x),tier"},
        {"label list u1", ResultCode::Ok, "tier=gold"},
        {"label list u2", ResultCode::UpstreamUnknown, "u2"},
        {"show", ResultCode::Ok, "10.1.0.1:80"},
        {"diff 3 4", ResultCode::Ok, "/services/desk/deadline_ms"},
        {"diff 4 9", ResultCode::RevisionUnknown, "5"},
        {"audit 2", ResultCode::Ok, "service create desk"},
        {"audit 6", ResultCode::RevisionUnknown, "5"},
        {"audit 2 --edit-id x", ResultCode::Usage, "--edit-id"},
        {"audit", ResultCode::Ok, "/labels/u1"},
        {"history --limit 0", ResultCode::Ok, "REVISION"},
        {"members", ResultCode::Ok, "dead"},
        {"explain 1.2.3.4:5-10.1.0.9:80", ResultCode::PacketUnknownService, "404"},
        {"show --store 127.0.0.1:1", ResultCode::StoreUnavailable, "127.0.0.1:1"},
    };
    for (const Row &Case : Rows) {
      const Ended Result = Running.galenactl(Case.Arguments);
      const std::string Message = std::string(Case.Arguments) + "\n" + Result.Output;
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Message, static_cast<int>(Case.Code), Result.Code);
      CPPUNIT_ASSERT_MESSAGE(Message, Result.Output.find(Case.Prints) != std::string::npos);
    }
  }

  // Guards against applying an edit twice when its command is repeated with the same edit ID, here
  // after the store lost the response to the first write.
  void testEdit_repeatedWithEditId_isAcceptedOnce() {
    const Platform Running;
    Running.announce("u1");
    Running.storeCall("POST", "/v1/faults", R"({"lose_answers":1})");
    const std::string Command = "label set u1 role=desk --edit-id once --output json";
    for (const bool Repeated : {false, true}) {
      const Ended Result = Running.galenactl(Command);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Result.Output, 0, Result.Code);
      const json Document = json::parse(Result.Output);
      CPPUNIT_ASSERT_EQUAL(1, Document.at("revision").get<int>());
      CPPUNIT_ASSERT_EQUAL(Repeated, Document.at("repeated").get<bool>());
    }
    CPPUNIT_ASSERT(Running.galenactl("audit --edit-id once").Output.find("rosa") !=
                   std::string::npos);
  }

  // Guards against reporting a revision as in force while a live member still uses an older one.
  void testWait_memberBehind_isNotInForceUntilItCatchesUp() {
    Platform Running;
    const Ended Early = Running.galenactl("wait 3 --timeout-ms 1");
    CPPUNIT_ASSERT_EQUAL(static_cast<int>(ResultCode::NotInForce), Early.Code);
    CPPUNIT_ASSERT(Early.Output.find("b1") != std::string::npos);
    CPPUNIT_ASSERT(Early.Output.find("b2") == std::string::npos);
    Running.Revision = 3;
    const Ended Late = Running.galenactl("wait 3 --timeout-ms 10000");
    CPPUNIT_ASSERT_EQUAL_MESSAGE(Late.Output, 0, Late.Code);
  }

  // Guards against commands that are missing from the help text.
  void testHelp_everyCommand_isDescribed() {
    const Platform Running;
    const std::string All = Running.galenactl("--help").Output;
    for (const char *Name : {"service create", "service update", "service delete", "service list",
                             "label set", "label remove", "label list", "selector set", "show",
                             "diff", "history", "audit", "explain", "wait", "members"}) {
      CPPUNIT_ASSERT_MESSAGE(Name, All.find(Name) != std::string::npos);
      const Ended One = Running.galenactl(std::string(Name) + " --help");
      CPPUNIT_ASSERT_EQUAL(0, One.Code);
      CPPUNIT_ASSERT(One.Output.find("Usage: galenactl " + std::string(Name)) != std::string::npos);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigCtlTest);

} // namespace galenarelay::tests
