/// \file
/// Runs the unit tests; arguments name suites or tests. The RC_PARAMS
/// environment variable overrides the fixed seed of the fuzz tests, as in
/// RC_PARAMS="seed=7 max_success=5000".

#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TextOutputter.h>
#include <cppunit/extensions/TestFactoryRegistry.h>
#include <cppunit/ui/text/TestRunner.h>
#include <cstdlib>
#include <iostream>

int main(int aCount, char** aArguments)
{
  constexpr int kNoOverwrite = 0;
  setenv(
    "RC_PARAMS", "seed=20261204 max_success=1500 max_size=300", kNoOverwrite);
  CppUnit::TestRunner runner;
  runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
  CppUnit::TestResult result;
  CppUnit::TestResultCollector collector;
  CppUnit::BriefTestProgressListener progress;
  result.addListener(&collector);
  result.addListener(&progress);
  if (aCount < 2) {
    runner.run(result);
  }
  for (int i = 1; i < aCount; ++i) {
    runner.run(result, aArguments[i]);
  }
  CppUnit::TextOutputter(&collector, std::cout).write();
  return collector.wasSuccessful() ? 0 : 1;
}
