// Open-loop load generator. Arrival times are drawn before the run from a fixed
// seed, and slow responses never delay them. Latency counts from the drawn
// arrival time, which avoids coordinated omission. The content of each response
// is checked.
#include "fulmarshelf/detail/shell/http_client.hpp" // HttpClient
#include "load_plan.hpp"                            // LoadPlan

#include <nlohmann/json.hpp> // json
#include <tclap/CmdLine.h>   // CmdLine

#include <algorithm> // sort
#include <cstdio>    // printf
#include <fstream>   // ofstream
#include <iostream>  // cerr
#include <random>    // exponential_distribution

namespace {

using namespace fulmarshelf;
using namespace fulmarshelf::tools;
using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr milliseconds BinWidth{100};
constexpr std::size_t MaxConnections = 20'000;
const std::string TestIdHeader = "X-Test-Id";

struct Arrival {
  Clock::duration At_{};
  std::size_t Stream_ = 0;
  std::uint64_t Number_ = 0;
};

struct StreamResult {
  std::uint64_t Sent_ = 0;
  std::uint64_t Ok_ = 0;     ///< complete response in time
  std::uint64_t Late_ = 0;   ///< complete response after the caller's patience
  std::uint64_t Wrong_ = 0;  ///< incomplete, or the response to another request
  std::uint64_t Failed_ = 0; ///< error of the backend server
  std::uint64_t NotRun_ = 0;
  std::uint64_t Unknown_ = 0;
  std::uint64_t NoAnswer_ = 0; ///< connection lost or caller timed out
  std::uint64_t Attempts_ = 0;
  std::vector<double> LatencyMs_;
  std::vector<std::uint64_t> OkBins_;
  std::vector<std::uint64_t> SentBins_;
  std::vector<std::string> NotRunIds_;
};

struct Exchange {
  std::size_t Stream_ = 0;
  std::string Id_;
  Endpoint Entry_;
  Clock::time_point ArrivalTime_; ///< drawn arrival time
  std::string Ticket_;
  bool RequestsTicket_ = false;
  unsigned Attempts_ = 0;
  bool Counted_ = false;
};

class LoadRun {
public:
  LoadRun(boost::asio::io_context &Context, const LoadPlan &Plan,
          std::string RunName)
      : Context_(Context), Plan_(Plan), RunName_(std::move(RunName)),
        Random_(Plan.Seed_), Results_(Plan.Streams_.size()), Timer_(Context),
        Http_(Context, HttpLimits(), MaxConnections,
              [this](HttpCallId Call, const HttpResult &Result) {
                onDone(Call, Result);
              }),
        Admin_(Context, HttpLimits(), 1,
               [](HttpCallId, const HttpResult &) {}) {
    drawArrivals();
    std::size_t Bins =
        static_cast<std::size_t>((Plan.Duration_ / BinWidth) + 1);
    for (StreamResult &Result : Results_) {
      Result.OkBins_.resize(Bins);
      Result.SentBins_.resize(Bins);
    }
  }

  void start() {
    Start_ = Clock::now();
    for (const LoadEvent &Event : Plan_.Events_)
      schedule(Event);
    sendDue();
  }

  Json report() {
    Json Streams = Json::array();
    for (std::size_t Index = 0; Index < Results_.size(); ++Index)
      Streams.push_back(reportStream(Index));
    return {{"streams", Streams},
            {"duration_ms", Plan_.Duration_.count()},
            {"warmup_ms", Plan_.Warmup_.count()},
            {"bin_ms", BinWidth.count()}};
  }

private:
  double rateAt(const LoadStream &Stream, Clock::duration At) const {
    double Percent = 100;
    for (const RateStep &Step : Stream.Steps_)
      if (At >= Step.At_)
        Percent = Step.Percent_;
    return Stream.Rate_ * Percent / 100;
  }

