#ifndef CHICORYVALE_BENCH_SCALE_REPORT_H_
#define CHICORYVALE_BENCH_SCALE_REPORT_H_

#include <cmath>
#include <cstdio>
#include <ctime>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace chicoryvale {

/// Group size for which the fits are evaluated.
inline constexpr double kTargetNodes = 3800;

/// Overhead of a datagram around its payload: frame, UDP and IP headers.
inline constexpr double kDatagramOverheadBytes = 37 + 28;

/// Returns the processor time that this process has used, in seconds.
inline double ProcessorSeconds() {
  return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

/// A least-squares fit of y = a + b * x.
struct Line {
  double a = 0;
  double b = 0;
  /// Fraction of the variance that the line explains.
  double r2 = 0;
};

inline Line FitLine(const std::vector<std::pair<double, double>>& points) {
  const auto n = static_cast<double>(points.size());
  double sx = 0;
  double sy = 0;
  double sxx = 0;
  double sxy = 0;
  double syy = 0;
  for (const auto& [x, y] : points) {
    sx += x;
    sy += y;
    sxx += x * x;
    sxy += x * y;
    syy += y * y;
  }
  const double vx = n * sxx - sx * sx;
  const double vy = n * syy - sy * sy;
  const double cov = n * sxy - sx * sy;
  Line line;
  line.b = cov / vx;
  line.a = (sy - line.b * sx) / n;
  line.r2 = vy == 0 ? 1 : cov * cov / (vx * vy);
  return line;
}

/// Prints the fits of a quantity over the group's size and over its logarithm,
/// each with its value at kTargetNodes.
inline void PrintFits(const std::string& name,
                      const std::vector<std::pair<double, double>>& points) {
  std::vector<std::pair<double, double>> logs;
  logs.reserve(points.size());
  for (const auto& [x, y] : points) logs.emplace_back(std::log2(x), y);
  const Line linear = FitLine(points);
  const Line logarithmic = FitLine(logs);
  std::printf(
      "%-28s %9.3f %+.3e * n (r2 %.2f) -> %9.3f | %9.3f %+8.3f * log2 n "
      "(r2 %.2f) -> %9.3f\n",
      name.c_str(), linear.a, linear.b, linear.r2,
      linear.a + linear.b * kTargetNodes, logarithmic.a, logarithmic.b,
      logarithmic.r2, logarithmic.a + logarithmic.b * std::log2(kTargetNodes));
}

}  // namespace chicoryvale

#endif  // CHICORYVALE_BENCH_SCALE_REPORT_H_
