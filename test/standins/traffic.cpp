/// \file
/// Load generator: sends HTTP requests of one class to entry VMs for a given
/// time, at a constant rate or with a constant number in flight, and prints
/// their outcomes as JSON. docs/STANDINS.md describes it.

#include "coltsfootshed/Http/Client.h"
#include "coltsfootshed/Support/OptionText.h"

#include <algorithm>
#include <cstdio>
#include <event2/event.h>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <popt.h>
#include <sstream>

using namespace coltsfootshed;
using Json = nlohmann::json;

namespace {

/// Options of the command line.
struct TrafficOptions
{
  std::vector<Endpoint> entries_;
  std::string idPrefix_; ///< of the request ids
  std::string service_;
  std::string class_ = "standard";
  std::string tenant_;
  std::string method_ = "POST";
  double requestsPerSecond_ = 100; ///< unused with concurrency_
  int durationMs_ = 1000;
  int workMs_ = 5;
  int deadlineMs_ = 5000;
  /// Number of requests kept in flight, instead of a rate; 0: use the rate.
  int concurrency_ = 0;
};

/// What became of the requests.
struct TrafficResult
{
  std::vector<double> latenciesMs_;
  std::map<std::string, int> outcomes_;
  std::vector<std::string> sentIds_;
  std::vector<std::string> answeredIds_;
  std::vector<std::string> notRunIds_;
  int wrongAnswers_ = 0; ///< answers without the id of their request
};

class TrafficGenerator
{
public:
  TrafficGenerator(event_base* aBase, TrafficOptions aOptions)
    : base_(aBase)
    , options_(std::move(aOptions))
    , httpClient_(aBase, clock_, 4096)
    , tickTimer_(aBase, [this] { OnTick(); })
    , startedAt_(clock_.Now())
  {
    for (int i = 0; i < options_.concurrency_; ++i) {
      SendNext();
    }
    tickTimer_.Start(Millis(1));
  }

  const TrafficResult& Result() const { return result_; }

private:
  bool IsOver() const
  {
    return clock_.Now() - startedAt_ >= Millis(options_.durationMs_);
  }

  void OnTick()
  {
    double elapsed = double((clock_.Now() - startedAt_).count()) / 1000.0;
    double end = options_.durationMs_ / 1000.0;
    auto dueCount = static_cast<std::size_t>(std::min(elapsed, end) *
                                             options_.requestsPerSecond_);
    while (options_.concurrency_ == 0 && result_.sentIds_.size() < dueCount) {
      SendNext();
    }
    if (IsOver() && openRequests_ == 0) {
      event_base_loopbreak(base_);
      return;
    }
    tickTimer_.Start(Millis(1));
  }

  void SendNext()
  {
    std::string id =
      options_.idPrefix_ + "-" + std::to_string(result_.sentIds_.size());
    const Endpoint& entry =
      options_.entries_[result_.sentIds_.size() % options_.entries_.size()];
    result_.sentIds_.push_back(id);
    HttpRequest request;
    request.method_ = options_.method_;
    request.target_ = "/" + options_.service_ +
                      "/job?work_ms=" + std::to_string(options_.workMs_) +
                      "&id=" + id;
    request.headers_ = { { kRequestIdHeader, id },
                         { kClassHeader, options_.class_ },
                         { kDeadlineHeader,
                           std::to_string(options_.deadlineMs_) } };
    if (!options_.tenant_.empty()) {
      request.headers_.emplace_back(kTenantHeader, options_.tenant_);
    }
    request.body_ = options_.method_ == "POST" ? id : "";
    ++openRequests_;
    auto sentAt = std::chrono::steady_clock::now();
    // An entry VM has 2 s after the deadline to report the outcome.
    httpClient_.Call(entry,
                     request,
                     Millis(options_.deadlineMs_ + 2000),
                     Reuse::Recent,
                     [this, id, sentAt](const CallResult& aResult) {
                       OnCallEnded(id, sentAt, aResult);
                     });
  }

  void OnCallEnded(const std::string& aId,
                   std::chrono::steady_clock::time_point aSentAt,
                   const CallResult& aResult)
  {
    --openRequests_;
    std::chrono::duration<double, std::milli> latency =
      std::chrono::steady_clock::now() - aSentAt;
    std::string outcome = "no-answer";
    if (aResult.end_ == CallEnd::Answered) {
      auto field = FindHeader(aResult.answer_.headers_, kOutcomeHeader);
      outcome = field ? std::string(*field) : "unmarked";
    }
    if (aResult.end_ == CallEnd::NotSent) {
      outcome = "not-connected";
    }
    ++result_.outcomes_[outcome];
    // A target that is called directly sends no outcome header.
    if (outcome == "answered" || outcome == "unmarked") {
      result_.latenciesMs_.push_back(latency.count());
      result_.answeredIds_.push_back(aId);
      Json body = Json::parse(aResult.answer_.body_, nullptr, false);
      bool isOwnAnswer = body.is_object() && body.value("id", "") == aId;
      result_.wrongAnswers_ += isOwnAnswer ? 0 : 1;
    }
    if (outcome == "not-run") {
      result_.notRunIds_.push_back(aId);
    }
    if (options_.concurrency_ > 0 && !IsOver()) {
      SendNext();
    }
  }

