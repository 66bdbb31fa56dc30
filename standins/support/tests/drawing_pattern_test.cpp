#include "gaugevalve/standins/drawing_pattern.h"

#include <cppunit/extensions/HelperMacros.h>

namespace gaugevalve::standins {
namespace {

std::span<const std::uint8_t> AsBytes(const std::string& text) {
  return {reinterpret_cast<const std::uint8_t*>(text.data()), text.size()};
}

class DrawingPatternTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DrawingPatternTest);
  CPPUNIT_TEST(PiecesJoinToTheWhole);
  CPPUNIT_TEST(ShiftedAndSwappedBytesAreFound);
  CPPUNIT_TEST(OneChangedByteIsFoundAtItsOffset);
  CPPUNIT_TEST_SUITE_END();

 public:
  void PiecesJoinToTheWhole() {
    const std::string whole = DrawingBytes(7, 0, 1000);
    CPPUNIT_ASSERT_EQUAL(whole, DrawingBytes(7, 0, 333) + DrawingBytes(7, 333, 667));
    CPPUNIT_ASSERT(!FindDrawingMismatch(7, 0, AsBytes(whole)));
  }

  void ShiftedAndSwappedBytesAreFound() {
    CPPUNIT_ASSERT(FindDrawingMismatch(7, 1, AsBytes(DrawingBytes(7, 0, 64))).has_value());
    CPPUNIT_ASSERT(FindDrawingMismatch(8, 0, AsBytes(DrawingBytes(7, 0, 64))).has_value());
  }

  void OneChangedByteIsFoundAtItsOffset() {
    std::string bytes = DrawingBytes(3, 100, 50);
    bytes[20] = static_cast<char>(bytes[20] + 1);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{120}, FindDrawingMismatch(3, 100, AsBytes(bytes)).value());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DrawingPatternTest);

}  // namespace
}  // namespace gaugevalve::standins
