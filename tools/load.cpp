// Open-loop load: arrivals are drawn beforehand from a fixed seed and are
// never delayed by slow answers; latency counts from the drawn arrival, so
// there is no coordinated omission. Each answer is checked by its content.
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
constexpr std::size_t MaxKept = 20'000;
const std::string TestId = "X-Test-Id";

struct Arrival {
  Clock::duration At_{};
  std::size_t Stream_ = 0;
  std::uint64_t Number_ = 0;
};

struct StreamResult {
  std::uint64_t Sent_ = 0;
  std::uint64_t Ok_ = 0;     ///< whole and in time
  std::uint64_t Late_ = 0;   ///< whole, but after the caller's patience
  std::uint64_t Wrong_ = 0;  ///< not the answer to this request
  std::uint64_t Failed_ = 0; ///< the backend server's own error
  std::uint64_t NotRun_ = 0;
  std::uint64_t Unknown_ = 0;
  std::uint64_t NoAnswer_ = 0; ///< connection broke or caller gave up
  std::uint64_t Tries_ = 0;
  std::vector<double> LatencyMs_;
  std::vector<std::uint64_t> OkBins_;
  std::vector<std::uint64_t> SentBins_;
  std::vector<std::string> NotRunIds_;
};

struct Exchange {
  std::size_t Stream_ = 0;
  std::string Id_;
  Endpoint Entry_;
  Clock::time_point Due_; ///< drawn arrival
  std::string Ticket_;
  bool AsksTicket_ = false;
  unsigned Tries_ = 0;
  bool Counted_ = false;
};

