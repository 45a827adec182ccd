/// \file
/// Sends HTTP requests to entry VMs at a steady rate for a bounded time and
/// prints what came of each class, as JSON. docs/STANDINS.md describes it.

#include "coltsfootshed/Http/Caller.h"
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

/// What is sent, from the command line.
struct Plan
{
  std::vector<Endpoint> entries_;
  std::string name_; ///< prefix of request ids
  std::string service_;
  std::string class_ = "standard";
  std::string tenant_;
  std::string method_ = "POST";
  double perSecond_ = 100;
  int durationMs_ = 1000;
  int workMs_ = 5;
  int deadlineMs_ = 5000;
  int concurrency_ = 0; ///< if set, a closed loop instead of a rate
};

struct Tally
{
  std::vector<double> answeredMs_;
  std::map<std::string, int> outcomes_;
  std::vector<std::string> sent_;
  std::vector<std::string> answeredIds_;
  std::vector<std::string> notRunIds_;
  int wrongAnswers_ = 0;
};

class Traffic
{
public:
  Traffic(event_base* aBase, Plan aPlan)
    : base_(aBase)
    , plan_(std::move(aPlan))
    , caller_(aBase, clock_, 4096)
    , tick_(aBase, [this] { OnTick(); })
    , startedAt_(clock_.Now())
  {
    for (int i = 0; i < plan_.concurrency_; ++i) {
      SendNext();
    }
    tick_.Start(Millis(1));
  }

  const Tally& Result() const { return tally_; }

private:
  bool IsOver() const
  {
    return clock_.Now() - startedAt_ >= Millis(plan_.durationMs_);
  }

  void OnTick()
  {
    double elapsed = double((clock_.Now() - startedAt_).count()) / 1000.0;
    double end = plan_.durationMs_ / 1000.0;
    auto due =
      static_cast<std::size_t>(std::min(elapsed, end) * plan_.perSecond_);
    while (plan_.concurrency_ == 0 && tally_.sent_.size() < due) {
      SendNext();
    }
    if (IsOver() && open_ == 0) {
      event_base_loopbreak(base_);
      return;
    }
    tick_.Start(Millis(1));
  }

  void SendNext()
  {
    std::string id = plan_.name_ + "-" + std::to_string(tally_.sent_.size());
    const Endpoint& entry =
      plan_.entries_[tally_.sent_.size() % plan_.entries_.size()];
    tally_.sent_.push_back(id);
    HttpRequest request;
    request.method_ = plan_.method_;
    request.target_ = "/" + plan_.service_ +
                      "/job?work_ms=" + std::to_string(plan_.workMs_) +
                      "&id=" + id;
    request.headers_ = { { kRequestIdHeader, id },
                         { kClassHeader, plan_.class_ },
                         { kDeadlineHeader,
                           std::to_string(plan_.deadlineMs_) } };
    if (!plan_.tenant_.empty()) {
      request.headers_.emplace_back(kTenantHeader, plan_.tenant_);
    }
    request.body_ = plan_.method_ == "POST" ? id : "";
    ++open_;
    auto sentAt = std::chrono::steady_clock::now();
    caller_.Call(entry,
                 request,
                 Millis(plan_.deadlineMs_ + 2000),
                 Reuse::Recent,
                 [this, id, sentAt](const CallResult& aResult) {
                   OnEnd(id, sentAt, aResult);
                 });
  }

  void OnEnd(const std::string& aId,
             std::chrono::steady_clock::time_point aSentAt,
             const CallResult& aResult)
  {
    --open_;
    std::chrono::duration<double, std::milli> took =
      std::chrono::steady_clock::now() - aSentAt;
    std::string outcome = "no-answer";
    if (aResult.end_ == CallEnd::Answered) {
      auto field = FindHeader(aResult.answer_.headers_, kOutcomeHeader);
      outcome = field ? std::string(*field) : "unmarked";
    }
    if (aResult.end_ == CallEnd::NotSent) {
      outcome = "not-connected";
    }
    ++tally_.outcomes_[outcome];
    if (outcome == "answered" || outcome == "unmarked") {
      tally_.answeredMs_.push_back(took.count());
      tally_.answeredIds_.push_back(aId);
      Json body = Json::parse(aResult.answer_.body_, nullptr, false);
      bool own = body.is_object() && body.value("id", "") == aId;
      tally_.wrongAnswers_ += own ? 0 : 1;
    }
    if (outcome == "not-run") {
      tally_.notRunIds_.push_back(aId);
    }
    if (plan_.concurrency_ > 0 && !IsOver()) {
      SendNext();
    }
  }

