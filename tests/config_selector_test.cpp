#include "galenarelay/config/configuration.h"
#include "galenarelay/config/selector.h"

#include <cppunit/extensions/HelperMacros.h>

namespace galenarelay::tests {

using common::capture;
using common::ResultCode;
using config::Configuration;
using config::Selector;

class SelectorTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SelectorTest);
  CPPUNIT_TEST(testMatches_termKinds_followTheGrammar);
  CPPUNIT_TEST(testParse_faultyText_isRefused);
  CPPUNIT_TEST(testConfiguration_jsonForm_roundTrips);
  CPPUNIT_TEST(testConfiguration_malformedJson_isRefused);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against sending traffic to an upstream that the selector excludes.
  void testMatches_termKinds_followTheGrammar() {
    struct Row {
      const char *Text;
      bool Matches;
    };
    const Row Rows[] = {
        {"role=desk", true},
        {" role = desk ", true},
        {"role=warranty", false},
        {"role!=warranty", true},
        {"role!=desk", false},
        {"spare!=yes", true},
        {"role in (desk,shop)", true},
        {"role in ( shop )", false},
        {"role notin (desk)", false},
        {"spare notin (yes)", true},
        {"role", true},
        {"spare", false},
        {"!spare", true},
        {"!role", false},
        {"id=u1,zone=a", true},
        {"id in (u2,u3)", false},
        {"zone notin (a)", false},
        {"role=desk,tier=gold", false},
        {"inside", false},
        {"in=x", false},
        {"role,tier!=gold", true},
    };
    for (const Row &Case : Rows) {
      const auto Parsed = capture([&] { return Selector::parse(Case.Text); });
      CPPUNIT_ASSERT_MESSAGE(Case.Text, Parsed);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Case.Text, Case.Matches,
                                   Parsed->matches({{"role", "desk"}}, "u1", "a"));
    }
    CPPUNIT_ASSERT(!Selector().matches({}, "u1", "a"));
  }

  // Guards against accepting a mistyped selector, which could silently select other upstreams.
  void testParse_faultyText_isRefused() {
    const std::string TooLong(config::MaxSelectorBytes + 1, 'a');
    const std::string Rows[] = {"",
                                " ",
                                "role=",
                                "=desk",
                                "role==desk",
                                "role=a,",
                                ",role=a",
                                "role a",
                                "role in desk",
                                "role in ()",
                                "role in (",
                                "role in (a",
                                "role in (a,)",
                                "!role=a",
                                "role of (a)",
                                "role=a b",
                                "role=\xc3\xa4",
                                "-role",
                                "role=a;tier=b",
                                TooLong};
    for (const std::string &Text : Rows) {
      const auto Parsed = capture([&] { return Selector::parse(Text); });
      CPPUNIT_ASSERT_MESSAGE(Text, !Parsed);
      CPPUNIT_ASSERT_MESSAGE(Text, Parsed.Failure.Code == ResultCode::SelectorSyntax);
    }
  }

  // Guards against a field that is lost when the document is serialized and parsed.
  void testConfiguration_jsonForm_roundTrips() {
    Configuration Value;
    Value.RevisionNumber = 7;
    Value.Services["desk"] = {{0x0a010001, 80}, "role=desk", std::chrono::seconds(3)};
    Value.UpstreamLabels["u1"] = {{"role", "desk"}};
    Value.AuditEntries.push_back({"e1", "rosa", 123, 7, "label set", nlohmann::json::array()});
    const auto Parsed = capture([&] { return config::configurationFromJson(toJson(Value)); });
    CPPUNIT_ASSERT(Parsed);
    CPPUNIT_ASSERT(Value == *Parsed);
    CPPUNIT_ASSERT(isEligible(Value.Services["desk"], Value, "u1", "a"));
    CPPUNIT_ASSERT(!isEligible(Value.Services["desk"], Value, "u2", "a"));
  }

  // Guards against a node that crashes on a malformed document or applies part of it.
  void testConfiguration_malformedJson_isRefused() {
    const char *Rows[] = {
        "[]",
        "null",
        "{}",
        R"({"revision":1,"services":{},"labels":{}})",
        R"({"revision":"1","services":{},"labels":{},"edits":[]})",
        R"({"revision":1,"services":{"a":{}},"labels":{},"edits":[]})",
        R"({"revision":1,"services":{"a":{"address":"x","selector":"a","deadline_ms":1}},"labels":{},"edits":[]})",
        R"({"revision":1,"services":{"a":{"address":"1.2.3.4:5","selector":"a","deadline_ms":0}},"labels":{},"edits":[]})",
        R"({"revision":1,"services":{},"labels":{"u":{"k":1}},"edits":[]})",
        R"({"revision":1,"services":{},"labels":{},"edits":[{}]})"};
    for (const char *Text : Rows) {
      const auto Parsed =
          capture([&] { return config::configurationFromJson(nlohmann::json::parse(Text)); });
      CPPUNIT_ASSERT_MESSAGE(Text, !Parsed);
      CPPUNIT_ASSERT_MESSAGE(Text, Parsed.Failure.Code == ResultCode::ConfigurationMalformed);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SelectorTest);

} // namespace galenarelay::tests
