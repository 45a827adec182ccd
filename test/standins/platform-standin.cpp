/// \file
/// Stand-in for the platform: key-value store, leases, VM list and reboots. A
/// second address sets the VMs and injects faults. docs/STANDINS.md describes
/// its HTTP interface.

#include "coltsfootshed/Http/Server.h"
#include "coltsfootshed/Membership/VmTable.h"
#include "coltsfootshed/Platform/PlatformClient.h"
#include "coltsfootshed/Support/Timer.h"

#include <cstdio>
#include <deque>
#include <event2/event.h>
#include <map>
#include <nlohmann/json.hpp>
#include <set>

using namespace coltsfootshed;
using Json = nlohmann::json;
using Exchange = std::shared_ptr<ServerExchange>;

namespace {

/// Faults to inject, set over the control address.
struct Switches
{
  bool refuseCalls_ = false;     ///< refuse every call with 500
  bool withholdAnswers_ = false; ///< accept calls, send no answer while set
  int answerDelayMs_ = 0;        ///< delay of each answer
  /// Number of coming writes to carry out without answering.
  int writesToLeaveUnanswered_ = 0;
  int vmListDelayMs_ = 0; ///< delay until the VM list shows a change
};

/// A read that waits for a change of its key.
struct PendingWatch
{
  Exchange exchange_;
  std::string key_;
  std::uint64_t after_ = 0; ///< revision that the caller knows
  Millis until_{ 0 };       ///< answered then even without a change
};

/// An answer to be sent at a given time.
struct QueuedAnswer
{
  Exchange exchange_;
  HttpAnswer answer_;
  Millis sendAt_{ 0 };
};

class PlatformStandin
{
public:
  explicit PlatformStandin(event_base* aBase)
    : tickTimer_(aBase, [this] { OnTick(); })
    , platformServer_(
        aBase,
        {},
        [this](const Exchange& aExchange) { OnPlatformRequest(aExchange); })
    , controlServer_(aBase, {}, [this](const Exchange& aExchange) {
      OnControlRequest(aExchange);
    })
  {
    tickTimer_.Start(Millis(5));
  }

  bool Listen(const Endpoint& aPlatform, const Endpoint& aControl)
  {
    return platformServer_.Listen(aPlatform) && controlServer_.Listen(aControl);
  }

private:
  void OnTick()
  {
    Millis now = clock_.Now();
    std::erase_if(queuedAnswers_, [&](QueuedAnswer& aQueued) {
      if (aQueued.sendAt_ > now || switches_.withholdAnswers_) {
        return false;
      }
      aQueued.exchange_->Reply(aQueued.answer_);
      return true;
    });
    std::erase_if(pendingWatches_, [&](const PendingWatch& aWatch) {
      bool changed = values_[aWatch.key_].revision_ != aWatch.after_;
      if (!changed && aWatch.until_ > now) {
        return false;
      }
      QueueAnswer(aWatch.exchange_, ValueAnswer(aWatch.key_));
      return true;
    });
    while (!pendingVms_.empty() && pendingVms_.front().first <= now) {
      listedVms_[pendingVms_.front().second.name_] = pendingVms_.front().second;
      pendingVms_.pop_front();
    }
    tickTimer_.Start(Millis(5));
  }

  void QueueAnswer(const Exchange& aExchange, HttpAnswer aAnswer)
  {
    queuedAnswers_.push_back(
      { aExchange,
        std::move(aAnswer),
        clock_.Now() + Millis(switches_.answerDelayMs_) });
  }

  HttpAnswer ValueAnswer(const std::string& aKey)
  {
    const StoredValue& stored = values_[aKey];
    HttpAnswer answer;
    answer.code_ = stored.revision_ == 0 ? 404 : 200;
    answer.headers_.emplace_back("Revision", std::to_string(stored.revision_));
    answer.body_ = stored.value_;
    return answer;
  }

  void OnPlatformRequest(const Exchange& aExchange)
  {
    ++platformRequests_;
    const HttpRequest& request = aExchange->Request();
    std::string path(PathOf(request.target_));
    if (switches_.refuseCalls_) {
      aExchange->Reply({ 500, {}, "stopped\n" });
      return;
    }
    if (path == "/vms") {
      OnListVms(aExchange);
    } else if (path.starts_with("/lease/")) {
      OnLease(aExchange, path.substr(7));
    } else if (path.starts_with("/reboot/")) {
      std::string operation = QueryValue(request.target_, "operation");
      reboots_[path.substr(8)].insert(operation);
      QueueAnswer(aExchange, { 200, {}, "" });
    } else if (!path.starts_with("/kv/")) {
      QueueAnswer(aExchange, { 404, {}, "no such path\n" });
    } else if (request.method_ == "PUT") {
      OnPut(aExchange, path.substr(4));
    } else {
      OnGet(aExchange, path.substr(4));
    }
  }

  void OnGet(const Exchange& aExchange, const std::string& aKey)
  {
    const std::string& target = aExchange->Request().target_;
    std::string wait = QueryValue(target, "wait_ms");
    if (wait.empty()) {
      QueueAnswer(aExchange, ValueAnswer(aKey));
      return;
    }
    Millis until = clock_.Now() + Millis(std::stoll(wait));
    std::uint64_t after = std::stoull(QueryValue(target, "after"));
    pendingWatches_.push_back({ aExchange, aKey, after, until });
  }

