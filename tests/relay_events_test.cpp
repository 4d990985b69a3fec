#include <cppunit/extensions/HelperMacros.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <regex>
#include <set>
#include <string>

namespace galenarelay::tests {

/// Checks that docs/OPERATIONS.md lists every log event of the relay's sources.
class RelayEventsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RelayEventsTest);
  CPPUNIT_TEST(testEvents_inSources_areInOperationsTable);
  CPPUNIT_TEST_SUITE_END();

  static std::string read(const std::filesystem::path &Path) {
    std::ifstream File(Path);
    CPPUNIT_ASSERT_MESSAGE(Path.string(), File.good());
    return {std::istreambuf_iterator<char>(File), std::istreambuf_iterator<char>()};
  }

  static std::set<std::string> eventsOf(const std::string &Source) {
    static const std::regex Call(R"(log\(\s*(?:common::)?LogLevel::\w+,\s*"([a-z_]+)\")");
    std::set<std::string> Events;
    for (std::sregex_iterator Match(Source.begin(), Source.end(), Call), End; Match != End; ++Match)
      Events.insert((*Match)[1]);
    return Events;
  }

public:
  void testEvents_inSources_areInOperationsTable() {
    const std::filesystem::path Root = GALENARELAY_SOURCE_DIR;
    const std::string Table = read(Root / "docs/OPERATIONS.md");
    std::set<std::string> Events;
    for (const char *Name :
         {"include/galenarelay/node/relay_balancer.h", "include/galenarelay/node/relay_agent.h",
          "include/galenarelay/node/relay_program.h", "include/galenarelay/node/impl/relay_node.h",
          "include/galenarelay/node/impl/relay_store.h",
          "include/galenarelay/node/impl/newest_era.h",
          "include/galenarelay/node/impl/zone_evacuations.h", "platform/documents.cpp"})
      Events.merge(eventsOf(read(Root / Name)));
    CPPUNIT_ASSERT(Events.size() > 20);
    for (const auto &Event : Events)
      CPPUNIT_ASSERT_MESSAGE(Event, Table.find("`" + Event + "`") != std::string::npos);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RelayEventsTest);

} // namespace galenarelay::tests
