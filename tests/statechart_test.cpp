#include "galenarelay/statechart/charts.h"
#include "galenarelay/statechart/machine.h"

#include <cppunit/extensions/HelperMacros.h>

#include <fstream>

namespace galenarelay::tests {

using namespace statechart;
using common::capture;
using common::ResultCode;

class StatechartTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StatechartTest);
  CPPUNIT_TEST(testChartFiles_codeVocabulary_agree);
  CPPUNIT_TEST(testChart_faultyDocument_isRefused);
  CPPUNIT_TEST(testUpstream_drainThenStop_leavesOnlyWhenIdle);
  CPPUNIT_TEST(testMachine_inputAfterFinal_isIgnored);
  CPPUNIT_TEST_SUITE_END();

  static std::string chartPath(const std::string &Name) {
    return std::string(GALENARELAY_SOURCE_DIR) + "/charts/" + Name + ".json";
  }

  static nlohmann::json upstreamDocument() {
    std::ifstream File(chartPath("upstream"));
    return nlohmann::json::parse(File);
  }

  static Machine<UpstreamChart> upstreamMachine() {
    auto Table =
        capture([] { return loadChart(chartPath("upstream"), UpstreamChart::vocabulary()); });
    CPPUNIT_ASSERT(Table);
    return Machine<UpstreamChart>(std::make_shared<const ChartTable>(*Table));
  }

public:
  // Guards against a chart file and the enums that interpret it drifting apart.
  void testChartFiles_codeVocabulary_agree() {
    const std::pair<const char *, Vocabulary> Rows[] = {
        {"upstream", UpstreamChart::vocabulary()},
        {"flow", FlowChart::vocabulary()},
        {"configuration", ConfigurationChart::vocabulary()}};
    for (const auto &Row : Rows) {
      const auto Table = capture([&] { return loadChart(chartPath(Row.first), Row.second); });
      CPPUNIT_ASSERT_MESSAGE(Table.Failure.Detail, static_cast<bool>(Table));
      CPPUNIT_ASSERT_EQUAL(std::string(Row.first), Table->Name);
    }
  }

  // Guards against a program that starts on a chart with a gap.
  void testChart_faultyDocument_isRefused() {
    const std::pair<const char *, const char *> Rows[] = {
        {R"([{"op":"remove","path":"/states/active/drain"}])", "lacks event 'drain'"},
        {R"([{"op":"remove","path":"/states/active"}])", "state 'active' is missing"},
        {R"([{"op":"add","path":"/states/active/shout","value":{}}])", "unknown event 'shout'"},
        {R"([{"op":"add","path":"/states/lost","value":{}}])", "unknown state 'lost'"},
        {R"([{"op":"replace","path":"/states/active/stop/actions/0","value":"hop"}])",
         "unknown action 'hop'"},
        {R"([{"op":"replace","path":"/states/stopping/idle","value":{}}])", "can't be reached"},
    };
    for (const auto &Row : Rows) {
      const auto Faulty = upstreamDocument().patch(nlohmann::json::parse(Row.first));
      const auto Table =
          capture([&] { return chartFromJson(Faulty, UpstreamChart::vocabulary()); });
      CPPUNIT_ASSERT_MESSAGE(Row.first, !Table);
      CPPUNIT_ASSERT(Table.Failure.Code == ResultCode::ChartInvalid);
      CPPUNIT_ASSERT_MESSAGE(Table.Failure.Detail,
                             Table.Failure.Detail.find(Row.second) != std::string::npos);
    }
  }

  // Guards against an agent that exits while it still serves flows.
  void testUpstream_drainThenStop_leavesOnlyWhenIdle() {
    using Event = UpstreamChart::Event;
    using Action = UpstreamChart::Action;
    auto Life = upstreamMachine();
    (void)Life.process(Event::Reachable);
    CPPUNIT_ASSERT(Life.state() == UpstreamChart::State::Active);
    const auto Drained = Life.process(Event::Drain);
    CPPUNIT_ASSERT(Drained &&
                   *Drained == (std::vector{Action::RefuseNewFlows, Action::AnnounceLeaving}));
    (void)Life.process(Event::Idle);
    CPPUNIT_ASSERT(!Life.ended());
    (void)Life.process(Event::Stop);
    const auto Left = Life.process(Event::Idle);
    CPPUNIT_ASSERT(Left && *Left == std::vector{Action::Leave});
    CPPUNIT_ASSERT(Life.ended());
  }

  // Guards against an ended machine that acts again.
  void testMachine_inputAfterFinal_isIgnored() {
    using Event = UpstreamChart::Event;
    auto Life = upstreamMachine();
    (void)Life.process(Event::Stop);
    (void)Life.process(Event::Idle);
    CPPUNIT_ASSERT(Life.ended());
    CPPUNIT_ASSERT(!Life.process(Event::Reachable));
    CPPUNIT_ASSERT(Life.state() == UpstreamChart::State::Left);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StatechartTest);

} // namespace galenarelay::tests
