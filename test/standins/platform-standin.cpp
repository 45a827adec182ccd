/// \file
/// Stands in for the platform: key-value service, VM list, fault switches.
/// docs/STANDINS.md describes its HTTP interface.

#include "coltsfootshed/Http/Server.h"
#include "coltsfootshed/Membership/VmTable.h"
#include "coltsfootshed/Platform/Client.h"
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

struct Switches
{
  bool stop_ = false;   ///< refuse every call with 500
  bool freeze_ = false; ///< accept calls and never answer
  int delayMs_ = 0;     ///< answer later
  int loseAnswers_ = 0; ///< carry out this many writes without answering
  int vmLagMs_ = 0;     ///< the VM list shows changes this much later
};

struct Watch
{
  Exchange exchange_;
  std::string key_;
  std::uint64_t after_ = 0;
  Millis until_{ 0 };
};

struct Reply
{
  Exchange exchange_;
  HttpAnswer answer_;
  Millis at_{ 0 };
};

class Standin
{
public:
  explicit Standin(event_base* aBase)
    : tick_(aBase, [this] { OnTick(); })
    , platform_(aBase, {}, [this](const Exchange& aItem) { OnCall(aItem); })
    , control_(aBase, {}, [this](const Exchange& aItem) { OnControl(aItem); })
  {
    tick_.Start(Millis(5));
  }

  bool Listen(const Endpoint& aPlatform, const Endpoint& aControl)
  {
    return platform_.Listen(aPlatform) && control_.Listen(aControl);
  }

private:
  void OnTick()
  {
    Millis now = clock_.Now();
    std::erase_if(replies_, [&](Reply& aReply) {
      if (aReply.at_ > now || switches_.freeze_) {
        return false;
      }
      aReply.exchange_->Reply(aReply.answer_);
      return true;
    });
    std::erase_if(watches_, [&](const Watch& aWatch) {
      bool changed = values_[aWatch.key_].revision_ != aWatch.after_;
      if (!changed && aWatch.until_ > now) {
        return false;
      }
      Send(aWatch.exchange_, ValueAnswer(aWatch.key_));
      return true;
    });
    while (!laggingVms_.empty() && laggingVms_.front().first <= now) {
      visibleVms_[laggingVms_.front().second.name_] =
        laggingVms_.front().second;
      laggingVms_.pop_front();
    }
    tick_.Start(Millis(5));
  }

  void Send(const Exchange& aExchange, HttpAnswer aAnswer)
  {
    replies_.push_back({ aExchange,
                         std::move(aAnswer),
                         clock_.Now() + Millis(switches_.delayMs_) });
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

  void OnCall(const Exchange& aExchange)
  {
    ++calls_;
    const HttpRequest& request = aExchange->Request();
    std::string path(PathOf(request.target_));
    if (switches_.stop_) {
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
      Send(aExchange, { 200, {}, "" });
    } else if (!path.starts_with("/kv/")) {
      Send(aExchange, { 404, {}, "no such path\n" });
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
      Send(aExchange, ValueAnswer(aKey));
      return;
    }
    Millis until = clock_.Now() + Millis(std::stoll(wait));
    std::uint64_t after = std::stoull(QueryValue(target, "after"));
    watches_.push_back({ aExchange, aKey, after, until });
  }

  void OnPut(const Exchange& aExchange, const std::string& aKey)
  {
    const HttpRequest& request = aExchange->Request();
    StoredValue& stored = values_[aKey];
    std::uint64_t expected =
      std::stoull(QueryValue(request.target_, "revision"));
    if (stored.revision_ != expected) {
      Send(aExchange, { 409, {}, "" });
      return;
    }
    stored = { ++revision_, request.body_ };
    if (switches_.loseAnswers_ > 0) {
      --switches_.loseAnswers_;
      lost_.push_back(aExchange);
      return;
    }
    Send(aExchange, ValueAnswer(aKey));
  }

  void OnLease(const Exchange& aExchange, const std::string& aName)
  {
    const std::string& target = aExchange->Request().target_;
    std::string holder = QueryValue(target, "holder");
    Millis now = clock_.Now();
    Lease& lease = leases_[aName];
    if (lease.holder_ != holder && lease.until_ > now) {
      Send(aExchange, { 409, {}, "" });
      return;
    }
    lease = { holder, now + Millis(std::stoll(QueryValue(target, "ttl_ms"))) };
    Send(aExchange, { 200, {}, "" });
  }

  void OnListVms(const Exchange& aExchange)
  {
    const std::string& target = aExchange->Request().target_;
    std::string dataCentre = QueryValue(target, "data_centre");
    std::uint64_t since = std::stoull("0" + QueryValue(target, "since"));
    std::uint64_t newest = 0;
    std::vector<VmRecord> out;
    for (const auto& [name, record] : visibleVms_) {
      newest = std::max(newest, record.revision_);
      if (record.dataCentre_ == dataCentre && record.revision_ > since) {
        out.push_back(record);
      }
    }
    Send(aExchange, { 200, {}, VmsToJson(newest, out) });
  }

  void OnControl(const Exchange& aExchange)
  {
    const HttpRequest& request = aExchange->Request();
    try {
      if (request.target_ == "/vms") {
        SetVm(Json::parse(request.body_));
      } else if (request.target_ == "/switches") {
        SetSwitches(Json::parse(request.body_));
      }
      Json state = { { "calls", calls_ },
                     { "watches", watches_.size() },
                     { "reboots", reboots_ } };
      aExchange->Reply({ 200, {}, state.dump() + "\n" });
    } catch (const std::exception& error) {
      aExchange->Reply({ 400, {}, std::string(error.what()) + "\n" });
    }
  }

  void SetVm(const Json& aJson)
  {
    Json whole = { { "revision", 0 }, { "vms", Json::array({ aJson }) } };
    whole["vms"][0]["revision"] = ++revision_;
    auto page = VmsFromJson(whole.dump());
    if (!page) {
      throw std::runtime_error(page.error().Text());
    }
    Millis at = clock_.Now() + Millis(switches_.vmLagMs_);
    laggingVms_.emplace_back(at, page->vms_.front());
  }

  void SetSwitches(const Json& aJson)
  {
    switches_.stop_ = aJson.value("stop", switches_.stop_);
    switches_.freeze_ = aJson.value("freeze", switches_.freeze_);
    switches_.delayMs_ = aJson.value("delay_ms", switches_.delayMs_);
    switches_.loseAnswers_ =
      aJson.value("lose_answers", switches_.loseAnswers_);
    switches_.vmLagMs_ = aJson.value("vm_lag_ms", switches_.vmLagMs_);
  }

  struct Lease
  {
    std::string holder_;
    Millis until_{ 0 };
  };

  SteadyClock clock_;
  std::map<std::string, Lease> leases_;
  std::map<std::string, std::set<std::string>> reboots_; ///< asked for, by VM
  Switches switches_;
  std::uint64_t revision_ = 0;
  std::uint64_t calls_ = 0;
  std::map<std::string, StoredValue> values_;
  std::map<std::string, VmRecord> visibleVms_;
  std::deque<std::pair<Millis, VmRecord>> laggingVms_;
  std::vector<Watch> watches_;
  std::vector<Reply> replies_;
  std::vector<Exchange> lost_;
  Timer tick_;
  HttpServer platform_;
  HttpServer control_;
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
  Standin standin(base);
  if (!standin.Listen(*platform, *control)) {
    std::fprintf(stderr, "cannot listen\n");
    return 1;
  }
  event_base_dispatch(base);
  return 0;
}
