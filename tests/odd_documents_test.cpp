#include "odd_documents.h"

#include "galenarelay/agent/flow_mover.h"
#include "galenarelay/agent/load_message.h"
#include "galenarelay/common/http.h"
#include "galenarelay/common/json_fields.h"
#include "galenarelay/common/metrics.h"
#include "galenarelay/config/configuration.h"
#include "galenarelay/config/edit_loop.h"
#include "galenarelay/config/store_client.h"
#include "galenarelay/membership/member.h"
#include "galenarelay/node/impl/configuration_difference.h"
#include "galenarelay/node/impl/store_link.h"
#include "galenarelay/relay/peer_message.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <limits>
#include <optional>

namespace galenarelay::tests {

using common::capture;
using nlohmann::json;

/// Readers of messages between nodes and of the product's own documents.
class OddDocumentsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OddDocumentsTest);
  CPPUNIT_TEST(testText_thatIsNotJson_isDiscarded);
  CPPUNIT_TEST(testPeerMessage_oddField_isRefused);
  CPPUNIT_TEST(testPeerMessage_deeplyNested_isRefused);
  CPPUNIT_TEST(testPeerMessage_longestLists_areRead);
  CPPUNIT_TEST(testMember_oddField_isRefused);
  CPPUNIT_TEST(testMembers_oddRecord_isLeftOut);
  CPPUNIT_TEST(testContacts_oddRecord_isLeftOut);
  CPPUNIT_TEST(testLoadReport_oddField_isRefused);
  CPPUNIT_TEST(testFlowOffer_oddField_isRefused);
  CPPUNIT_TEST(testConfiguration_oddField_isRefused);
  CPPUNIT_TEST(testConfigurationDifference_oddField_isRefused);
  CPPUNIT_TEST(testStoredValues_oddField_areRefused);
  CPPUNIT_TEST(testStoredDocument_deeplyNested_endsNoReader);
  CPPUNIT_TEST_SUITE_END();

  /// Values that a message can hold in place of a whole number.
  static std::vector<json> oddValues() {
    return {true,
            -1,
            2.5,
            1e300,
            std::numeric_limits<double>::infinity(),
            std::numeric_limits<double>::quiet_NaN(),
            "4",
            nullptr,
            json::array(),
            json::object(),
            json::binary({1, 2})};
  }

  /// Paths of all numbers and texts in a document.
  static std::vector<std::string> scalarPaths(const json &Document) {
    std::vector<std::string> Paths;
    const json Flat = Document.flatten();
    for (const auto &[Path, Value] : Flat.items())
      if (Value.is_number() || Value.is_string())
        Paths.push_back(Path);
    return Paths;
  }

  /// Asserts that Reads is true for the document, and false with an odd value at any of the paths.
  template <typename F>
  static void assertRefused(const json &Document, const std::vector<std::string> &Paths,
                            F &&Reads) {
    CPPUNIT_ASSERT_MESSAGE(Document.dump(), Reads(Document));
    for (const auto &Path : Paths) {
      const json::json_pointer Field(Path);
      for (const json &Odd : oddValues()) {
        // A text is odd in place of a number only.
        if (Odd.is_string() && Document[Field].is_string())
          continue;
        json Changed = Document;
        Changed[Field] = Odd;
        CPPUNIT_ASSERT_MESSAGE(Path + " " + Odd.type_name(), !Reads(Changed));
      }
    }
  }

  static bool readsMessage(const json &Fields) {
    return static_cast<bool>(relay::decodeMessage(json::to_cbor(Fields)));
  }

  static const packet::FlowKey &key() {
    static const packet::FlowKey Key{{0x64400007, 40001}, {0xc6120001, 443}};
    return Key;
  }