class LoadRun {
public:
  LoadRun(boost::asio::io_context &Context, const LoadPlan &Plan,
          std::string RunName)
      : Context_(Context), Plan_(Plan), RunName_(std::move(RunName)),
        Random_(Plan.Seed_), Results_(Plan.Streams_.size()), Timer_(Context),
        Http_(Context, HttpLimits(), MaxKept,
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
      Admin_.call(Event.Place_, {"POST", Event.Target_, {}, {}}, Options);
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

  void begin(const Arrival &Item) {
    const LoadStream &Stream = Plan_.Streams_[Item.Stream_];
    Exchange Fresh;
    Fresh.Stream_ = Item.Stream_;
    Fresh.Id_ =
        RunName_ + "-" + Stream.Name_ + "-" + std::to_string(Item.Number_);
    Fresh.Due_ = Start_ + Item.At_;
    Fresh.Entry_ = Plan_.Entries_[Next_ % Plan_.Entries_.size()];
    Fresh.AsksTicket_ = Stream.Ticket_;
    Fresh.Counted_ = Item.At_ >= Plan_.Warmup_;
    if (Fresh.Counted_) {
      ++Results_[Item.Stream_].Sent_;
      ++Results_[Item.Stream_]
            .SentBins_[static_cast<std::size_t>(Item.At_ / BinWidth)];
    }
    ++Unfinished_;
    send(std::move(Fresh));
  }

  // Kept connections would hold the io_context open for ever.
  void stopWhenDone() {
    if (Next_ >= Arrivals_.size() && Unfinished_ == 0)
      Context_.stop();
  }

  void send(Exchange Item) {
    const LoadStream &Stream = Plan_.Streams_[Item.Stream_];
    Clock::duration Left = Item.Due_ + Stream.Patience_ - Clock::now();
    milliseconds LeftMs = std::max(
        milliseconds(1), std::chrono::duration_cast<milliseconds>(Left));
    HttpRequest Request;
    if (Item.AsksTicket_) {
      Request = {"GET", "/_fulmarshelf/ticket", {}, {}};
    } else {
      Request = {Stream.Method_, Stream.Target_, {}, {}};
      Request.Body_ = std::string(Stream.BodyBytes_, 'b');
      Request.Headers_ = {
          {TestId, Item.Id_},
          {std::string(header::Caller), Stream.Caller_},
          {std::string(header::DeadlineMs), std::to_string(LeftMs.count())}};
      if (!Item.Ticket_.empty())
        Request.Headers_.push_back(
            {std::string(header::IdempotencyKey), Item.Ticket_});
      ++Results_[Item.Stream_].Tries_;
    }
    HttpCallOptions Options;
    // The caller waits a little longer than it says, to see the final word.
    Options.Timeout_ = LeftMs + milliseconds(500);
    HttpCallId Call = Http_.call(Item.Entry_, Request, Options);
    Open_.emplace(Call, std::move(Item));
  }

  void onDone(HttpCallId Call, const HttpResult &Result) {
    auto Found = Open_.find(Call);
    if (Found == Open_.end())
      return;
    Exchange Item = std::move(Found->second);
    Open_.erase(Found);
    const HttpResponse *Response = std::get_if<HttpResponse>(&Result);
    if (Item.AsksTicket_ && Response != nullptr && Response->Status_ == 200) {
      Item.AsksTicket_ = false;
      Item.Ticket_ = Response->Body_.substr(0, Response->Body_.find('\n'));
      send(std::move(Item));
      return;
    }
    bool Good = Response != nullptr && Response->Status_ == 200;
    if (!Good && retry(Item, Response))
      return;
    record(Item, Response);
    --Unfinished_;
    stopWhenDone();
  }

  bool retry(Exchange &Item, const HttpResponse *Response) {
    const LoadStream &Stream = Plan_.Streams_[Item.Stream_];
    if (Item.Tries_ >= Stream.Retries_ ||
        Clock::now() >= Item.Due_ + Stream.Patience_)
      return false;
    ++Item.Tries_;
    Item.Entry_ = Plan_.Entries_[(Next_ + Item.Tries_) % Plan_.Entries_.size()];
    std::uint64_t WaitMs = 0;
    const std::string *Told =
        Response == nullptr
            ? nullptr
            : findHeader(Response->Headers_, header::RetryAfterMs);
    if (Stream.HonourRetryAfter_ && Told != nullptr)
      parseNumber(*Told, WaitMs);
    if (WaitMs == 0) {
      send(Item);
      return true;
    }
    auto Timer = std::make_shared<boost::asio::steady_timer>(
        Context_, milliseconds(WaitMs));
    Timer->async_wait(
        [this, Timer, Item](boost::system::error_code) { send(Item); });
    return true;
  }

  // The answer must be this request's own, with the answers of all calls in.
  static bool isOwnAnswer(const Json &Body, const std::string &Id,
                          std::size_t Parts) {
    if (!Body.is_object() || Body.value("id", "") != Id)
      return false;
    const Json &Inner = Body["parts"];
    if (!Inner.is_array() || Inner.size() < Parts)
      return false;
    for (std::size_t Index = 0; Index < Inner.size(); ++Index)
      if (!isOwnAnswer(Inner[Index], Id + "." + std::to_string(Index), 0))
        return false;
    return true;
  }

  void record(const Exchange &Item, const HttpResponse *Response) {
    if (!Item.Counted_)
      return;
    const LoadStream &Stream = Plan_.Streams_[Item.Stream_];
    StreamResult &Result = Results_[Item.Stream_];
    Clock::duration Took = Clock::now() - Item.Due_;
    if (Response == nullptr) {
      ++Result.NoAnswer_;
      return;
    }
    const std::string *Outcome =
        findHeader(Response->Headers_, header::Outcome);
    if (Outcome != nullptr && *Outcome == "not-run") {
      ++Result.NotRun_;
      Result.NotRunIds_.push_back(Item.Id_);
    } else if (Outcome != nullptr && *Outcome == "unknown") {
      ++Result.Unknown_;
    } else if (Response->Status_ != 200) {
      ++Result.Failed_;
    } else if (!isOwnAnswer(Json::parse(Response->Body_, nullptr, false),
                            Item.Id_, Stream.Parts_)) {
      ++Result.Wrong_;
    } else if (Took > Stream.Patience_) {
      ++Result.Late_;
    } else {
      ++Result.Ok_;
      Result.LatencyMs_.push_back(
          std::chrono::duration<double, std::milli>(Took).count());
      // Counted where it was asked for, so that a late answer does not make
      // a bad moment look good.
      ++Result
            .OkBins_[static_cast<std::size_t>((Item.Due_ - Start_) / BinWidth)];
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
            {"tries", Result.Tries_},
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
  std::unordered_map<HttpCallId, Exchange> Open_;
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
  TCLAP::CmdLine Line("Open-loop load with content checks", ' ', "0.1");
  TCLAP::ValueArg<std::string> File("f", "plan", "plan, INI", true, "", "file",
                                    Line);
  TCLAP::ValueArg<std::string> Out("o", "out", "write the report as JSON",
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