  void OnPut(const Exchange& aExchange, const std::string& aKey)
  {
    const HttpRequest& request = aExchange->Request();
    StoredValue& stored = values_[aKey];
    std::uint64_t expected =
      std::stoull(QueryValue(request.target_, "revision"));
    if (stored.revision_ != expected) {
      QueueAnswer(aExchange, { 409, {}, "" });
      return;
    }
    stored = { ++revision_, request.body_ };
    if (switches_.writesToLeaveUnanswered_ > 0) {
      --switches_.writesToLeaveUnanswered_;
      unanswered_.push_back(aExchange);
      return;
    }
    QueueAnswer(aExchange, ValueAnswer(aKey));
  }

  void OnLease(const Exchange& aExchange, const std::string& aName)
  {
    const std::string& target = aExchange->Request().target_;
    std::string holder = QueryValue(target, "holder");
    Millis now = clock_.Now();
    Lease& lease = leases_[aName];
    if (lease.holder_ != holder && lease.until_ > now) {
      QueueAnswer(aExchange, { 409, {}, "" });
      return;
    }
    lease = { holder, now + Millis(std::stoll(QueryValue(target, "ttl_ms"))) };
    QueueAnswer(aExchange, { 200, {}, "" });
  }

  void OnListVms(const Exchange& aExchange)
  {
    const std::string& target = aExchange->Request().target_;
    std::string dataCentre = QueryValue(target, "data_centre");
    std::uint64_t since = std::stoull("0" + QueryValue(target, "since"));
    std::uint64_t newest = 0;
    std::vector<VmRecord> newer;
    for (const auto& [name, record] : listedVms_) {
      newest = std::max(newest, record.revision_);
      if (record.dataCentre_ == dataCentre && record.revision_ > since) {
        newer.push_back(record);
      }
    }
    QueueAnswer(aExchange, { 200, {}, VmsToJson(newest, newer) });
  }

  void OnControlRequest(const Exchange& aExchange)
  {
    const HttpRequest& request = aExchange->Request();
    try {
      if (request.target_ == "/vms") {
        SetVm(Json::parse(request.body_));
      } else if (request.target_ == "/switches") {
        SetSwitches(Json::parse(request.body_));
      }
      Json state = { { "calls", platformRequests_ },
                     { "watches", pendingWatches_.size() },
                     { "reboots", reboots_ } };
      aExchange->Reply({ 200, {}, state.dump() + "\n" });
    } catch (const std::exception& error) {
      aExchange->Reply({ 400, {}, std::string(error.what()) + "\n" });
    }
  }

  void SetVm(const Json& aJson)
  {
    Json list = { { "revision", 0 }, { "vms", Json::array({ aJson }) } };
    list["vms"][0]["revision"] = ++revision_;
    auto page = VmsFromJson(list.dump());
    if (!page) {
      throw std::runtime_error(page.error().Text());
    }
    Millis at = clock_.Now() + Millis(switches_.vmListDelayMs_);
    pendingVms_.emplace_back(at, page->vms_.front());
  }

  void SetSwitches(const Json& aJson)
  {
    switches_.refuseCalls_ = aJson.value("stop", switches_.refuseCalls_);
    switches_.withholdAnswers_ =
      aJson.value("freeze", switches_.withholdAnswers_);
    switches_.answerDelayMs_ =
      aJson.value("delay_ms", switches_.answerDelayMs_);
    switches_.writesToLeaveUnanswered_ =
      aJson.value("lose_answers", switches_.writesToLeaveUnanswered_);
    switches_.vmListDelayMs_ =
      aJson.value("vm_lag_ms", switches_.vmListDelayMs_);
  }

  struct Lease
  {
    std::string holder_;
    Millis until_{ 0 };
  };

  SteadyClock clock_;
  std::map<std::string, Lease> leases_;
  /// Operation ids of the requested reboots, by VM.
  std::map<std::string, std::set<std::string>> reboots_;
  Switches switches_;
  std::uint64_t revision_ = 0;
  std::uint64_t platformRequests_ = 0;
  std::map<std::string, StoredValue> values_;
  std::map<std::string, VmRecord> listedVms_;
  /// Changes that the VM list does not show yet, with the time when it will.
  std::deque<std::pair<Millis, VmRecord>> pendingVms_;
  std::vector<PendingWatch> pendingWatches_;
  std::vector<QueuedAnswer> queuedAnswers_;
  /// Writes that were carried out and never get an answer.
  std::vector<Exchange> unanswered_;
  Timer tickTimer_;
  HttpServer platformServer_;
  HttpServer controlServer_;
};

} // namespace

int main(int aCount, char** aArguments)
{
  auto platform = aCount == 3 ? ParseEndpoint(aArguments[1]) : std::nullopt;
  auto control = aCount == 3 ? ParseEndpoint(aArguments[2]) : std::nullopt;
  if (!platform || !control) {
    std::fprintf(stderr, "usage: platform-standin ADDRESS CONTROL-ADDRESS\n");
    return 2;
  }
  event_base* base = event_base_new();
  PlatformStandin standin(base);
  if (!standin.Listen(*platform, *control)) {
    std::fprintf(stderr, "cannot listen on the given addresses\n");
    return 1;
  }
  event_base_dispatch(base);
  return 0;
}
