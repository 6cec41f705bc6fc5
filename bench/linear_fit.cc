#include "linear_fit.h"

#include <algorithm>
#include <cmath>

namespace bramleyspoke {

LinearFit FitLine(const std::vector<FitPoint>& points) {
  double sum_x = 0;
  double sum_y = 0;
  double sum_xx = 0;
  double sum_xy = 0;
  double largest = 0;
  for (const FitPoint& point : points) {
    sum_x += point.x;
    sum_y += point.y;
    sum_xx += point.x * point.x;
    sum_xy += point.x * point.y;
    largest = std::max(largest, std::abs(point.y));
  }
  const auto count = static_cast<double>(points.size());
  LinearFit fit;
  fit.slope =
      (count * sum_xy - sum_x * sum_y) / (count * sum_xx - sum_x * sum_x);
  fit.at_zero = (sum_y - fit.slope * sum_x) / count;
  for (const FitPoint& point : points) {
    const double distance =
        std::abs(point.y - fit.at_zero - fit.slope * point.x);
    fit.residual = std::max(fit.residual, largest > 0 ? distance / largest : 0);
  }
  return fit;
}

}  // namespace bramleyspoke