  void drawArrivals() {
    for (std::size_t Index = 0; Index < Plan_.Streams_.size(); ++Index) {
      const LoadStream &Stream = Plan_.Streams_[Index];
      std::exponential_distribution<double> Gap(1);
      Clock::duration At{};
      std::uint64_t Number = 0;
      while (At < Plan_.Duration_) {
        double Rate = rateAt(Stream, At);
        if (Rate <= 0) {
          At += milliseconds(10);
          continue;
        }
        At += std::chrono::duration_cast<Clock::duration>(
            std::chrono::duration<double>(Gap(Random_) / Rate));
        if (At < Plan_.Duration_)
          Arrivals_.push_back({At, Index, ++Number});
      }
    }
    std::sort(Arrivals_.begin(), Arrivals_.end(),
              [](const Arrival &Left, const Arrival &Right) {
                return Left.At_ < Right.At_;
              });
  }

  void schedule(const LoadEvent &Event) {
    auto Timer =
        std::make_shared<boost::asio::steady_timer>(Context_, Event.At_);
    Timer->async_wait([this, Timer, Event](boost::system::error_code) {
      HttpCallOptions Options;
      Options.Timeout_ = milliseconds(1000);
      Admin_.call(Event.Address_, {"POST", Event.Target_, {}, {}}, Options);
    });
  }

  void sendDue() {
    while (Next_ < Arrivals_.size() &&
           Start_ + Arrivals_[Next_].At_ <= Clock::now())
      begin(Arrivals_[Next_++]);
    if (Next_ >= Arrivals_.size())
      return;
    Timer_.expires_at(Start_ + Arrivals_[Next_].At_);
    Timer_.async_wait([this](boost::system::error_code Error) {
      if (!Error)
        sendDue();
    });
  }

  void begin(const Arrival &Next) {
    const LoadStream &Stream = Plan_.Streams_[Next.Stream_];
    Exchange NewExchange;
    NewExchange.Stream_ = Next.Stream_;
    NewExchange.Id_ =
        RunName_ + "-" + Stream.Name_ + "-" + std::to_string(Next.Number_);
    NewExchange.ArrivalTime_ = Start_ + Next.At_;
    NewExchange.Entry_ = Plan_.Entries_[Next_ % Plan_.Entries_.size()];
    NewExchange.RequestsTicket_ = Stream.Ticket_;
    NewExchange.Counted_ = Next.At_ >= Plan_.Warmup_;
    if (NewExchange.Counted_) {
      ++Results_[Next.Stream_].Sent_;
      ++Results_[Next.Stream_]
            .SentBins_[static_cast<std::size_t>(Next.At_ / BinWidth)];
    }
    ++Unfinished_;
    send(std::move(NewExchange));
  }

  // Idle connections would keep the io_context running forever.
  void stopWhenDone() {
    if (Next_ >= Arrivals_.size() && Unfinished_ == 0)
      Context_.stop();
  }

  void send(Exchange Current) {
    const LoadStream &Stream = Plan_.Streams_[Current.Stream_];
    Clock::duration TimeLeft =
        Current.ArrivalTime_ + Stream.Patience_ - Clock::now();
    milliseconds TimeLeftMs = std::max(
        milliseconds(1), std::chrono::duration_cast<milliseconds>(TimeLeft));
    HttpRequest Request;
    if (Current.RequestsTicket_) {
      Request = {"GET", "/_fulmarshelf/ticket", {}, {}};
    } else {
      Request = {Stream.Method_, Stream.Target_, {}, {}};
      Request.Body_ = std::string(Stream.BodyBytes_, 'b');
      Request.Headers_ = {{TestIdHeader, Current.Id_},
                          {std::string(header::Caller), Stream.Caller_},
                          {std::string(header::DeadlineMs),
                           std::to_string(TimeLeftMs.count())}};
      if (!Current.Ticket_.empty())
        Request.Headers_.push_back(
            {std::string(header::IdempotencyKey), Current.Ticket_});
      ++Results_[Current.Stream_].Attempts_;
    }
    HttpCallOptions Options;
    // The caller waits 500 ms past the deadline that it sends, to receive the
    // final outcome.
    Options.Timeout_ = TimeLeftMs + milliseconds(500);
    HttpCallId Call = Http_.call(Current.Entry_, Request, Options);
    InFlight_.emplace(Call, std::move(Current));
  }