  event_base* base_;
  Plan plan_;
  SteadyClock clock_;
  HttpCaller caller_;
  Timer tick_;
  Millis startedAt_;
  Tally tally_;
  int open_ = 0;
};

} // namespace

static double Quantile(std::vector<double> aValues, double aPart)
{
  if (aValues.empty()) {
    return 0;
  }
  auto index = static_cast<std::ptrdiff_t>(aPart * double(aValues.size() - 1));
  auto wanted = aValues.begin() + index;
  std::nth_element(aValues.begin(), wanted, aValues.end());
  return *wanted;
}

static bool ReadPlan(int aCount, const char** aArguments, Plan& aPlan)
{
  char* entries = nullptr;
  std::map<const char*, std::string*> texts = {
    { "name", &aPlan.name_ },     { "service", &aPlan.service_ },
    { "class", &aPlan.class_ },   { "tenant", &aPlan.tenant_ },
    { "method", &aPlan.method_ },
  };
  std::map<const char*, char*> values;
  std::vector<poptOption> table = {
    { "entries", 0, POPT_ARG_STRING, &entries, 0, "addresses", "A,B" },
    { "rate", 0, POPT_ARG_DOUBLE, &aPlan.perSecond_, 0, "per second", "N" },
    { "ms", 0, POPT_ARG_INT, &aPlan.durationMs_, 0, "duration", "N" },
    { "work", 0, POPT_ARG_INT, &aPlan.workMs_, 0, "work in ms", "N" },
    { "deadline", 0, POPT_ARG_INT, &aPlan.deadlineMs_, 0, "in ms", "N" },
    { "concurrency", 0, POPT_ARG_INT, &aPlan.concurrency_, 0, "loop", "N" },
  };
  for (auto& [name, text] : texts) {
    table.push_back(
      { name, 0, POPT_ARG_STRING, &values[name], 0, name, "TEXT" });
  }
  const poptOption ending[] = { POPT_AUTOHELP POPT_TABLEEND };
  table.insert(table.end(), std::begin(ending), std::end(ending));
  poptContext context =
    poptGetContext("traffic", aCount, aArguments, table.data(), 0);
  int end = poptGetNextOpt(context);
  poptFreeContext(context);
  for (auto& [name, text] : texts) {
    *text = TakeOptionText(values[name], text->c_str());
  }
  std::istringstream list(TakeOptionText(entries));
  std::string item;
  while (std::getline(list, item, ',')) {
    auto endpoint = ParseEndpoint(item);
    if (!endpoint) {
      return false;
    }
    aPlan.entries_.push_back(*endpoint);
  }
  return end == -1 && !aPlan.entries_.empty() && !aPlan.service_.empty();
}

int main(int aCount, char** aArguments)
{
  Plan plan;
  if (!ReadPlan(aCount, const_cast<const char**>(aArguments), plan)) {
    std::fprintf(stderr, "bad arguments; see --help\n");
    return 2;
  }
  std::unique_ptr<event_base, decltype(&event_base_free)> base(
    event_base_new(), &event_base_free);
  Traffic traffic(base.get(), plan);
  event_base_dispatch(base.get());
  const Tally& tally = traffic.Result();
  Json out = { { "class", plan.class_ },
               { "service", plan.service_ },
               { "name", plan.name_ },
               { "sent", tally.sent_.size() },
               { "outcomes", tally.outcomes_ },
               { "wrong_answers", tally.wrongAnswers_ },
               { "p50_ms", Quantile(tally.answeredMs_, 0.5) },
               { "p99_ms", Quantile(tally.answeredMs_, 0.99) },
               { "idempotent", plan.method_ != "POST" },
               { "answered_ids", tally.answeredIds_ },
               { "not_run_ids", tally.notRunIds_ } };
  std::printf("%s\n", out.dump().c_str());
  return 0;
}
