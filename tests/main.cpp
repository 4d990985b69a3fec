#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <iostream>
#include <string>

/// Runs all tests, or only the one whose path is given (for example "SelectorTest").
int main(int ArgumentCount, char **Arguments) {
  CppUnit::TestResult Controller;
  CppUnit::TestResultCollector Collector;
  CppUnit::BriefTestProgressListener Progress;
  Controller.addListener(&Collector);
  Controller.addListener(&Progress);
  CppUnit::TestRunner Runner;
  Runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
  Runner.run(Controller, ArgumentCount > 1 ? std::string(Arguments[1]) : std::string());
  CppUnit::CompilerOutputter(&Collector, std::cerr).write();
  const int Failed = Collector.testFailuresTotal();
  std::cout << Collector.runTests() - Failed << " passed, " << Failed << " failed\n";
  return Collector.wasSuccessful() ? 0 : 1;
}
