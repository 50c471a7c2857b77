#include "acaciasill/net/load_results.h"

#include <algorithm>
#include <numeric>

#include <nlohmann/json.hpp>

namespace acaciasill::net {
namespace {

using support::duration;
using support::milliseconds;

constexpr std::size_t windows_per_second = std::chrono::seconds(1) / window_length;

void add_to_series(std::vector<std::uint32_t>& series, duration moment) {
  const auto window = static_cast<std::size_t>(std::max(moment, duration{0}) / window_length);
  if (window >= series.size()) {
    series.resize(window + 1);
  }
  ++series[window];
}

void merge_series(std::vector<std::uint32_t>& target, const std::vector<std::uint32_t>& other) {
  target.resize(std::max(target.size(), other.size()));
  for (std::size_t index = 0; index < other.size(); ++index) {
    target[index] += other[index];
  }
}

double in_ms(support::microseconds span) {
  constexpr double us_per_ms = 1000.0;
  return static_cast<double>(span.count()) / us_per_ms;
}

nlohmann::json latency_json(const load_histogram& latency) {
  return {{"p50", in_ms(latency.quantile(0.5))},  {"p90", in_ms(latency.quantile(0.9))},
          {"p99", in_ms(latency.quantile(0.99))}, {"p999", in_ms(latency.quantile(0.999))},
          {"max", in_ms(latency.max())},          {"count", latency.count()}};
}

nlohmann::json tally_json(const class_tally& tally) {
  nlohmann::json out = {{"offered", tally.offered},
                        {"attempts", tally.attempts},
                        {"refusals", tally.refusals},
                        {"latency_ms", latency_json(tally.latency)}};
  for (std::size_t index = 0; index < call_result_count; ++index) {
    out[result_name(static_cast<call_result>(index))] = tally.results[index];
  }
  return out;
}

nlohmann::json class_json(const load_class& call_class) {
  return {{"class", call_class.name},
          {"service", call_class.service},
          {"organisation", call_class.organisation},
          {"priority", call_class.priority}};
}

nlohmann::json summary_json(const load_plan& plan, const load_results& results) {
  class_tally total;
  for (std::size_t class_index = 0; class_index < plan.classes.size(); ++class_index) {
    for (std::size_t phase = 0; phase < plan.phases.size(); ++phase) {
      total.merge(results.tally(class_index, phase));
    }
  }
  auto out = tally_json(total);
  const double length_s = static_cast<double>(total_length(plan).count()) / 1000.0;
  out["type"] = "summary";
  out["length_s"] = length_s;
  out["goodput_per_s"] = static_cast<double>(total.count(call_result::useful)) / length_s;
  out["offered_per_s"] = static_cast<double>(total.offered) / length_s;
  out["foreign_answers"] = results.foreign_answers;
  out["cut_answers"] = results.cut_answers;
  const auto recovery = recovery_time(total_useful(plan, results), plan.recovery);
  out["recovery_ms"] = recovery ? nlohmann::json(recovery->count()) : nlohmann::json();
  return out;
}

} // namespace

const char* result_name(call_result result) {
  constexpr std::array<const char*, call_result_count> names = {
      "useful", "late", "not_run", "unknown", "failed", "timeout", "broken"};
  return names[static_cast<std::size_t>(result)];
}

void class_tally::merge(const class_tally& other) {
  offered += other.offered;
  attempts += other.attempts;
  for (std::size_t index = 0; index < call_result_count; ++index) {
    results[index] += other.results[index];
  }
  for (const auto& [code, count] : other.refusals) {
    refusals[code] += count;
  }
  latency.merge(other.latency);
}

void class_series::merge(const class_series& other) {
  merge_series(offered, other.offered);
  merge_series(useful, other.useful);
}

load_results::load_results(const load_plan& plan)
    : tallies_(plan.classes.size(), std::vector<class_tally>(plan.phases.size())),
      series_(plan.classes.size()) {}

void load_results::add_offered(std::size_t class_index, std::size_t phase, duration arrival) {
  ++tallies_[class_index][phase].offered;
  add_to_series(series_[class_index].offered, arrival);
}

void load_results::add_useful(std::size_t class_index, std::size_t phase, duration arrival,
                              duration answer) {
  ++tallies_[class_index][phase].count(call_result::useful);
  tallies_[class_index][phase].latency.add(answer - arrival);
  add_to_series(series_[class_index].useful, answer);
}

void load_results::add_late(std::size_t class_index, std::size_t phase, duration latency) {
  ++tallies_[class_index][phase].count(call_result::late);
  tallies_[class_index][phase].latency.add(latency);
}

void load_results::merge(const load_results& other) {
  for (std::size_t class_index = 0; class_index < tallies_.size(); ++class_index) {
    for (std::size_t phase = 0; phase < tallies_[class_index].size(); ++phase) {
      tallies_[class_index][phase].merge(other.tallies_[class_index][phase]);
    }
    series_[class_index].merge(other.series_[class_index]);
  }
  foreign_answers += other.foreign_answers;
  cut_answers += other.cut_answers;
  call_log += other.call_log;
}

std::optional<milliseconds> recovery_time(const std::vector<std::uint32_t>& useful,
                                          const recovery_spans& spans) {
  const auto from = static_cast<std::size_t>(spans.baseline_begin / window_length);
  const auto to = static_cast<std::size_t>(spans.baseline_end / window_length);
  if (to <= from || to > useful.size()) {
    return std::nullopt;
  }
  const auto iterator_at = [&useful](std::size_t window) {
    return useful.begin() + static_cast<std::ptrdiff_t>(window);
  };
  const double baseline =
      static_cast<double>(std::accumulate(iterator_at(from), iterator_at(to), 0ULL)) /
      static_cast<double>(to - from);
  const double recovered_count = recovery_threshold * baseline * windows_per_second;
  const auto end = static_cast<std::size_t>(spans.fault_end / window_length);
  for (std::size_t window = end; window + windows_per_second <= useful.size(); ++window) {
    const auto goodput =
        std::accumulate(iterator_at(window), iterator_at(window + windows_per_second), 0ULL);
    if (static_cast<double>(goodput) >= recovered_count) {
      return window_length * static_cast<std::int64_t>(window - end);
    }
  }
  return std::nullopt;
}

std::vector<std::uint32_t> total_useful(const load_plan& plan, const load_results& results) {
  std::vector<std::uint32_t> total(static_cast<std::size_t>(total_length(plan) / window_length));
  for (std::size_t class_index = 0; class_index < plan.classes.size(); ++class_index) {
    merge_series(total, results.series(class_index).useful);
  }
  return total;
}

std::string format_results(const load_plan& plan, const load_results& results) {
  std::string out;
  for (std::size_t class_index = 0; class_index < plan.classes.size(); ++class_index) {
    for (std::size_t phase = 0; phase < plan.phases.size(); ++phase) {
      auto row = class_json(plan.classes[class_index]);
      row.update(tally_json(results.tally(class_index, phase)));
      row["type"] = "class";
      row["phase"] = plan.phases[phase].name;
      row["length_s"] = static_cast<double>(plan.phases[phase].length.count()) / 1000.0;
      out.append(row.dump()).append("\n");
    }
    auto series = class_json(plan.classes[class_index]);
    series["type"] = "series";
    series["window_ms"] = window_length.count();
    series["offered"] = results.series(class_index).offered;
    series["useful"] = results.series(class_index).useful;
    out.append(series.dump()).append("\n");
  }
  return out.append(summary_json(plan, results).dump()).append("\n");
}

} // namespace acaciasill::net
