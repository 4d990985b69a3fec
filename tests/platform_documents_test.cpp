#include "galenarelay/common/log.h"
#include "platform/documents.h"
#include "platform/store_protocol.h"

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

namespace galenarelay::tests {

using common::HttpRequest;
using common::HttpResponse;
using common::ResultCode;
using nlohmann::json;
using platform::Calls;
using platform::StoreProtocol;

class PlatformDocumentsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlatformDocumentsTest);
  CPPUNIT_TEST(testConfiguration_splitAndPlainRoutes_areRead);
  CPPUNIT_TEST(testConfiguration_unreadableRoute_isLeftOut);
  CPPUNIT_TEST(testConfiguration_unreadableDocuments_areRefused);
  CPPUNIT_TEST(testHeartbeat_publishedExample_isRead);
  CPPUNIT_TEST(testHeartbeat_ofAnotherWriter_isRefused);
  CPPUNIT_TEST(testCalls_pathsAndMethods_areToldApart);
  CPPUNIT_TEST(testStore_page_isDecoded);
  CPPUNIT_TEST(testStore_statuses_becomeResultCodes);
  CPPUNIT_TEST(testStore_eraHeader_isReadInAnyCase);
  CPPUNIT_TEST(testStore_put_carriesValueAsBase64);
  CPPUNIT_TEST_SUITE_END();

  static json route() {
    return {{"name", "r"},    {"hostname", "198.18.0.1"}, {"prefix", "/8443/"},
            {"type", "safe"}, {"timeoutMs", 3000},        {"targetLatencyMs", 200},
            {"priority", 2},  {"service", "desk"},        {"maxAttempts", 2}};
  }

  static json beat() {
    return {{"service", "huvo11a"},    {"address", "10.128.0.9:8080"},
            {"zone", "xela-a"},        {"version", "v1"},
            {"concurrencyLimit", 3},   {"state", "ready"},
            {"remainingColdMs", 1500}, {"sequence", 4},
            {"born", 1787781771028}};
  }