  void onDone(HttpCallId Call, const HttpResult &Result) {
    auto Found = InFlight_.find(Call);
    if (Found == InFlight_.end())
      return;
    Exchange Current = std::move(Found->second);
    InFlight_.erase(Found);
    const HttpResponse *Response = std::get_if<HttpResponse>(&Result);
    if (Current.RequestsTicket_ && Response != nullptr &&
        Response->Status_ == 200) {
      Current.RequestsTicket_ = false;
      Current.Ticket_ = Response->Body_.substr(0, Response->Body_.find('\n'));
      send(std::move(Current));
      return;
    }
    bool Succeeded = Response != nullptr && Response->Status_ == 200;
    if (!Succeeded && retry(Current, Response))
      return;
    record(Current, Response);
    --Unfinished_;
    stopWhenDone();
  }

  bool retry(Exchange &Current, const HttpResponse *Response) {
    const LoadStream &Stream = Plan_.Streams_[Current.Stream_];
    if (Current.Attempts_ >= Stream.Retries_ ||
        Clock::now() >= Current.ArrivalTime_ + Stream.Patience_)
      return false;
    ++Current.Attempts_;
    Current.Entry_ =
        Plan_.Entries_[(Next_ + Current.Attempts_) % Plan_.Entries_.size()];
    std::uint64_t DelayMs = 0;
    const std::string *RetryAfter =
        Response == nullptr
            ? nullptr
            : findHeader(Response->Headers_, header::RetryAfterMs);
    if (Stream.HonourRetryAfter_ && RetryAfter != nullptr)
      parseNumber(*RetryAfter, DelayMs);
    if (DelayMs == 0) {
      send(Current);
      return true;
    }
    auto Timer = std::make_shared<boost::asio::steady_timer>(
        Context_, milliseconds(DelayMs));
    Timer->async_wait(
        [this, Timer, Current](boost::system::error_code) { send(Current); });
    return true;
  }

  // Checks that the response has this request's id and holds the responses of
  // all calls.
  static bool matchesRequest(const Json &Body, const std::string &Id,
                             std::size_t Parts) {
    if (!Body.is_object() || Body.value("id", "") != Id)
      return false;
    const Json &PartBodies = Body["parts"];
    if (!PartBodies.is_array() || PartBodies.size() < Parts)
      return false;
    for (std::size_t Index = 0; Index < PartBodies.size(); ++Index)
      if (!matchesRequest(PartBodies[Index], Id + "." + std::to_string(Index),
                          0))
        return false;
    return true;
  }

  void record(const Exchange &Current, const HttpResponse *Response) {
    if (!Current.Counted_)
      return;
    const LoadStream &Stream = Plan_.Streams_[Current.Stream_];
    StreamResult &Result = Results_[Current.Stream_];
    Clock::duration Latency = Clock::now() - Current.ArrivalTime_;
    if (Response == nullptr) {
      ++Result.NoAnswer_;
      return;
    }
    const std::string *Outcome =
        findHeader(Response->Headers_, header::Outcome);
    if (Outcome != nullptr && *Outcome == "not-run") {
      ++Result.NotRun_;
      Result.NotRunIds_.push_back(Current.Id_);
    } else if (Outcome != nullptr && *Outcome == "unknown") {
      ++Result.Unknown_;
    } else if (Response->Status_ != 200) {
      ++Result.Failed_;
    } else if (!matchesRequest(Json::parse(Response->Body_, nullptr, false),
                               Current.Id_, Stream.Parts_)) {
      ++Result.Wrong_;
    } else if (Latency > Stream.Patience_) {
      ++Result.Late_;
    } else {
      ++Result.Ok_;
      Result.LatencyMs_.push_back(
          std::chrono::duration<double, std::milli>(Latency).count());
      // Counts in the bin of the arrival time, so that a late response does not
      // hide an interval with low goodput.
      ++Result.OkBins_[static_cast<std::size_t>(
          (Current.ArrivalTime_ - Start_) / BinWidth)];
    }
  }

