#include "galenarelay/common/log.h"

#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <iostream>
#include <string>

/// Runs all tests, or only one fixture (for example "SettingsTest").
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
  return Collector.wasSuccessful() ? 0 : 1;
}
