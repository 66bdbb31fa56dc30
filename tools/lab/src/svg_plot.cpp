#include "svg_plot.h"

#include <algorithm>
#include <array>
#include <iomanip>

namespace gaugevalve::lab {
namespace {

// All lengths are in pixels.
constexpr double kWidth = 900;
constexpr double kHeight = 420;
constexpr double kLeft = 70;
constexpr double kRight = 160;  // room for the legend
constexpr double kTop = 40;
constexpr double kBottom = 50;
constexpr double kLegendLine = 18;
constexpr int kTicks = 5;

// Colours that the colour-blind can tell apart (Okabe and Ito).
constexpr std::array<const char*, 8> kColours = {"#0072B2", "#D55E00", "#009E73", "#CC79A7",
                                                 "#E69F00", "#56B4E9", "#000000", "#999999"};

// Maps values to pixels.
class Axis {
 public:
  Axis(double least, double greatest, double from, double to)
      : least_(least), span_(greatest > least ? greatest - least : 1.0), from_(from), to_(to) {}

  double Pixel(double value) const { return from_ + (value - least_) / span_ * (to_ - from_); }
  double Tick(int index) const { return least_ + span_ * index / kTicks; }

 private:
  double least_;
  double span_;
  double from_;
  double to_;
};

template <class Coordinate>
Axis MakeAxis(const std::vector<PlotCurve>& curves, const Coordinate& coordinate, double from,
              double to) {
  double least = 0.0;
  double greatest = 0.0;
  bool first = true;
  for (const PlotCurve& curve : curves) {
    for (const PlotPoint& point : curve.points) {
      const double value = coordinate(point);
      least = first ? value : std::min(least, value);
      greatest = first ? value : std::max(greatest, value);
      first = false;
    }
  }
  return {least, greatest, from, to};
}

void WriteText(std::ostream& stream, double x, double y, const std::string& anchor,
               const std::string& text) {
  stream << "<text x=\"" << x << "\" y=\"" << y << "\" text-anchor=\"" << anchor << "\">" << text
         << "</text>\n";
}

void WriteTicks(std::ostream& stream, const Axis& x_axis, const Axis& y_axis) {
  constexpr double kGap = 18;
  for (int index = 0; index <= kTicks; ++index) {
    const double x = x_axis.Pixel(x_axis.Tick(index));
    const double y = y_axis.Pixel(y_axis.Tick(index));
    stream << "<line x1=\"" << kLeft << "\" y1=\"" << y << "\" x2=\"" << kWidth - kRight
           << "\" y2=\"" << y << "\" stroke=\"#dddddd\"/>\n";
    stream << "<text x=\"" << x << "\" y=\"" << kHeight - kBottom + kGap
           << "\" text-anchor=\"middle\">" << x_axis.Tick(index) << "</text>\n";
    stream << "<text x=\"" << kLeft - kGap / 2 << "\" y=\"" << y << "\" text-anchor=\"end\">"
           << y_axis.Tick(index) << "</text>\n";
  }
}

void WriteCurve(std::ostream& stream, const PlotCurve& curve, const char* colour,
                const Axis& x_axis, const Axis& y_axis) {
  stream << "<polyline fill=\"none\" stroke=\"" << colour << "\" stroke-width=\"1.5\" points=\"";
  for (const PlotPoint& point : curve.points) {
    stream << x_axis.Pixel(point.x) << ',' << y_axis.Pixel(point.y) << ' ';
  }
  stream << "\"/>\n";
}

}  // namespace

void WriteSvgPlot(const PlotLabels& labels, const std::vector<PlotCurve>& curves,
                  std::ostream& stream) {
  const Axis x_axis = MakeAxis(
      curves, [](const PlotPoint& point) { return point.x; }, kLeft, kWidth - kRight);
  const Axis y_axis = MakeAxis(
      curves, [](const PlotPoint& point) { return point.y; }, kHeight - kBottom, kTop);
  stream << std::fixed << std::setprecision(2);
  stream << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << kWidth << "\" height=\""
         << kHeight << "\" font-family=\"sans-serif\" font-size=\"12\">\n"
         << "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n";
  WriteText(stream, kWidth / 2, kTop / 2, "middle", labels.title);
  WriteText(stream, kWidth / 2, kHeight - kBottom / 4, "middle", labels.x_axis);
  WriteText(stream, kLeft, kTop - kLegendLine / 3, "end", labels.y_axis);
  WriteTicks(stream, x_axis, y_axis);
  for (std::size_t index = 0; index < curves.size(); ++index) {
    const char* colour = kColours[index % kColours.size()];
    WriteCurve(stream, curves[index], colour, x_axis, y_axis);
    const double y = kTop + kLegendLine * static_cast<double>(index + 1);
    stream << "<g fill=\"" << colour << "\">";
    WriteText(stream, kWidth - kRight + kLegendLine, y, "start", curves[index].name);
    stream << "</g>\n";
  }
  stream << "</svg>\n";
}

}  // namespace gaugevalve::lab