public:
  void testText_thatIsNotJson_isDiscarded() {
    CPPUNIT_ASSERT(common::parseJsonOrDiscard("{").is_discarded());
    CPPUNIT_ASSERT(common::parseJsonOrDiscard("[1e400]")[0].is_null());
    CPPUNIT_ASSERT_EQUAL(1, common::parseJsonOrDiscard("[1]")[0].get<int>());
  }

  void testPeerMessage_oddField_isRefused() {
    relay::AgentReport Report{"agent", "a", 1,      2, "desk", relay::UpstreamState::Ready,
                              3,       4,   {5, 6}, {}};
    Report.ColdFor = std::chrono::seconds(1);
    const std::vector<relay::PeerMessage> Messages{
        Report,
        relay::BalancerBeacon{"balancer", "a", 1, 2, false, {3}, {4}, 5},
        relay::FlowNotice{key(), {1, 2}},
        relay::ReturnedPacket{relay::ReturnReason::Busy, {1, 2}, {1, 2, 3}},
        relay::FlowAbsence{key()},
        relay::FlowQuery{7, {{key(), 8}}},
        relay::FlowAnswer{7, {1}, {2}},
        relay::LoadQuery{7},
        relay::LoadAnswer{relay::UpstreamState::Ready, {1, 2}, 7},
        relay::LossQuery{{1, 2}},
        relay::LossAnswer{{1, 2}},
        relay::HolderQuery{7, 8},
        relay::HolderAnswer{7, true, 0, 1, {{1, 2, 3}}},
        relay::CallerTries{relay::CallerTries::Purpose::Answer, key(), 2, std::chrono::seconds(3)}};
    for (const auto &Message : Messages) {
      const auto Raw = relay::encode(Message);
      CPPUNIT_ASSERT(*relay::decodeMessage(Raw) == Message);
      const json Fields = json::from_cbor(Raw);
      assertRefused(Fields, scalarPaths(Fields), readsMessage);
    }
    // Times beyond MaxStatedTime would overflow sums with a point in time.
    json Fields = json::from_cbor(relay::encode(Report));
    Fields[10] = std::numeric_limits<std::int64_t>::max();
    CPPUNIT_ASSERT(!readsMessage(Fields));
  }

  // Guards against a datagram that ends the process by exhausting its stack.
  void testPeerMessage_deeplyNested_isRefused() {
    constexpr std::uint8_t ArrayOfOne = 0x81;
    for (const std::size_t Depth : {100, 4000, 65'000}) {
      const relay::Bytes Datagram(Depth, ArrayOfOne);
      CPPUNIT_ASSERT(!relay::decodeMessage(Datagram));
    }
  }

  void testPeerMessage_longestLists_areRead() {
    const std::vector<relay::NodeAddress> Addresses(relay::MaxBeaconAddresses, 0xffffffff);
    const relay::PeerMessage Beacon = relay::BalancerBeacon{std::string(200, 'x'),
                                                            std::string(200, 'x'),
                                                            UINT64_MAX,
                                                            UINT64_MAX,
                                                            true,
                                                            Addresses,
                                                            Addresses,
                                                            UINT64_MAX};
    const relay::PeerMessage Answer =
        relay::HolderAnswer{UINT64_MAX, true, 0, 1,
                            std::vector<relay::KnownAgent>(relay::MaxNamedHolders,
                                                           {0xffffffff, UINT64_MAX, UINT64_MAX})};
    const relay::PeerMessage Query =
        relay::FlowQuery{UINT64_MAX, std::vector<relay::FlowQuery::Row>(relay::MaxQueriedFlows,
                                                                        {key(), 0xffffffff})};
    const relay::PeerMessage Packet =
        relay::ReturnedPacket{relay::ReturnReason::NotHeld, {}, relay::Bytes(1400, 1)};
    for (const auto &Message : {Beacon, Answer, Query, Packet})
      CPPUNIT_ASSERT(*relay::decodeMessage(relay::encode(Message)) == Message);
  }

  static json memberDocument(const std::string &Id = "agent-1") {
    membership::Member Record;
    Record.Id = Id;
    Record.Kind = membership::MemberKind::Agent;
    Record.Slots = 3;
    Record.Incarnation = 4;
    for (auto *Address : {&Record.Data, &Record.Control, &Record.Admin, &Record.Upstream})
      *Address = {0x0a000001, 80};
    return membership::toJson(Record);
  }

  /// Texts of records that name no member.
  static std::vector<std::string> oddRecords() {
    std::vector<std::string> Records{"3",  "null",         "[]",
                                     "{}", R"("agent-1")", nestedArrays(200'000)};
    for (const auto &Odd : oddNumbers())
      for (const char *Field : {"/inc", "/slots", "/control", "/kind"})
        Records.push_back(withOdd(memberDocument(), Field, Odd));
    Records.push_back(withOdd(memberDocument(), "/control", R"("10.0.0.1:65536")"));
    return Records;
  }

  void testMembers_oddRecord_isLeftOut() {
    for (const auto &Odd : oddRecords()) {
      const auto Records = common::parseJson("[" + memberDocument("agent-2").dump() + "," + Odd +
                                             "," + memberDocument("agent-3").dump() + "]");
      std::size_t Unreadable = 0;
      const auto Members =
          membership::membersFromJson(Records, [&](const common::Error &) { ++Unreadable; });
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Odd.substr(0, 80), std::size_t{2}, Members.size());
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Unreadable);
    }
  }

  // Guards against a node that finds no other one because of one odd record in the store.
  void testContacts_oddRecord_isLeftOut() {
    boost::asio::io_context Io{1};
    std::string Body;
    common::HttpServer Server(
        Io, {0x7f000001, 0},
        [&](const common::HttpRequest &) -> boost::asio::awaitable<common::HttpResponse> {
          co_return common::HttpResponse{200, Body};
        });
    common::Metrics Metrics;
    node::impl::NodeStoreClient Client(Server.local(), Metrics);
    const auto Item = [](const std::string &Record) {
      return json{{"key", "members/x"}, {"version", 1}, {"value", Record}}.dump();
    };
    std::vector<std::string> OddItems{"3", "null", "{}", R"({"value":true})",
                                      nestedArrays(200'000)};
    for (const auto &Odd : oddRecords())
      OddItems.push_back(Item(Odd));
    for (const auto &Odd : OddItems) {
      Body = R"({"items":[)" + Odd + "," + Item(memberDocument().dump()) + "]}";
      const CapturedLog Log;
      std::optional<common::Outcome<std::vector<common::Endpoint>>> Contacts;
      boost::asio::co_spawn(
          Io,
          [&]() -> boost::asio::awaitable<void> {
            Contacts = co_await Client.registeredContacts();
          },
          boost::asio::detached);
      while (!Contacts)
        Io.run_one();
      CPPUNIT_ASSERT_MESSAGE(Odd.substr(0, 80), *Contacts && (*Contacts)->size() == 1);
      CPPUNIT_ASSERT_MESSAGE(Odd.substr(0, 80), Log.count("member_unreadable") == 1);
    }
  }

  void testMember_oddField_isRefused() {
    const json Document = memberDocument();
    const auto Reads = [](const json &Changed) {
      return static_cast<bool>(capture([&] { return membership::memberFromJson(Changed); }));
    };
    assertRefused(Document, scalarPaths(Document), Reads);
    for (const char *Address : {"10.0.0.1:65536", "10.0.0.1:-1", "10.0.0.1"}) {
      json Changed = Document;
      Changed["control"] = Address;
      CPPUNIT_ASSERT_MESSAGE(Address, !Reads(Changed));
    }
  }

  void testLoadReport_oddField_isRefused() {
    const json Message = agent::toMessage(schedule::LoadReport{"a", 5, 3, 7, 12, 1, 99});
    const auto Reads = [](const json &Changed) {
      return static_cast<bool>(capture([&] { return agent::loadFromMessage(Changed); }));
    };
    assertRefused(Message, {"/id", "/slots", "/busy", "/queued", "/seq"}, Reads);
    for (const char *Field : {"work_ms", "errors"})
      for (const json &Odd : oddValues()) {
        json Changed = Message;
        Changed[Field] = Odd;
        const bool InRange = Odd == 2.5 && std::string(Field) == "work_ms";
        CPPUNIT_ASSERT_EQUAL_MESSAGE(Field, InRange, Reads(Changed));
      }
  }

  void testFlowOffer_oddField_isRefused() {
    agent::FlowOffer Offer;
    Offer.Service = "desk";
    Offer.Stream.Key = key();
    const json Message = agent::toMessage(Offer);
    assertRefused(
        Message, {"/service", "/flow", "/numbers/0", "/numbers/4"}, [](const json &Changed) {
          return static_cast<bool>(capture([&] { return agent::offerFromMessage(Changed); }));
        });
  }

  static json configuration() {
    return {
        {"revision", 3},
        {"services",
         {{"desk", {{"address", "10.0.0.1:80"}, {"selector", "zone=a"}, {"deadline_ms", 3000}}}}},
        {"labels", {{"up-1", {{"tier", "1"}}}}},
        {"edits",
         {{{"id", "e"},
           {"author", "x"},
           {"time_ms", 1},
           {"revision", 3},
           {"summary", "s"},
           {"patch", json::array()}}}}};
  }

  void testConfiguration_oddField_isRefused() {
    assertRefused(configuration(), scalarPaths(configuration()), [](const json &Changed) {
      return static_cast<bool>(capture([&] { return config::configurationFromJson(Changed); }));
    });
  }

  void testConfigurationDifference_oddField_isRefused() {
    const auto Base = *capture([] { return config::configurationFromJson(configuration()); });
    json Response = node::impl::configurationSince(Base, 2);
    CPPUNIT_ASSERT(Response.contains("after"));
    auto Earlier = Base;
    Earlier.RevisionNumber = 2;
    Earlier.AuditEntries.clear();
    assertRefused(Response, {"/after", "/revision", "/kept", "/hash"}, [&](const json &Changed) {
      return static_cast<bool>(
          capture([&] { return node::impl::configurationFromResponse(Earlier, Changed); }));
    });
  }

  void testStoredValues_oddField_areRefused() {
    const json Value{{"key", "k"}, {"version", 4}, {"value", "v"}};
    const auto Read = [](const json &Body) {
      return common::Outcome<common::HttpResponse>{common::HttpResponse{200, Body.dump()}, {}};
    };
    assertRefused(Value, scalarPaths(Value), [&](const json &Changed) {
      return static_cast<bool>(config::impl::parseValueResponse("k", Read(Changed)));
    });
    assertRefused({{"version", 4}}, {"/version"}, [&](const json &Changed) {
      return static_cast<bool>(config::impl::parseWriteResponse(Read(Changed)));
    });
  }

  // Guards against a document that ends each process that reads it by exhausting its stack.
  void testStoredDocument_deeplyNested_endsNoReader() {
    const std::string Text = withOdd(configuration(), "/edits/0/patch", nestedArrays(200'000));
    const auto Read = config::impl::parseStoredConfiguration({"config", {1, 1}, Text});
    // The patch is read as null below MaxJsonDepth; it is kept, but never applied.
    CPPUNIT_ASSERT(Read && Read->Document.AuditEntries[0].Patch.dump().size() < 100);
    for (const std::string &Odd : {std::string(500'000, '['), nestedArrays(500'000)})
      CPPUNIT_ASSERT(!config::impl::parseStoredConfiguration({"config", {1, 1}, Odd}));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OddDocumentsTest);

} // namespace galenarelay::tests
