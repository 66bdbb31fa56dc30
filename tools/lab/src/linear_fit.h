// A straight line through measured points.
#pragma once

#include <vector>

namespace gaugevalve::lab {

// One measurement.
struct FitPoint {
  double size = 0.0;
  double cost = 0.0;
};

// The line `cost = offset + slope * size`, and how far the points are from it.
struct LinearFit {
  double offset = 0.0;
  double slope = 0.0;
  double error = 0.0;  // root mean square of the distances over the mean cost
};

// Returns the line with the least squares. Needs two sizes at least.
LinearFit FitLine(const std::vector<FitPoint>& points);

}  // namespace gaugevalve::lab