  event_base* base_;
  TrafficOptions options_;
  SteadyClock clock_;
  HttpClient httpClient_;
  Timer tickTimer_;
  Millis startedAt_;
  TrafficResult result_;
  int openRequests_ = 0;
};

} // namespace

static double Quantile(std::vector<double> aValues, double aFraction)
{
  if (aValues.empty()) {
    return 0;
  }
  auto index =
    static_cast<std::ptrdiff_t>(aFraction * double(aValues.size() - 1));
  auto position = aValues.begin() + index;
  std::nth_element(aValues.begin(), position, aValues.end());
  return *position;
}

static bool ParseOptions(int aCount,
                         const char** aArguments,
                         TrafficOptions& aOptions)
{
  char* entries = nullptr;
  std::map<const char*, std::string*> textOptions = {
    { "name", &aOptions.idPrefix_ }, { "service", &aOptions.service_ },
    { "class", &aOptions.class_ },   { "tenant", &aOptions.tenant_ },
    { "method", &aOptions.method_ },
  };
  std::map<const char*, char*> values;
  std::vector<poptOption> table = {
    { "entries", 0, POPT_ARG_STRING, &entries, 0, "entry VM addresses", "A,B" },
    { "rate",
      0,
      POPT_ARG_DOUBLE,
      &aOptions.requestsPerSecond_,
      0,
      "requests per second",
      "N" },
    { "ms", 0, POPT_ARG_INT, &aOptions.durationMs_, 0, "duration in ms", "N" },
    { "work", 0, POPT_ARG_INT, &aOptions.workMs_, 0, "work in ms", "N" },
    { "deadline",
      0,
      POPT_ARG_INT,
      &aOptions.deadlineMs_,
      0,
      "deadline in ms",
      "N" },
    { "concurrency",
      0,
      POPT_ARG_INT,
      &aOptions.concurrency_,
      0,
      "closed loop of N requests",
      "N" },
  };
  for (auto& [name, text] : textOptions) {
    table.push_back(
      { name, 0, POPT_ARG_STRING, &values[name], 0, name, "TEXT" });
  }
  const poptOption tableEnd[] = { POPT_AUTOHELP POPT_TABLEEND };
  table.insert(table.end(), std::begin(tableEnd), std::end(tableEnd));
  poptContext context =
    poptGetContext("traffic", aCount, aArguments, table.data(), 0);
  int end = poptGetNextOpt(context);
  poptFreeContext(context);
  for (auto& [name, text] : textOptions) {
    *text = TakeOptionText(values[name], text->c_str());
  }
  std::istringstream list(TakeOptionText(entries));
  std::string item;
  while (std::getline(list, item, ',')) {
    auto endpoint = ParseEndpoint(item);
    if (!endpoint) {
      return false;
    }
    aOptions.entries_.push_back(*endpoint);
  }
  return end == -1 && !aOptions.entries_.empty() && !aOptions.service_.empty();
}

int main(int aCount, char** aArguments)
{
  TrafficOptions options;
  if (!ParseOptions(aCount, const_cast<const char**>(aArguments), options)) {
    std::fprintf(stderr, "invalid arguments; see --help\n");
    return 2;
  }
  std::unique_ptr<event_base, decltype(&event_base_free)> base(
    event_base_new(), &event_base_free);
  TrafficGenerator traffic(base.get(), options);
  event_base_dispatch(base.get());
  const TrafficResult& result = traffic.Result();
  Json out = { { "class", options.class_ },
               { "service", options.service_ },
               { "name", options.idPrefix_ },
               { "sent", result.sentIds_.size() },
               { "outcomes", result.outcomes_ },
               { "wrong_answers", result.wrongAnswers_ },
               { "p50_ms", Quantile(result.latenciesMs_, 0.5) },
               { "p99_ms", Quantile(result.latenciesMs_, 0.99) },
               { "idempotent", options.method_ != "POST" },
               { "answered_ids", result.answeredIds_ },
               { "not_run_ids", result.notRunIds_ } };
  std::printf("%s\n", out.dump().c_str());
  return 0;
}
