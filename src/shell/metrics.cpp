#include "fulmarshelf/detail/shell/metrics.hpp"

#include "fulmarshelf/detail/engine/systems.hpp" // proof_system

#include <boost/accumulators/accumulators.hpp> // accumulator_set
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <algorithm> // sort
#include <array>     // array
#include <sstream>   // ostringstream
#include <vector>    // vector

namespace fulmarshelf {

namespace {

namespace stats = boost::accumulators;

using TimeStatistics = stats::accumulator_set<
    double, stats::stats<stats::tag::count, stats::tag::sum,
                         stats::tag::extended_p_square_quantile>>;

constexpr std::array<double, 3> Quantiles = {0.5, 0.9, 0.99};
constexpr double MicrosPerSecond = 1e6;

// Upper bounds of the histogram buckets in seconds, from the time of one
// network hop to the longest common timeout, each about twice the previous one.
constexpr std::array<double, 13> BucketBounds = {
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3, 6};

TimeStatistics makeStatistics() {
  return TimeStatistics(stats::extended_p_square_probabilities = Quantiles);
}

struct NamedMeasure {
  Measure Measure_;
  const char *Name_;
  const char *Help_;
};

constexpr std::array<NamedMeasure, 3> Measures = {
    {{Measure::AnswerTime, "fulmarshelf_answer_seconds",
      "Time from a request's arrival to its answer"},
     {Measure::QueueTime, "fulmarshelf_queue_seconds",
      "Time that work waited for a slot"},
     {Measure::ServiceTime, "fulmarshelf_service_seconds",
      "Time that the backend server took"}}};

struct NamedValue {
  const char *Name_;
  const char *Type_;
  const char *Help_;
  double Value_;
};

void writeValue(std::ostringstream &Out, const NamedValue &Entry) {
  Out << "# HELP " << Entry.Name_ << ' ' << Entry.Help_ << "\n# TYPE "
      << Entry.Name_ << ' ' << Entry.Type_ << '\n'
      << Entry.Name_ << ' ' << Entry.Value_ << '\n';
}

std::size_t indexOf(Measure Value) { return static_cast<std::size_t>(Value); }

} // namespace

struct Metrics::Times {
  std::array<TimeStatistics, Measures.size()> Statistics_ = {
      makeStatistics(), makeStatistics(), makeStatistics()};
  std::array<std::array<std::uint64_t, BucketBounds.size()>, Measures.size()>
      Buckets_{}; ///< cumulative: observations up to each bound
};

namespace {

void writeHistograms(std::ostringstream &Out, const Metrics::Times &Times) {
  for (const NamedMeasure &Entry : Measures) {
    std::size_t Index = indexOf(Entry.Measure_);
    std::string Name = std::string(Entry.Name_) + "_histogram";
    Out << "# HELP " << Name << ' ' << Entry.Help_ << "\n# TYPE " << Name
        << " histogram\n";
    for (std::size_t Bound = 0; Bound < BucketBounds.size(); ++Bound)
      Out << Name << "_bucket{le=\"" << BucketBounds[Bound] << "\"} "
          << Times.Buckets_[Index][Bound] << '\n';
    const TimeStatistics &Statistics = Times.Statistics_[Index];
    Out << Name << "_bucket{le=\"+Inf\"} " << stats::count(Statistics) << '\n'
        << Name << "_sum " << stats::sum(Statistics) << '\n'
        << Name << "_count " << stats::count(Statistics) << '\n';
  }
}

// Requests with at least this suspicion.
double countQuarantined(const NodeState &Node, Suspicion AtLeast) {
  std::size_t Count = 0;
  for (const QuarantinedRequest &Request : Node.Quarantine_.requests(Node.Now_))
    Count += Request.Suspicion_ >= AtLeast ? 1 : 0;
  return static_cast<double>(Count);
}

std::uint64_t requestsOf(const TenantCounts &Counts) {
  return Counts.Admitted_ + Counts.OverQuota_ + Counts.NoTokens_;
}

void writeTenant(std::ostringstream &Out, const std::string &Name,
                 const TenantCounts &Counts) {
  std::string Label;
  for (char Letter : Name)
    Label += Letter == '"' || Letter == '\\' ? std::string("\\") + Letter
                                             : std::string(1, Letter);
  auto Write = [&](const char *Decision, std::uint64_t Count) {
    Out << "fulmarshelf_tenant_requests_total{tenant=\"" << Label
        << "\",decision=\"" << Decision << "\"} " << Count << '\n';
  };
  Write("admitted", Counts.Admitted_);
  Write("over-quota", Counts.OverQuota_);
  Write("no-tokens", Counts.NoTokens_);
}

// Bounds the number of labels: the tenants with the most requests, and the sum
// of all others under an empty name.
void writeTenants(std::ostringstream &Out, const NodeState &Node) {
  constexpr std::size_t MaxTenants = 20;
  if (Node.Quotas_.Counts_.empty())
    return;
  std::vector<std::pair<std::string, TenantCounts>> Tenants(
      Node.Quotas_.Counts_.begin(), Node.Quotas_.Counts_.end());
  std::sort(Tenants.begin(), Tenants.end(),
            [](const auto &Left, const auto &Right) {
              return requestsOf(Left.second) > requestsOf(Right.second);
            });
  Out << "# HELP fulmarshelf_tenant_requests_total Requests of tenants with a "
         "quota\n# TYPE fulmarshelf_tenant_requests_total counter\n";
  TenantCounts Others;
  for (std::size_t Index = 0; Index < Tenants.size(); ++Index) {
    const TenantCounts &Counts = Tenants[Index].second;
    if (Index < MaxTenants) {
      writeTenant(Out, Tenants[Index].first, Counts);
      continue;
    }
    Others.Admitted_ += Counts.Admitted_;
    Others.OverQuota_ += Counts.OverQuota_;
    Others.NoTokens_ += Counts.NoTokens_;
  }
  writeTenant(Out, "", Others);
}

double proofAge(const NodeState &Node) {
  std::optional<Micros> Age = proof_system::age(Node);
  return Age ? static_cast<double>(Age->count()) / MicrosPerSecond : -1;
}

} // namespace

Metrics::Metrics() : Times_(std::make_unique<Times>()) {}
Metrics::~Metrics() = default;

void Metrics::observe(const RecordTime &Value) {
  double Seconds = static_cast<double>(Value.Value_.count()) / MicrosPerSecond;
  std::size_t Index = indexOf(Value.Measure_);
  Times_->Statistics_[Index](Seconds);
  for (std::size_t Bound = 0; Bound < BucketBounds.size(); ++Bound)
    Times_->Buckets_[Index][Bound] += Seconds <= BucketBounds[Bound] ? 1 : 0;
}

void Metrics::count(EventNumber Event) { ++Events_[Event]; }

std::string Metrics::text(const NodeState &Node,
                          const ShellCounts &Counts) const {
  std::ostringstream Out;
  Out.precision(12);
  for (const NamedMeasure &Entry : Measures) {
    const TimeStatistics &Statistics =
        Times_->Statistics_[indexOf(Entry.Measure_)];
    Out << "# HELP " << Entry.Name_ << ' ' << Entry.Help_ << "\n# TYPE "
        << Entry.Name_ << " summary\n";
    if (stats::count(Statistics) > Quantiles.size())
      for (double Quantile : Quantiles)
        Out << Entry.Name_ << "{quantile=\"" << Quantile << "\"} "
            << stats::quantile(Statistics,
                               stats::quantile_probability = Quantile)
            << '\n';
    Out << Entry.Name_ << "_sum " << stats::sum(Statistics) << '\n'
        << Entry.Name_ << "_count " << stats::count(Statistics) << '\n';
  }
  writeHistograms(Out, *Times_);
  Out << "# HELP fulmarshelf_events_total Log events by number\n"
         "# TYPE fulmarshelf_events_total counter\n";
  for (const std::pair<const EventNumber, std::uint64_t> &Entry : Events_)
    Out << "fulmarshelf_events_total{event=\""
        << static_cast<unsigned>(Entry.first) << "\",name=\""
        << eventName(Entry.first) << "\"} " << Entry.second << '\n';
  writeTenants(Out, Node);
  const std::vector<NamedValue> Values = {
      {"fulmarshelf_limit", "gauge",
       "Calls that the backend server may run at a time",
       static_cast<double>(Node.Limit_.limit())},
      {"fulmarshelf_backend_rate_limit", "gauge",
       "Requests a second that the backend server accepts; -1: no limit named",
       Node.Rate_.namedRate().value_or(-1)},
      {"fulmarshelf_dispatches_total", "counter",
       "Requests sent to the backend server",
       static_cast<double>(Node.Dispatches_)},
      {"fulmarshelf_quarantined_requests", "gauge",
       "Requests that are set aside because backend servers crashed under them",
       countQuarantined(Node, Suspicion::SetAside)},
      {"fulmarshelf_suspect_requests", "gauge",
       "Requests that were in progress at a crash and not served since",
       countQuarantined(Node, Suspicion::Suspect)},
      {"fulmarshelf_running", "gauge", "Calls that run now",
       static_cast<double>(Node.Running_)},
      {"fulmarshelf_queued", "gauge", "Work that waits for a slot",
       static_cast<double>(Node.Queue_.size())},
      {"fulmarshelf_level", "gauge", "Lowest rank that is admitted now",
       static_cast<double>(Node.ShortLevel_.level())},
      {"fulmarshelf_long_level", "gauge",
       "Lowest rank of long work that is admitted now",
       static_cast<double>(Node.LongLevel_.level())},
      {"fulmarshelf_demand_slots", "gauge",
       "Slots that all demand would fill if nothing were shed",
       Node.Demand_.demand()},
      {"fulmarshelf_calls_traced_total", "counter",
       "Calls that one running work only could have made",
       static_cast<double>(Node.ParentMatches_.Unique_)},
      {"fulmarshelf_calls_ambiguous_total", "counter",
       "Calls that several running works could have made",
       static_cast<double>(Node.ParentMatches_.Ambiguous_)},
      {"fulmarshelf_calls_untraced_total", "counter",
       "Calls that no running work could have made",
       static_cast<double>(Node.ParentMatches_.None_)},
      {"fulmarshelf_members", "gauge", "Other nodes in use",
       static_cast<double>(Node.Membership_.available().size())},
      {"fulmarshelf_datagrams_sent_total", "counter", "Gossip datagrams sent",
       static_cast<double>(Counts.DatagramsSent_)},
      {"fulmarshelf_datagram_bytes_sent_total", "counter", "Gossip bytes sent",
       static_cast<double>(Counts.DatagramBytesSent_)},
      {"fulmarshelf_datagrams_received_total", "counter",
       "Gossip datagrams received",
       static_cast<double>(Counts.DatagramsReceived_)},
      {"fulmarshelf_datagram_bytes_received_total", "counter",
       "Gossip bytes received",
       static_cast<double>(Counts.DatagramBytesReceived_)},
      {"fulmarshelf_peer_control_bytes_total", "counter",
       "Bytes of greetings, revocations and syncs",
       static_cast<double>(Counts.PeerControlBytes_)},
      {"fulmarshelf_platform_calls_total", "counter",
       "Calls to the platform's object API",
       static_cast<double>(Counts.PlatformCalls_)},
      {"fulmarshelf_store_restores_total", "counter",
       "Times that the store was seen to return from an older copy",
       static_cast<double>(Node.Sync_.Restores_)},
      {"fulmarshelf_settings_proof_age_seconds", "gauge",
       "Time since the settings were proved to be current; -1: never",
       proofAge(Node)},
      {"fulmarshelf_held_requests", "gauge",
       "Requests that wait for a token of their tenant's quota",
       static_cast<double>(Node.Quotas_.Held_.size())},
      {"fulmarshelf_caller_connections", "gauge",
       "Connections of outside callers",
       static_cast<double>(Counts.CallerConnections_)},
      {"fulmarshelf_pipelined_requests_total", "counter",
       "Requests started while an earlier one of their connection was "
       "unanswered",
       static_cast<double>(Counts.Callers_.Pipelined_)},
      {"fulmarshelf_held_responses_total", "counter",
       "Responses that waited for an earlier one of their connection",
       static_cast<double>(Counts.Callers_.HeldResponses_)},
      {"fulmarshelf_held_responses_late_total", "counter",
       "Held responses that were sent after the caller's time was over",
       static_cast<double>(Counts.Callers_.LateHeldResponses_)},
      {"fulmarshelf_requests_refused_for_memory_total", "counter",
       "Requests refused while being received, for lack of memory",
       static_cast<double>(Counts.Callers_.RefusedForMemory_)},
      {"fulmarshelf_request_memory_bytes", "gauge",
       "Size of the requests held for callers",
       static_cast<double>(Counts.RequestMemory_)},
      {"fulmarshelf_response_memory_bytes", "gauge",
       "Size of incomplete responses of the backend server",
       static_cast<double>(Counts.ResponseMemory_)}};
  for (const NamedValue &Entry : Values)
    writeValue(Out, Entry);
  return Out.str();
}

} // namespace fulmarshelf
