#include "galenarelay/common/log.h"

#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestFailure.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <regex>
#include <set>
#include <string>

namespace {

/// The tests that KNOWN-RED.txt lists as failing, as "Fixture::test".
std::set<std::string> knownRedTests() {
  std::ifstream File(GALENARELAY_SOURCE_DIR "/KNOWN-RED.txt");
  const std::string Text{std::istreambuf_iterator<char>(File), {}};
  const std::regex Entry(R"(galenarelay-tests (\w+), (test\w+))");
  std::set<std::string> Names;
  for (std::sregex_iterator It(Text.begin(), Text.end(), Entry), End; It != End; ++It)
    Names.insert((*It)[1].str() + "::" + (*It)[2].str());
  return Names;
}

} // namespace

/// Runs all tests, or only one fixture (for example "SettingsTest"). Exits with 0 if no test fails
/// but those of KNOWN-RED.txt, which are printed.
int main(int ArgumentCount, char **Arguments) {
  galenarelay::common::configureLog("galenarelay-tests", galenarelay::common::LogLevel::Error);
  CppUnit::TestResult Controller;
  CppUnit::TestResultCollector Collector;
  CppUnit::BriefTestProgressListener Progress;
  Controller.addListener(&Collector);
  Controller.addListener(&Progress);
  CppUnit::TestRunner Runner;
  Runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
  const std::string Fixture = ArgumentCount > 1 ? Arguments[1] : "";
  Runner.run(Controller, Fixture.empty() ? Fixture : "galenarelay::tests::" + Fixture);
  CppUnit::CompilerOutputter(&Collector, std::cerr).write();
  const int Failed = Collector.testFailuresTotal();
  std::cout << Collector.runTests() - Failed << " passed, " << Failed << " failed\n";
  const auto KnownRed = knownRedTests();
  const auto &Failures = Collector.failures();
  const auto IsKnown = [&](const CppUnit::TestFailure *Failure) {
    const std::string Name = Failure->failedTestName();
    return std::any_of(KnownRed.begin(), KnownRed.end(),
                       [&Name](const std::string &Known) { return Name.ends_with("::" + Known); });
  };
  for (const CppUnit::TestFailure *Failure : Failures)
    if (IsKnown(Failure))
      std::cout << "known red: " << Failure->failedTestName() << "\n";
  return std::all_of(Failures.begin(), Failures.end(), IsKnown) ? 0 : 1;
}
