#pragma once

#include <vector>

namespace bramleyspoke {

struct FitPoint {
  double x = 0;
  double y = 0;
};

/// A least-squares fit of a line.
struct LinearFit {
  double at_zero = 0;
  double slope = 0;
  /// Largest vertical distance of a point from the line, as a share of the
  /// largest |y|.
  double residual = 0;
};

LinearFit FitLine(const std::vector<FitPoint>& points);

}  // namespace bramleyspoke
