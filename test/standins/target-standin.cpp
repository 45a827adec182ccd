/// \file
/// Stand-in for a target: runs a limited number of requests at once and counts
/// how often each request id ran. docs/STANDINS.md describes its interface.

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

/// Behaviour and faults, set over the control address.
struct Switches
{
  /// How requests are treated. "serve": run and answered; "refuse": answered
  /// with 503 and not-run; "freeze": accepted and never answered. The others
  /// run the request, then break the answer. "reset": closed without a byte;
  /// "cut": the body ends before its declared length; "open-ended": no length
  /// is declared.
  std::string mode_ = "serve";
  bool leaving_ = false; ///< each answer declares that the target is leaving
  int workMs_ = 5;       ///< run time of requests that do not name one
};

/// A request that occupies a slot.
struct RunningRequest
{
  Exchange exchange_;
  Millis endsAt_{ 0 };
};

class TargetStandin
{
public:
  TargetStandin(event_base* aBase, std::string aName, std::size_t aSlots)
    : name_(std::move(aName))
    , slots_(aSlots)
    , tickTimer_(aBase, [this] { OnTick(); })
    , targetServer_(aBase,
                    {},
                    [this](const Exchange& aExchange) { OnRequest(aExchange); })
    , controlServer_(aBase, {}, [this](const Exchange& aExchange) {
      OnControlRequest(aExchange);
    })
  {
  }

  bool Listen(const Endpoint& aService, const Endpoint& aControl)
  {
    return targetServer_.Listen(aService) && controlServer_.Listen(aControl);
  }

private:
  std::string RequestIdOf(const HttpRequest& aRequest) const
  {
    auto id = FindHeader(aRequest.headers_, kRequestIdHeader);
    return id ? std::string(*id) : "none";
  }

  void OnRequest(const Exchange& aExchange)
  {
    const HttpRequest& request = aExchange->Request();
    maxConnections_ = std::max(maxConnections_, targetServer_.Connections());
    if (switches_.mode_ == "freeze") {
      withheld_.push_back(aExchange);
      return;
    }
    if (request.target_ == "/healthz") {
      aExchange->Reply({ 200, {}, "ok\n" });
      return;
    }
    if (switches_.mode_ == "refuse") {
      ++refused_;
      Headers headers{ { kOutcomeHeader, "not-run" } };
      AddLeavingHeader(headers);
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
      std::string workMs = QueryValue(exchange->Request().target_, "work_ms");
      int durationMs = workMs.empty() ? switches_.workMs_ : std::stoi(workMs);
      ++runsById_[RequestIdOf(exchange->Request())];
      running_.push_back({ exchange, clock_.Now() + Millis(durationMs) });
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
    auto next = std::min_element(
      running_.begin(),
      running_.end(),
      [](const RunningRequest& aLeft, const RunningRequest& aRight) {
        return aLeft.endsAt_ < aRight.endsAt_;
      });
    tickTimer_.Start(next->endsAt_ - clock_.Now());
  }

  void OnTick()
  {
    Millis now = clock_.Now();
    std::vector<Exchange> finished;
    std::erase_if(running_, [&](const RunningRequest& aRunning) {
      if (aRunning.endsAt_ > now) {
        return false;
      }
      finished.push_back(aRunning.exchange_);
      return true;
    });
    for (const Exchange& exchange : finished) {
      SendAnswer(exchange);
    }
    StartWaiting();
  }

  void AddLeavingHeader(Headers& aHeaders) const
  {
    if (switches_.leaving_) {
      aHeaders.emplace_back(kLeavingHeader, "true");
    }
  }

  void SendAnswer(const Exchange& aExchange)
  {
    const HttpRequest& request = aExchange->Request();
    Json body = { { "target", name_ },
                  { "id", RequestIdOf(request) },
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
    AddLeavingHeader(headers);
    ++answered_;
    aExchange->Reply({ 200, headers, text });
  }

  void OnControlRequest(const Exchange& aExchange)
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
                   { "runs", runsById_ },
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
  std::map<std::string, int> runsById_; ///< number of starts, by request id
  std::uint64_t answered_ = 0;
  std::uint64_t refused_ = 0;
  std::size_t maxRunning_ = 0;
  std::size_t maxWaiting_ = 0;
  std::size_t maxConnections_ = 0;
  std::deque<Exchange> waiting_;
  std::vector<RunningRequest> running_;
  /// Requests that arrived in mode "freeze"; they never get an answer.
  std::vector<Exchange> withheld_;
  Timer tickTimer_;
  HttpServer targetServer_;
  HttpServer controlServer_;
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
  TargetStandin standin(base, aArguments[1], std::stoul(aArguments[4]));
  if (!standin.Listen(*service, *control)) {
    std::fprintf(stderr, "cannot listen on the given addresses\n");
    return 1;
  }
  event_base_dispatch(base);
  return 0;
}
