// Line plots as SVG, written directly: the program starts no other.
#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace gaugevalve::lab {

struct PlotPoint {
  double x = 0.0;
  double y = 0.0;
};

// One line of a plot.
struct PlotCurve {
  std::string name;
  std::vector<PlotPoint> points;
};

// What stands around the lines.
struct PlotLabels {
  std::string title;
  std::string x_axis;
  std::string y_axis;
};

// Writes the plot. Both axes run from the least to the greatest value; the same curves give the
// same bytes.
void WriteSvgPlot(const PlotLabels& labels, const std::vector<PlotCurve>& curves,
                  std::ostream& stream);

}  // namespace gaugevalve::lab
