#include "chicory-load/load_report.h"

#include <array>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <sstream>

namespace chicoryvale {
namespace {

/// A quantile of the latencies in a report, with its name.
struct NamedQuantile {
  const char* name;
  double fraction;
};

constexpr std::array<NamedQuantile, 5> kQuantiles = {
    {{"p50", 0.5}, {"p90", 0.9}, {"p99", 0.99}, {"p99.9", 0.999}, {"max", 1}}};

double Milliseconds(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

double Ratio(std::uint64_t numerator, std::uint64_t denominator) {
  return denominator == 0 ? 0
                          : static_cast<double>(numerator) /
                                static_cast<double>(denominator);
}

CallStatistics Total(const LoadReport& report) {
  CallStatistics total;
  for (const CallStatistics& stream : report.streams) total.Add(stream);
  return total;
}

// Returns the number of sub-requests that the stand-ins received per shard that
// was asked; 0 if there are no stand-ins.
double SubRequestsPerShard(const LoadReport& report,
                           const CallStatistics& total) {
  const auto received = report.standin_counters.find("received");
  return received == report.standin_counters.end()
             ? 0
             : Ratio(received->second, total.ShardsAsked());
}

nlohmann::json ToJson(const CallStatistics& calls) {
  nlohmann::json json = {
      {"sent", calls.Sent()},
      {"not_sent", calls.Unsent()},
      {"answers", calls.Answers()},
      {"whole", calls.CompleteAnswers()},
      {"shards_covered", calls.ShardsCovered()},
      {"shards_asked", calls.ShardsAsked()},
      {"coverage", Ratio(calls.ShardsCovered(), calls.ShardsAsked())},
      {"errors", calls.Errors()}};
  for (const NamedQuantile& quantile : kQuantiles) {
    json["latency_ms"][quantile.name] =
        Milliseconds(calls.Latency(quantile.fraction));
  }
  return json;
}

void AddRow(const std::string& name, const CallStatistics& calls,
            std::ostringstream* table) {
  constexpr int kNameWidth = 36;
  constexpr int kCountWidth = 9;
  constexpr int kLatencyWidth = 9;
  *table << std::left << std::setw(kNameWidth) << name << std::right
         << std::setw(kCountWidth) << calls.Sent() << std::setw(kCountWidth)
         << calls.Unsent() << std::setw(kCountWidth) << calls.Answers()
         << std::setw(kCountWidth) << calls.CompleteAnswers() << std::fixed
         << std::setprecision(3) << std::setw(kCountWidth)
         << 100 * Ratio(calls.ShardsCovered(), calls.ShardsAsked())
         << std::setprecision(2);
  for (const NamedQuantile& quantile : kQuantiles) {
    *table << std::setw(kLatencyWidth)
           << Milliseconds(calls.Latency(quantile.fraction));
  }
  *table << "\n";
  for (const auto& [error, count] : calls.Errors()) {
    *table << "    " << error << ": " << count << "\n";
  }
}

void AddCounters(const char* title,
                 const std::map<std::string, std::uint64_t>& counters,
                 std::ostringstream* table) {
  if (counters.empty()) return;
  *table << "\n" << title << "\n";
  for (const auto& [name, value] : counters) {
    *table << "    " << name << " " << value << "\n";
  }
}

}  // namespace

std::string FormatTable(const LoadReport& report) {
  const CallStatistics total = Total(report);
  std::ostringstream table;
  table << "stream                                  sent not sent  answers"
           "    whole   cover%   p50 ms   p90 ms   p99 ms p99.9 ms   max ms\n";
  for (std::size_t i = 0; i < report.streams.size(); ++i) {
    const CallStream& stream = report.plan.streams[i];
    AddRow(stream.path.substr(1) + " " + stream.workspace, report.streams[i],
           &table);
  }
  if (report.streams.size() > 1) AddRow("all", total, &table);
  table << "\nelapsed " << ToSeconds(report.elapsed) << " s, seed "
        << report.plan.seed << "\n";
  if (!report.standin_counters.empty()) {
    table << std::setprecision(4) << "sub-requests sent per needed "
          << SubRequestsPerShard(report, total) << "\n";
  }
  if (report.unreachable > 0) {
    table << "counters that could not be read: " << report.unreachable << "\n";
  }
  AddCounters("entries", report.entry_counters, &table);
  AddCounters("stand-ins", report.standin_counters, &table);
  return table.str();
}

std::string FormatJson(const LoadReport& report) {
  const CallStatistics total = Total(report);
  nlohmann::json json = {{"seed", report.plan.seed},
                         {"elapsed_s", ToSeconds(report.elapsed)},
                         {"all", ToJson(total)},
                         {"entry_counters", report.entry_counters},
                         {"standin_counters", report.standin_counters},
                         {"counters_unreachable", report.unreachable}};
  if (!report.standin_counters.empty()) {
    json["sent_per_needed"] = SubRequestsPerShard(report, total);
  }
  json["streams"] = nlohmann::json::array();
  for (std::size_t i = 0; i < report.streams.size(); ++i) {
    nlohmann::json stream = ToJson(report.streams[i]);
    stream["path"] = report.plan.streams[i].path;
    stream["workspace"] = report.plan.streams[i].workspace;
    json["streams"].push_back(std::move(stream));
  }
  return json.dump() + "\n";
}

}  // namespace chicoryvale