public:
  void testConfiguration_splitAndPlainRoutes_areRead() {
    json Split = route();
    Split.erase("service");
    Split["prefix"] = "/80/";
    Split["type"] = "unsafe";
    Split["trafficSplit"] = {{{"service", "a"}, {"weight", 90}},
                             {{"service", "b"}, {"weight", 10}}};
    const json Document{
        {"version", 7}, {"routes", {route(), Split}}, {"limits", {{"idleTimeoutMs", 15000}}}};
    const auto Read = platform::readConfiguration(Document.dump());
    CPPUNIT_ASSERT(Read);
    CPPUNIT_ASSERT_EQUAL(relay::Revision{7}, Read->Number);
    CPPUNIT_ASSERT(Read->IdleTimeout == std::chrono::seconds(15));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Read->Routes.size());
    CPPUNIT_ASSERT((Read->Routes[0].Address == common::Endpoint{0xc6120001, 8443}));
    CPPUNIT_ASSERT(Read->Routes[0].Idempotent && !Read->Routes[1].Idempotent);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{90}, Read->Routes[1].Shares[0].Weight);
  }

  void testConfiguration_unreadableRoute_isLeftOut() {
    for (const auto &[Field, Value] :
         std::initializer_list<std::pair<const char *, json>>{{"prefix", "/x/"},
                                                              {"prefix", "8443"},
                                                              {"hostname", "host"},
                                                              {"hostname", 5},
                                                              {"service", 3},
                                                              {"timeoutMs", "soon"}}) {
      json Bad = route();
      Bad[Field] = Value;
      const json Document{{"version", 7}, {"routes", {Bad, route()}}};
      const auto Read = platform::readConfiguration(Document.dump());
      CPPUNIT_ASSERT_MESSAGE(Field, Read && Read->Routes.size() == 1);
    }
  }

  void testConfiguration_unreadableDocuments_areRefused() {
    for (const char *Text : {"", "{", "[]", R"({"routes":[]})", R"({"version":"x","routes":[]})"}) {
      const auto Read = platform::readConfiguration(Text);
      CPPUNIT_ASSERT_MESSAGE(Text, !Read);
      CPPUNIT_ASSERT(Read.Failure.Code == ResultCode::ConfigurationMalformed);
    }
  }

  void testHeartbeat_publishedExample_isRead() {
    const auto Read = Calls::readHeartbeat("i-7", beat().dump());
    CPPUNIT_ASSERT(Read);
    CPPUNIT_ASSERT_EQUAL(std::string("huvo11a"), Read->Service);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{3}, Read->Slots);
    CPPUNIT_ASSERT(!Read->Draining && Read->ColdFor == std::chrono::milliseconds(1500));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1787781771028}, Read->Incarnation);
  }

  void testHeartbeat_ofAnotherWriter_isRefused() {
    for (const auto &[Field, Value] :
         std::initializer_list<std::pair<const char *, json>>{{"state", "asleep"},
                                                              {"state", 1},
                                                              {"service", nullptr},
                                                              {"address", "nowhere"},
                                                              {"sequence", "four"},
                                                              {"concurrencyLimit", "many"},
                                                              {"born", "today"}}) {
      json Bad = beat();
      Bad[Field] = Value;
      CPPUNIT_ASSERT_MESSAGE(Field, !Calls::readHeartbeat("i-7", Bad.dump()));
    }
    CPPUNIT_ASSERT(!Calls::readHeartbeat("i-7", "\xff\xfe"));
    json Missing = beat();
    Missing.erase("zone");
    CPPUNIT_ASSERT(!Calls::readHeartbeat("i-7", Missing.dump()));
  }

  void testCalls_pathsAndMethods_areToldApart() {
    const HttpRequest Put{"PUT", "/-/instances/i-7", {}, ""};
    const HttpRequest Delete{"DELETE", "/-/instances/i-7", {}, ""};
    const HttpRequest Ready{"GET", "/-/ready", {}, ""};
    CPPUNIT_ASSERT_EQUAL(std::string("i-7"), Calls::heartbeatId(Put));
    CPPUNIT_ASSERT_EQUAL(std::string(), Calls::heartbeatId(Delete));
    CPPUNIT_ASSERT_EQUAL(std::string("i-7"), Calls::departureId(Delete));
    CPPUNIT_ASSERT_EQUAL(std::string(), Calls::departureId(Ready));
    CPPUNIT_ASSERT(Calls::asksReadiness(Ready) && !Calls::asksReadiness(Put));
  }

  void testStore_page_isDecoded() {
    const HttpResponse Answer{
        200, R"({"events":[{"key":"k","value":"bm9kZS0x","revision":412,"created":412,"lease":7},)"
             R"({"key":"old","revision":413,"tombstone":true}],"currentRev":420})"};
    const auto Page = StoreProtocol::readPage(Answer);
    CPPUNIT_ASSERT(Page);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{420}, Page->Revision.Number);
    CPPUNIT_ASSERT((Page->Items[0] == relay::StoreItem{"k", "node-1", 412, false, 7}));
    CPPUNIT_ASSERT((Page->Items[1] == relay::StoreItem{"old", "", 413, true}));
  }

  void testStore_statuses_becomeResultCodes() {
    for (const auto &[Status, Code] : std::initializer_list<std::pair<unsigned, ResultCode>>{
             {404, ResultCode::StoreKeyNotFound},
             {410, ResultCode::StoreHistoryGone},
             {412, ResultCode::StoreConflict},
             {429, ResultCode::StoreRateLimited},
             {503, ResultCode::StoreUnavailable},
             {400, ResultCode::StoreBadAnswer}}) {
      const auto Page = StoreProtocol::readPage({Status, "{}"});
      CPPUNIT_ASSERT(!Page && Page.Failure.Code == Code);
    }
    CPPUNIT_ASSERT(StoreProtocol::readPage({200, "not JSON"}).Failure.Code ==
                   ResultCode::StoreBadAnswer);
    CPPUNIT_ASSERT(StoreProtocol::readLease({200, "{}"}).Failure.Code ==
                   ResultCode::StoreBadAnswer);
  }

  void testStore_eraHeader_isReadInAnyCase() {
    const auto ReadEra = [](const std::string &Name, const std::string &Value) {
      return StoreProtocol::readEra({503, "{}", "application/json", {{Name, Value}}});
    };
    CPPUNIT_ASSERT_EQUAL(relay::StoreEra{7}, ReadEra("Store-Era", "7")->value());
    CPPUNIT_ASSERT_EQUAL(relay::StoreEra{7}, ReadEra("store-era", "7")->value());
    CPPUNIT_ASSERT_EQUAL(relay::StoreEra{0}, ReadEra("Store-Era", "0")->value());
    CPPUNIT_ASSERT(ReadEra("Server", "7") && !ReadEra("Server", "7")->has_value());
    for (const char *Odd : {"", "x", "-1", "1.5", "7 ", "99999999999999999999"})
      CPPUNIT_ASSERT_MESSAGE(Odd,
                             ReadEra("Store-Era", Odd).Failure.Code == ResultCode::StoreBadAnswer);
  }

  void testStore_put_carriesValueAsBase64() {
    const auto Call = StoreProtocol::put("my/leader", "node-1", 77120);
    const auto Body = json::parse(Call.Body);
    CPPUNIT_ASSERT_EQUAL(std::string("bm9kZS0x"), Body["puts"][0]["value"].get<std::string>());
    CPPUNIT_ASSERT_EQUAL(77120, Body["puts"][0]["lease"].get<int>());
    CPPUNIT_ASSERT_EQUAL(std::string("/-/kv-watch?prefix=op/config&after=7&waitMs=4000"),
                         StoreProtocol::watch("op/config", 7, std::chrono::seconds(4)).Target);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformDocumentsTest);

} // namespace galenarelay::tests
