#include "galenarelay/node/impl/relay_store.h"
#include "odd_documents.h"
#include "platform/documents.h"
#include "platform/store_protocol.h"

#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <limits>

namespace galenarelay::tests {

using nlohmann::json;
using platform::Calls;
using platform::StoreProtocol;

/// Readers of documents that other writers may have changed: an odd entry is left out and logged,
/// the others hold, and the process goes on.
class PlatformOddDocumentsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlatformOddDocumentsTest);
  CPPUNIT_TEST(testConfiguration_oddRoute_isLeftOut);
  CPPUNIT_TEST(testConfiguration_oddLimit_isLeftOut);
  CPPUNIT_TEST(testConfiguration_oddFrame_isRefused);
  CPPUNIT_TEST(testHeartbeat_oddField_isRefused);
  CPPUNIT_TEST(testHeartbeat_wholeNumberAsFraction_isRead);
  CPPUNIT_TEST(testDeparture_oddBody_isRefused);
  CPPUNIT_TEST(testStorePage_oddRow_isLeftOut);
  CPPUNIT_TEST(testStorePage_oddFrame_isRefused);
  CPPUNIT_TEST(testStoreAnswers_oddField_areRefused);
  CPPUNIT_TEST(testNodeRecord_oddAddress_isRefused);
  CPPUNIT_TEST_SUITE_END();

  /// The fields of a document by the kind of value that they hold.
  struct Fields {
    std::vector<std::string> Numbers;
    std::vector<std::string> Texts;
  };

  /// Calls Check with the document's text for each field and each odd value in its place.
  template <typename F>
  static void forEachOdd(const json &Document, const Fields &Named, F &&Check) {
    for (const auto &Path : Named.Numbers)
      for (const auto &Odd : oddNumbers())
        Check(withOdd(Document, Path, Odd), Path + " " + Odd.substr(0, 30));
    for (const auto &Path : Named.Texts)
      for (const auto &Odd : oddTexts())
        Check(withOdd(Document, Path, Odd), Path + " " + Odd.substr(0, 30));
  }

  static json route() {
    return {{"name", "r"},    {"hostname", "198.18.0.1"}, {"prefix", "/8443/"},
            {"type", "safe"}, {"timeoutMs", 3000},        {"targetLatencyMs", 200},
            {"priority", 2},  {"service", "desk"}};
  }

  static json beat() {
    return {{"service", "huvo11a"},    {"address", "10.128.0.9:8080"},
            {"zone", "xela-a"},        {"version", "v1"},
            {"concurrencyLimit", 3},   {"state", "ready"},
            {"remainingColdMs", 1500}, {"sequence", 4},
            {"born", 1787781771028}};
  }

  static json page() {
    return {{"items",
             {{{"key", "a"}, {"value", "MTAuMC4wLjE="}, {"revision", 5}, {"lease", 0}},
              {{"key", "b"}, {"value", "MTAuMC4wLjI="}, {"revision", 6}, {"lease", 0}}}},
            {"hasMore", false},
            {"currentRev", 7}};
  }

