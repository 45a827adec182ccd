/// \file
/// Stands in for a target: a runner with a number of slots that records how
/// often each request id ran. docs/STANDINS.md describes its interface.

#include "coltsfootshed/Http/Server.h"
#include "coltsfootshed/Support/Timer.h"

#include <algorithm>
#include <cstdio>
#include <deque>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <sys/socket.h>

using namespace coltsfootshed;
using Json = nlohmann::json;
using Exchange = std::shared_ptr<ServerExchange>;

namespace {

struct Switches
{
  std::string mode_ = "serve"; ///< or refuse, freeze, reset, cut, open-ended
  bool leaving_ = false;       ///< declared in each answer
  int workMs_ = 5;             ///< if the request names no time
};

struct Job
{
  Exchange exchange_;
  Millis endsAt_{ 0 };
};

class Standin
{
public:
  Standin(event_base* aBase, std::string aName, std::size_t aSlots)
    : name_(std::move(aName))
    , slots_(aSlots)
    , tick_(aBase, [this] { OnTick(); })
    , server_(aBase, {}, [this](const Exchange& aItem) { OnRequest(aItem); })
    , control_(aBase, {}, [this](const Exchange& aItem) { OnControl(aItem); })
  {
  }

  bool Listen(const Endpoint& aService, const Endpoint& aControl)
  {
    return server_.Listen(aService) && control_.Listen(aControl);
  }

private:
  std::string IdOf(const HttpRequest& aRequest) const
  {
    auto id = FindHeader(aRequest.headers_, kRequestIdHeader);
    return id ? std::string(*id) : "none";
  }

  void OnRequest(const Exchange& aExchange)
  {
    const HttpRequest& request = aExchange->Request();
    maxConnections_ = std::max(maxConnections_, server_.Connections());
    if (switches_.mode_ == "freeze") {
      frozen_.push_back(aExchange);
      return;
    }
    if (request.target_ == "/healthz") {
      aExchange->Reply({ 200, {}, "ok\n" });
      return;
    }
    if (switches_.mode_ == "refuse") {
      ++refused_;
      Headers headers{ { kOutcomeHeader, "not-run" } };
      AddLeaving(headers);
      aExchange->Reply({ 503, headers, "refused\n" });
      return;
    }
    waiting_.push_back(aExchange);
    StartWaiting();
  }

  void StartWaiting()
  {
    while (!waiting_.empty() && running_.size() < slots_) {
      Exchange exchange = std::move(waiting_.front());
      waiting_.pop_front();
      std::string work = QueryValue(exchange->Request().target_, "work_ms");
      int time = work.empty() ? switches_.workMs_ : std::stoi(work);
      ++runs_[IdOf(exchange->Request())];
      running_.push_back({ exchange, clock_.Now() + Millis(time) });
      maxRunning_ = std::max(maxRunning_, running_.size());
    }
    maxWaiting_ = std::max(maxWaiting_, waiting_.size());
    ScheduleTick();
  }

  void ScheduleTick()
  {
    if (running_.empty()) {
      return;
    }
    auto next = std::min_element(running_.begin(),
                                 running_.end(),
                                 [](const Job& aLeft, const Job& aRight) {
                                   return aLeft.endsAt_ < aRight.endsAt_;
                                 });
    tick_.Start(next->endsAt_ - clock_.Now());
  }

  void OnTick()
  {
    Millis now = clock_.Now();
    std::vector<Exchange> done;
    std::erase_if(running_, [&](const Job& aJob) {
      if (aJob.endsAt_ > now) {
        return false;
      }
      done.push_back(aJob.exchange_);
      return true;
    });
    for (const Exchange& exchange : done) {
      Answer(exchange);
    }
    StartWaiting();
  }

  void AddLeaving(Headers& aHeaders) const
  {
    if (switches_.leaving_) {
      aHeaders.emplace_back(kLeavingHeader, "true");
    }
  }

  void Answer(const Exchange& aExchange)
  {
    const HttpRequest& request = aExchange->Request();
    Json body = { { "target", name_ },
                  { "id", IdOf(request) },
                  { "path", request.target_ },
                  { "body", request.body_ } };
    std::string text = body.dump();
    if (switches_.mode_ == "reset") {
      aExchange->SendRawAndClose("");
      return;
    }
    if (switches_.mode_ == "cut") {
      aExchange->SendRawAndClose("HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n"
                                 "\r\n" +
                                 text);
      return;
    }
    if (switches_.mode_ == "open-ended") {
      aExchange->SendRawAndClose(
        "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + text);
      return;
    }
    Headers headers{ { "Content-Type", "application/json" } };
    AddLeaving(headers);
    ++answered_;
    aExchange->Reply({ 200, headers, text });
  }

  void OnControl(const Exchange& aExchange)
  {
    const HttpRequest& request = aExchange->Request();
    if (request.target_ == "/switches") {
      Json json = Json::parse(request.body_, nullptr, false);
      if (!json.is_object()) {
        aExchange->Reply({ 400, {}, "expected a JSON object\n" });
        return;
      }
      switches_.mode_ = json.value("mode", switches_.mode_);
      switches_.leaving_ = json.value("leaving", switches_.leaving_);
      switches_.workMs_ = json.value("work_ms", switches_.workMs_);
    }
    Json state = { { "target", name_ },
                   { "runs", runs_ },
                   { "answered", answered_ },
                   { "refused", refused_ },
                   { "running", running_.size() },
                   { "max_running", maxRunning_ },
                   { "max_waiting", maxWaiting_ },
                   { "max_connections", maxConnections_ } };
    aExchange->Reply({ 200, {}, state.dump() + "\n" });
  }

  std::string name_;
  std::size_t slots_;
  SteadyClock clock_;
  Switches switches_;
  std::map<std::string, int> runs_;
  std::uint64_t answered_ = 0;
  std::uint64_t refused_ = 0;
  std::size_t maxRunning_ = 0;
  std::size_t maxWaiting_ = 0;
  std::size_t maxConnections_ = 0;
  std::deque<Exchange> waiting_;
  std::vector<Job> running_;
  std::vector<Exchange> frozen_;
  Timer tick_;
  HttpServer server_;
  HttpServer control_;
};

} // namespace

int main(int aCount, char** aArguments)
{
  auto service = aCount == 5 ? ParseEndpoint(aArguments[2]) : std::nullopt;
  auto control = aCount == 5 ? ParseEndpoint(aArguments[3]) : std::nullopt;
  if (!service || !control) {
    std::fprintf(stderr,
                 "usage: target-standin NAME ADDRESS CONTROL-ADDRESS SLOTS\n");
    return 2;
  }
  event_base* base = event_base_new();
  Standin standin(base, aArguments[1], std::stoul(aArguments[4]));
  if (!standin.Listen(*service, *control)) {
    std::fprintf(stderr, "cannot listen\n");
    return 1;
  }
  event_base_dispatch(base);
  return 0;
}