  static double quantile(const std::vector<double> &Sorted, double Part) {
    if (Sorted.empty())
      return 0;
    auto Index =
        static_cast<std::size_t>(Part * static_cast<double>(Sorted.size()));
    return Sorted[std::min(Index, Sorted.size() - 1)];
  }

  Json reportStream(std::size_t Index) {
    StreamResult &Result = Results_[Index];
    std::sort(Result.LatencyMs_.begin(), Result.LatencyMs_.end());
    return {{"name", Plan_.Streams_[Index].Name_},
            {"sent", Result.Sent_},
            {"ok", Result.Ok_},
            {"late", Result.Late_},
            {"wrong", Result.Wrong_},
            {"failed", Result.Failed_},
            {"not_run", Result.NotRun_},
            {"unknown", Result.Unknown_},
            {"no_answer", Result.NoAnswer_},
            {"tries", Result.Attempts_},
            {"p50_ms", quantile(Result.LatencyMs_, 0.5)},
            {"p90_ms", quantile(Result.LatencyMs_, 0.9)},
            {"p99_ms", quantile(Result.LatencyMs_, 0.99)},
            {"max_ms", quantile(Result.LatencyMs_, 1)},
            {"ok_bins", Result.OkBins_},
            {"sent_bins", Result.SentBins_},
            {"not_run_ids", Result.NotRunIds_}};
  }

  boost::asio::io_context &Context_;
  LoadPlan Plan_;
  std::string RunName_;
  std::mt19937_64 Random_;
  std::vector<Arrival> Arrivals_;
  std::size_t Next_ = 0;
  std::size_t Unfinished_ = 0;
  std::vector<StreamResult> Results_;
  std::unordered_map<HttpCallId, Exchange> InFlight_;
  Clock::time_point Start_;
  boost::asio::steady_timer Timer_;
  HttpClient Http_;
  HttpClient Admin_;
};

void printTable(const Json &Report) {
  std::printf("%-14s %8s %8s %6s %6s %7s %8s %8s %9s %8s %8s\n", "stream",
              "sent", "ok", "late", "wrong", "failed", "not-run", "unknown",
              "no-answer", "p50 ms", "p99 ms");
  for (const Json &Stream : Report["streams"])
    std::printf("%-14s %8llu %8llu %6llu %6llu %7llu %8llu %8llu %9llu %8.2f "
                "%8.2f\n",
                Stream["name"].get<std::string>().c_str(),
                Stream["sent"].get<unsigned long long>(),
                Stream["ok"].get<unsigned long long>(),
                Stream["late"].get<unsigned long long>(),
                Stream["wrong"].get<unsigned long long>(),
                Stream["failed"].get<unsigned long long>(),
                Stream["not_run"].get<unsigned long long>(),
                Stream["unknown"].get<unsigned long long>(),
                Stream["no_answer"].get<unsigned long long>(),
                Stream["p50_ms"].get<double>(), Stream["p99_ms"].get<double>());
}

} // namespace

int main(int Count, char **Arguments) {
  TCLAP::CmdLine Line(
      "Sends open-loop load and checks the content of each response", ' ',
      "0.1");
  TCLAP::ValueArg<std::string> File("f", "plan", "load plan file (INI)", true,
                                    "", "file", Line);
  TCLAP::ValueArg<std::string> Out("o", "out", "file for the report as JSON",
                                   false, "", "file", Line);
  TCLAP::ValueArg<std::string> Name("n", "name", "prefix of request ids", false,
                                    "run", "name", Line);
  Line.parse(Count, Arguments);
  Checked<std::string> Text = readTextFile(File.getValue());
  Checked<LoadPlan> Plan = Text ? parseLoadPlan(File.getValue(), Text.value())
                                : Checked<LoadPlan>(Text.error());
  if (!Plan) {
    for (const Finding &Fault : Plan.error())
      std::cerr << toString(Fault) << '\n';
    return 2;
  }
  boost::asio::io_context Context(1);
  LoadRun Run(Context, Plan.value(), Name.getValue());
  Run.start();
  Context.run();
  Json Report = Run.report();
  printTable(Report);
  if (!Out.getValue().empty())
    std::ofstream(Out.getValue()) << Report.dump() << '\n';
  return 0;
}
