// The run's report as text.

#include <iomanip>
#include <sstream>

#include "run_report.h"

namespace gaugevalve::load {
namespace {

constexpr double kMedian = 0.5;
constexpr double kNinetyNinth = 0.99;
constexpr double kMicrosecondsPerMillisecond = 1000;
constexpr int kNameWidth = 24;
constexpr int kNumberWidth = 12;

double Milliseconds(base::Duration duration) {
  return static_cast<double>(duration.count()) / kMicrosecondsPerMillisecond;
}

void AppendService(std::ostream& out, const std::string& name, const ServiceReport& service) {
  out << "service " << name << "\n"
      << "  flows: " << service.flows_opened << " opened, " << service.flows_finished
      << " finished, " << service.BrokenFlows() << " broken\n";
  for (const auto& [cause, count] : service.flows_broken) {
    out << "    broken by " << ToString(cause) << ": " << count << "\n";
  }
  out << "  requests: " << service.requests_sent << " sent, " << service.answered << " answered, "
      << service.requests_sent - service.answered << " unanswered, " << service.retransmissions
      << " sent again\n"
      << "  answers: " << service.crossed << " crossed, " << service.duplicates << " duplicate, "
      << service.malformed << " malformed\n"
      << "  latency: median " << Milliseconds(service.latencies.Quantile(kMedian)) << " ms, p99 "
      << Milliseconds(service.latencies.Quantile(kNinetyNinth)) << " ms, largest "
      << Milliseconds(service.latencies.Largest()) << " ms\n"
      << "  imbalance (max/mean): flows " << service.FlowImbalance() << ", requests "
      << service.RequestImbalance() << "\n"
      << "  " << std::left << std::setw(kNameWidth) << "endpoint" << std::right
      << std::setw(kNumberWidth) << "flows" << std::setw(kNumberWidth) << "requests\n";
  for (const auto& [endpoint, counts] : service.endpoints) {
    out << "  " << std::left << std::setw(kNameWidth) << endpoint << std::right
        << std::setw(kNumberWidth) << counts.flows << std::setw(kNumberWidth) << counts.requests
        << "\n";
  }
}

}  // namespace

std::string FormatReport(const RunReport& report) {
  constexpr int kDecimals = 2;
  std::ostringstream out;
  out << std::fixed << std::setprecision(kDecimals);
  std::uint64_t broken = 0;
  std::uint64_t answered = 0;
  for (const auto& [name, service] : report.services) {
    AppendService(out, name, service);
    broken += service.BrokenFlows();
    answered += service.answered;
  }
  out << "total: " << answered << " requests served, " << broken << " broken flows (seed "
      << report.seed << ")\n";
  return out.str();
}

}  // namespace gaugevalve::load
