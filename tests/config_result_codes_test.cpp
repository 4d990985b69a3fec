#include "galenarelay/common/result_code.h"

#include <cppunit/extensions/HelperMacros.h>

#include <fstream>
#include <string>
#include <vector>

namespace galenarelay::tests {

class ResultCodesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ResultCodesTest);
  CPPUNIT_TEST(testTable_pageAndCode_agree);
  CPPUNIT_TEST(testTable_codes_riseAndFitAnExitCode);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a documentation page of result codes that differs from the table in the code.
  void testTable_pageAndCode_agree() {
    std::ifstream Page(std::string(GALENARELAY_SOURCE_DIR) + "/docs/result-codes.md");
    std::vector<std::string> Documented;
    for (std::string Line; std::getline(Page, Line);) {
      const bool Numbered = Line.size() > 2 && Line[0] == '|' && Line[2] >= '0' && Line[2] <= '9';
      if (Numbered)
        Documented.push_back(Line);
    }
    std::vector<std::string> Expected;
    for (const common::ResultCodeInfo &Row : common::resultCodes())
      Expected.push_back("| " + std::to_string(static_cast<int>(Row.Code)) + " | `" +
                         std::string(Row.Name) + "` | " + std::string(Row.Meaning) + " |");
    CPPUNIT_ASSERT_EQUAL(Expected.size(), Documented.size());
    for (std::size_t I = 0; I < Expected.size(); ++I)
      CPPUNIT_ASSERT_EQUAL(Expected[I], Documented[I]);
  }

  // Guards against duplicate exit codes and against exit codes of 126 and above, which shells use
  // themselves.
  void testTable_codes_riseAndFitAnExitCode() {
    int Last = -1;
    for (const common::ResultCodeInfo &Row : common::resultCodes()) {
      CPPUNIT_ASSERT_MESSAGE(std::string(Row.Name), static_cast<int>(Row.Code) > Last);
      Last = static_cast<int>(Row.Code);
    }
    CPPUNIT_ASSERT(Last < 126);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ResultCodesTest);

} // namespace galenarelay::tests
