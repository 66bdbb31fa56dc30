// main() of every CppUnit test program: runs the registered tests, prints each name as it starts
// and a summary, and exits 0 only when at least one test ran and all passed.

#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <cstdlib>
#include <iostream>

int main() {
  CppUnit::TestResult controller;
  CppUnit::TestResultCollector collector;
  CppUnit::BriefTestProgressListener progress;
  controller.addListener(&collector);
  controller.addListener(&progress);

  CppUnit::TestRunner runner;
  runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
  runner.run(controller);

  CppUnit::CompilerOutputter outputter(&collector, std::cerr);
  outputter.write();
  const bool passed = collector.wasSuccessful() && collector.runTests() > 0;
  return passed ? EXIT_SUCCESS : EXIT_FAILURE;
}