public:
  void testConfiguration_oddRoute_isLeftOut() {
    json Split = route();
    Split.erase("service");
    Split["trafficSplit"] = {{{"service", "a"}, {"weight", 90}}};
    const json Document{{"version", 7}, {"routes", {route(), Split, route()}}};
    const auto IsLeftOut = [](const std::string &Text, const std::string &Case) {
      const CapturedLog Log;
      const auto Read = platform::readConfiguration(Text);
      CPPUNIT_ASSERT_MESSAGE(Case, Read && Read->Routes.size() == 2);
      CPPUNIT_ASSERT_MESSAGE(Case, Log.count("route_unreadable") == 1);
    };
    forEachOdd(Document,
               {{"/routes/0/timeoutMs", "/routes/0/targetLatencyMs", "/routes/0/priority",
                 "/routes/1/trafficSplit/0/weight"},
                {"/routes/0/hostname", "/routes/0/prefix", "/routes/0/service",
                 "/routes/1/trafficSplit/0/service"}},
               IsLeftOut);
    for (const char *Odd : {"3", "null", "[]", R"("r")"})
      IsLeftOut(withOdd(Document, "/routes/0", Odd), Odd);
    IsLeftOut(withOdd(Document, "/routes/0", nestedArrays(200'000)), "nested");
    for (const char *Port : {R"("/0/")", R"("/65536/")", R"("/-1/")", R"("/8443")", R"("//")"})
      IsLeftOut(withOdd(Document, "/routes/0/prefix", Port), Port);
    IsLeftOut(withOdd(Document, "/routes/1/trafficSplit", "[]"), "no share");
  }

  void testConfiguration_oddLimit_isLeftOut() {
    const json Document{
        {"version", 7}, {"routes", {route()}}, {"limits", {{"idleTimeoutMs", 15000}}}};
    forEachOdd(Document, {{"/limits/idleTimeoutMs"}, {}},
               [](const std::string &Text, const std::string &Case) {
                 const CapturedLog Log;
                 const auto Read = platform::readConfiguration(Text);
                 CPPUNIT_ASSERT_MESSAGE(Case, Read && Read->Routes.size() == 1);
                 CPPUNIT_ASSERT_MESSAGE(Case, Log.count("limit_unreadable") == 1);
               });
    for (const auto &Odd : oddTexts())
      CPPUNIT_ASSERT(platform::readConfiguration(withOdd(Document, "/limits", Odd)));
  }

  void testConfiguration_oddFrame_isRefused() {
    const json Document{{"version", 7}, {"routes", {route()}}};
    forEachOdd(Document, {{"/version"}, {}}, [](const std::string &Text, const std::string &Case) {
      CPPUNIT_ASSERT_MESSAGE(Case, !platform::readConfiguration(Text));
    });
    for (const char *Odd : {"true", "4", "null", R"("a")", "{}"})
      CPPUNIT_ASSERT_MESSAGE(Odd, !platform::readConfiguration(withOdd(Document, "/routes", Odd)));
    for (const std::string &Text : {std::string(500'000, '['), nestedArrays(500'000),
                                    std::string("\xff"), std::string("1e400")})
      CPPUNIT_ASSERT(!platform::readConfiguration(Text));
  }

  void testHeartbeat_oddField_isRefused() {
    const auto IsRefused = [](const std::string &Text, const std::string &Case) {
      CPPUNIT_ASSERT_MESSAGE(Case, !Calls::readHeartbeat("i-7", Text));
    };
    forEachOdd(beat(),
               {{"/concurrencyLimit", "/remainingColdMs", "/sequence", "/born"},
                {"/service", "/address", "/zone", "/version", "/state"}},
               IsRefused);
    for (const char *Address : {R"("10.0.0.1:0")", R"("10.0.0.1:65536")", R"("10.0.0.1:-1")",
                                R"("10.0.0.1")", R"(":80")", R"("10.0.0.256:80")"})
      IsRefused(withOdd(beat(), "/address", Address), Address);
    IsRefused(withOdd(beat(), "/concurrencyLimit", "0"), "no slot");
    IsRefused(withOdd(beat(), "/service", R"("")"), "no service");
    for (const std::string &Body : {std::string("[]"), std::string("7"), std::string("\xff\xfe"),
                                    std::string(500'000, '['), nestedArrays(500'000)})
      IsRefused(Body, Body.substr(0, 30));
    json Long = beat();
    Long["note"] = std::string(100'000, 'x');
    IsRefused(Long.dump(), "long");
    for (const char *Field :
         {"service", "address", "zone", "concurrencyLimit", "state", "sequence"}) {
      json Missing = beat();
      Missing.erase(Field);
      IsRefused(Missing.dump(), Field);
    }
  }

  void testHeartbeat_wholeNumberAsFraction_isRead() {
    const auto Read = Calls::readHeartbeat("i-7", withOdd(beat(), "/concurrencyLimit", "3.0"));
    CPPUNIT_ASSERT(Read && Read->Slots == 3);
    // Fields that aren't known may hold anything.
    CPPUNIT_ASSERT(Calls::readHeartbeat("i-7", withOdd(beat(), "/note", nestedArrays(1000))));
  }

  void testDeparture_oddBody_isRefused() {
    CPPUNIT_ASSERT((*Calls::readDeparture("i-7", "") == relay::Departure{"i-7", {}}));
    CPPUNIT_ASSERT((*Calls::readDeparture("i-7", R"({"born":9})") == relay::Departure{"i-7", 9}));
    forEachOdd({{"born", 9}}, {{"/born"}, {}},
               [](const std::string &Text, const std::string &Case) {
                 CPPUNIT_ASSERT_MESSAGE(Case, !Calls::readDeparture("i-7", Text));
               });
    for (const std::string &Body : {std::string("\xff"), std::string(100'000, '[')})
      CPPUNIT_ASSERT(!Calls::readDeparture("i-7", Body));
  }

  // Guards against a reader that stops following the store because of one odd row.
  void testStorePage_oddRow_isLeftOut() {
    const auto IsLeftOut = [](const std::string &Text, const std::string &Case) {
      const CapturedLog Log;
      const auto Page = StoreProtocol::readPage({200, Text});
      CPPUNIT_ASSERT_MESSAGE(Case, Page && Page->Items.size() == 1 && Page->Revision.Number == 7);
      CPPUNIT_ASSERT_MESSAGE(Case, Page->Items[0].Value == "10.0.0.2");
      CPPUNIT_ASSERT_MESSAGE(Case, Log.count("store_rows_unreadable") == 1);
    };
    forEachOdd(page(),
               {{"/items/0/revision", "/items/0/lease"}, {"/items/0/key", "/items/0/value"}},
               IsLeftOut);
    for (const char *Odd : {"3", "null", "[]", "{}", R"("a")"})
      IsLeftOut(withOdd(page(), "/items/0", Odd), Odd);
    IsLeftOut(withOdd(page(), "/items/0", nestedArrays(200'000)), "nested");
    for (const char *Value : {R"("not base64")", R"("YWI")", R"("YWI=YWI=")", R"("====")"})
      IsLeftOut(withOdd(page(), "/items/0/value", Value), Value);
    IsLeftOut(withOdd(page(), "/items/0/tombstone", R"("yes")"), "tombstone");
  }

  void testStorePage_oddFrame_isRefused() {
    forEachOdd(page(), {{"/currentRev"}, {}}, [](const std::string &Text, const std::string &Case) {
      CPPUNIT_ASSERT_MESSAGE(Case, !StoreProtocol::readPage({200, Text}));
    });
    for (const char *Odd : {"3", "null", "{}", R"("a")"})
      CPPUNIT_ASSERT_MESSAGE(Odd, !StoreProtocol::readPage({200, withOdd(page(), "/items", Odd)}));
    for (const std::string &Body :
         {std::string("[]"), std::string("\xff"), std::string(500'000, '['), nestedArrays(500'000)})
      CPPUNIT_ASSERT(!StoreProtocol::readPage({200, Body}));
  }

  void testStoreAnswers_oddField_areRefused() {
    forEachOdd({{"lease", 7}, {"ttlMs", 3000}}, {{"/lease", "/ttlMs"}, {}},
               [](const std::string &Text, const std::string &Case) {
                 CPPUNIT_ASSERT_MESSAGE(Case, !StoreProtocol::readLease({200, Text}));
               });
    forEachOdd({{"revision", 7}}, {{"/revision"}, {}},
               [](const std::string &Text, const std::string &Case) {
                 CPPUNIT_ASSERT_MESSAGE(Case, !StoreProtocol::readWritten({200, Text}));
               });
  }

  void testNodeRecord_oddAddress_isRefused() {
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{0x0a000001}, *node::impl::readNodeRecord("10.0.0.1"));
    for (const char *Value : {"", "10.0.0.1:80", "10.0.0", "10.0.0.256", "0.0.0.0",
                              "255.255.255.255", "224.0.0.1", "node-1", "::1", "{}", "\xff"})
      CPPUNIT_ASSERT_MESSAGE(Value, !node::impl::readNodeRecord(Value));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformOddDocumentsTest);

} // namespace galenarelay::tests
