#include "linear_fit.h"

#include <cmath>

namespace gaugevalve::lab {

LinearFit FitLine(const std::vector<FitPoint>& points) {
  const auto count = static_cast<double>(points.size());
  double size_sum = 0.0;
  double cost_sum = 0.0;
  for (const FitPoint& point : points) {
    size_sum += point.size;
    cost_sum += point.cost;
  }
  double covariance = 0.0;
  double variance = 0.0;
  for (const FitPoint& point : points) {
    covariance += (point.size - size_sum / count) * (point.cost - cost_sum / count);
    variance += (point.size - size_sum / count) * (point.size - size_sum / count);
  }
  LinearFit fit;
  fit.slope = covariance / variance;
  fit.offset = (cost_sum - fit.slope * size_sum) / count;
  double squares = 0.0;
  for (const FitPoint& point : points) {
    const double distance = point.cost - (fit.offset + fit.slope * point.size);
    squares += distance * distance;
  }
  fit.error = std::sqrt(squares / count) / (cost_sum / count);
  return fit;
}

}  // namespace gaugevalve::lab
