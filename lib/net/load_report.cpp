#include "acaciasill/net/load_report.h"

#include <algorithm>
#include <array>
#include <sstream>

#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/strings/str_replace.h"
#include "acaciasill/support/result_code.h"

namespace acaciasill::net {
namespace {

using nlohmann::json;

// Size of each chart and its margin for the axes, in pixels.
constexpr int chart_width = 560;
constexpr int chart_height = 220;
constexpr int margin = 40;
constexpr double bar_height = 18.0;
constexpr double windows_per_second = 10.0;
const std::array<const char*, 8> colours = {"#1f6fb4", "#d0591c", "#2b8a3e", "#8a2b6d",
                                            "#a07d12", "#3c8f92", "#b0303a", "#555577"};

struct parsed_results {
  std::string name;
  std::vector<json> classes;
  std::vector<json> series;
  json summary;
};

std::string escape(const std::string& text) {
  return absl::StrReplaceAll(text,
                             {{"&", "&amp;"}, {"<", "&lt;"}, {">", "&gt;"}, {"\"", "&quot;"}});
}

// Groups the lines by their type. Returns false if a line is not an object with a type, or if there
// is no summary.
bool parse_lines(const result_file& file, parsed_results& target) {
  target.name = file.name;
  std::istringstream lines(file.text);
  std::string line;
  while (std::getline(lines, line)) {
    auto row = json::parse(line, nullptr, false);
    if (!row.is_object() || !row.contains("type") || !row["type"].is_string()) {
      return false;
    }
    const auto type = row["type"].get<std::string>();
    if (type == "class") {
      target.classes.push_back(std::move(row));
      continue;
    }
    if (type == "series") {
      target.series.push_back(std::move(row));
      continue;
    }
    target.summary = std::move(row);
  }
  return target.summary.is_object();
}

std::string text_element(double x, double y, const std::string& text) {
  return absl::StrFormat("<text x=\"%.1f\" y=\"%.1f\">%s</text>\n", x, y, escape(text));
}

std::string open_svg(int height) {
  return absl::StrFormat("<svg width=\"%d\" height=\"%d\" viewBox=\"0 0 %d %d\">\n", chart_width,
                         height, chart_width, height);
}

// Moving average over the last second, in calls per second. It smooths the noise of 100 ms windows.
std::vector<double> moving_average(const json& windows) {
  std::vector<double> out;
  double sum = 0.0;
  constexpr std::size_t width = 10;
  for (std::size_t index = 0; index < windows.size(); ++index) {
    sum += windows[index].get<double>();
    if (index >= width) {
      sum -= windows[index - width].get<double>();
    }
    const double window_count = static_cast<double>(std::min(index + 1, width));
    out.push_back(sum / window_count * windows_per_second);
  }
  return out;
}

std::string polyline(const std::vector<double>& values, double max_value, const char* colour) {
  std::string points;
  const double step =
      (chart_width - 2.0 * margin) / std::max<double>(1.0, static_cast<double>(values.size()) - 1);
  for (std::size_t index = 0; index < values.size(); ++index) {
    const double x = margin + step * static_cast<double>(index);
    const double y =
        chart_height - margin - values[index] / max_value * (chart_height - 2.0 * margin);
    absl::StrAppendFormat(&points, "%.1f,%.1f ", x, y);
  }
  return absl::StrFormat("<polyline fill=\"none\" stroke=\"%s\" points=\"%s\"/>\n", colour, points);
}

double max_goodput(const std::vector<parsed_results>& all) {
  double max_value = 1.0;
  for (const auto& results : all) {
    for (const auto& series : results.series) {
      for (const auto value : moving_average(series.at("useful"))) {
        max_value = std::max(max_value, value);
      }
    }
  }
  return max_value;
}

std::string goodput_chart(const parsed_results& results, double max_value) {
  std::string svg = open_svg(chart_height);
  std::size_t series_index = 0;
  for (const auto& series : results.series) {
    const auto* colour = colours[series_index % colours.size()];
    svg += polyline(moving_average(series.at("useful")), max_value, colour);
    absl::StrAppendFormat(&svg, "<text x=\"%d\" y=\"%d\" fill=\"%s\">%s</text>\n",
                          margin + 90 * static_cast<int>(series_index % 5),
                          14 + 14 * static_cast<int>(series_index / 5), colour,
                          escape(series.at("class").get<std::string>()));
    ++series_index;
  }
  svg += text_element(2, margin, absl::StrFormat("%.0f/s", max_value));
  svg += text_element(2, chart_height - margin, "0");
  const auto seconds = results.summary.at("length_s").get<double>();
  svg += text_element(chart_width - margin, chart_height - margin + 16,
                      absl::StrFormat("%.1f s", seconds));
  return svg + "</svg>\n";
}

// Bar chart with the fraction of offered calls that were useful, by class and phase.
std::string useful_fraction_chart(const parsed_results& results) {
  const int height = static_cast<int>(bar_height * static_cast<double>(results.classes.size())) + 8;
  std::string svg = open_svg(height);
  constexpr double label_width = 190.0;
  constexpr double bar_width = 260.0;
  double y = 0.0;
  for (const auto& row : results.classes) {
    const auto offered = row.at("offered").get<double>();
    const double fraction = offered > 0.0 ? row.at("useful").get<double>() / offered : 0.0;
    absl::StrAppendFormat(
        &svg, "<rect x=\"%.1f\" y=\"%.1f\" width=\"%.1f\" height=\"14\" fill=\"#eee\"/>",
        label_width, y, bar_width);
    absl::StrAppendFormat(
        &svg, "<rect x=\"%.1f\" y=\"%.1f\" width=\"%.1f\" height=\"14\" fill=\"%s\"/>\n",
        label_width, y, bar_width * fraction, colours[2]);
    svg += text_element(
        0, y + 12,
        absl::StrCat(row.at("class").get<std::string>(), ", ", row.at("phase").get<std::string>()));
    svg += text_element(label_width + bar_width + 6, y + 12,
                        absl::StrFormat("%.1f%% of %.0f", fraction * 100.0, offered));
    y += bar_height;
  }
  return svg + "</svg>\n";
}

std::string latency_table(const parsed_results& results) {
  std::string out = "<table><tr><th>class</th><th>phase</th><th>p50</th><th>p90</th><th>p99</th>"
                    "<th>p99.9</th><th>max</th><th>refusals</th></tr>\n";
  for (const auto& row : results.classes) {
    const auto& latency = row.at("latency_ms");
    absl::StrAppend(&out, "<tr><td>", escape(row.at("class").get<std::string>()), "</td><td>",
                    escape(row.at("phase").get<std::string>()), "</td>");
    for (const auto* name : {"p50", "p90", "p99", "p999", "max"}) {
      absl::StrAppendFormat(&out, "<td>%.2f</td>", latency.at(name).get<double>());
    }
    std::string refusals;
    for (const auto& [code, count] : row.at("refusals").items()) {
      absl::StrAppend(&refusals, code, ": ", count.get<std::uint64_t>(), " ");
    }
    absl::StrAppend(&out, "<td>", escape(refusals), "</td></tr>\n");
  }
  return out + "</table>\n";
}

std::string summary_text(const parsed_results& results) {
  const auto& summary = results.summary;
  const auto& recovery = summary.at("recovery_ms");
  const auto recovered =
      recovery.is_number() ? absl::StrCat(recovery.get<std::int64_t>(), " ms") : "not measured";
  return absl::StrFormat("<p>offered %.1f/s, goodput %.1f/s, attempts %d, recovery %s, answers "
                         "that belong to another call: %d</p>\n",
                         summary.at("offered_per_s").get<double>(),
                         summary.at("goodput_per_s").get<double>(),
                         summary.at("attempts").get<std::int64_t>(), recovered,
                         summary.at("foreign_answers").get<std::int64_t>());
}

std::string results_section(const parsed_results& results, double max_value) {
  return absl::StrCat("<section><h2>", escape(results.name), "</h2>\n", summary_text(results),
                      "<h3>Goodput by class</h3>\n", goodput_chart(results, max_value),
                      "<h3>Useful fraction of offered calls</h3>\n", useful_fraction_chart(results),
                      "<h3>Latency in ms, and refusals</h3>\n", latency_table(results),
                      "</section>\n");
}

} // namespace

absl::StatusOr<std::string> format_report(const std::vector<result_file>& files) {
  std::vector<parsed_results> all;
  for (const auto& file : files) {
    if (!parse_lines(file, all.emplace_back())) {
      return support::make_error(support::result_code::wrong_type,
                                 file.name + " is not output of acaciasill-load");
    }
  }
  std::string page = "<!doctype html><html><head><meta charset=\"utf-8\"><title>acaciasill load"
                     "</title><style>body{font:14px sans-serif}main{display:flex;gap:2em}"
                     "text{font:11px sans-serif}td,th{padding:1px 8px;text-align:right}"
                     "</style></head><body><main>\n";
  try {
    const double max_value = max_goodput(all);
    for (const auto& results : all) {
      page += results_section(results, max_value);
    }
  } catch (const json::exception& error) {
    return support::make_error(support::result_code::wrong_type, error.what());
  }
  return page + "</main></body></html>\n";
}

} // namespace acaciasill::net
