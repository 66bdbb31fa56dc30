// Runs a parser that must refuse its input and gives back what it reported.
#pragma once

#include <cppunit/TestAssert.h>

#include <string>

#include "gaugevalve/base/finding.h"

namespace gaugevalve::settings {

// Returns the text of all findings that `parse` throws; fails the test when it throws none.
template <class Parse>
std::string FindingsOf(Parse parse) {
  try {
    parse();
  } catch (const base::FindingsError& error) {
    return error.what();
  }
  CPPUNIT_FAIL("the input was accepted");
  return "";
}

}  // namespace gaugevalve::settings
