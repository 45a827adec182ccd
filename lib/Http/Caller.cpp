#include "coltsfootshed/Http/Caller.h"

#include <algorithm>
#include <utility>

namespace coltsfootshed {

static constexpr Millis kConnectLimit{ 1000 };
/// A peer that answered this recently counts as proved alive.
static constexpr Millis kRecent{ 1000 };
/// An idle connection older than this is not used again.
static constexpr Millis kMostIdle{ 30000 };

HttpCaller::HttpCaller(event_base* aBase,
                       const Clock& aClock,
                       std::size_t aIdlePerPeer)
  : base_(aBase)
  , clock_(aClock)
  , idlePerPeer_(aIdlePerPeer)
  , sweep_(aBase, [this] {
    deadConnections_.clear();
    deadTimers_.clear();
  })
{
}

std::unique_ptr<ClientConnection>
HttpCaller::TakeConnection(const Endpoint& aPeer, Reuse aReuse, bool& aIsNew)
{
  aIsNew = false;
  std::vector<IdleConnection>& idle = idle_[aPeer];
  Millis most = aReuse == Reuse::Any ? kMostIdle : kRecent;
  while (aReuse != Reuse::Never && !idle.empty()) {
    IdleConnection candidate = std::move(idle.back());
    idle.pop_back();
    bool young = clock_.Now() - candidate.since_ <= most;
    if (young && candidate.connection_->IsReusable()) {
      return std::move(candidate.connection_);
    }
    Discard(std::move(candidate.connection_), nullptr);
  }
  aIsNew = true;
  return std::make_unique<ClientConnection>(base_, aPeer);
}

CallId HttpCaller::Call(const Endpoint& aPeer,
                        const HttpRequest& aRequest,
                        Millis aLimit,
                        Reuse aReuse,
                        OnEnd aOnEnd)
{
  CallId id = ++lastCall_;
  RunningCall& call = calls_[id];
  bool isNew = false;
  call.peer_ = aPeer;
  call.connection_ = TakeConnection(aPeer, aReuse, isNew);
  call.onEnd_ = std::move(aOnEnd);
  call.endsAt_ = clock_.Now() + aLimit;
  call.timer_ = std::make_unique<Timer>(base_, [this, id] { OnTimer(id); });
  call.timer_->Start(isNew ? std::min(aLimit, kConnectLimit) : aLimit);
  bool started =
    call.connection_->Send(aRequest, [this, id](CallResult aResult) {
      OnCallEnd(id, std::move(aResult));
    });
  if (!started) {
    call.timer_->Start(Millis(0));
  }
  return id;
}

void HttpCaller::OnTimer(CallId aCall)
{
  RunningCall& call = calls_.at(aCall);
  bool maySent = call.connection_->MayHaveSent();
  Millis left = call.endsAt_ - clock_.Now();
  if (maySent && left > Millis(0)) {
    call.timer_->Start(left);
    return;
  }
  call.connection_->Abandon();
  OnCallEnd(aCall, { maySent ? CallEnd::Broken : CallEnd::NotSent, {} });
}

void HttpCaller::OnCallEnd(CallId aCall, CallResult aResult)
{
  auto found = calls_.find(aCall);
  RunningCall call = std::move(found->second);
  calls_.erase(found);
  call.timer_->Stop();
  if (call.connection_->IsReusable()) {
    Keep(call.peer_, std::move(call.connection_));
  }
  Discard(std::move(call.connection_), std::move(call.timer_));
  call.onEnd_(std::move(aResult));
}

void HttpCaller::Keep(const Endpoint& aPeer,
                      std::unique_ptr<ClientConnection> aConnection)
{
  std::vector<IdleConnection>& idle = idle_[aPeer];
  if (idle.size() >= idlePerPeer_) {
    Discard(std::move(aConnection), nullptr);
    return;
  }
  idle.push_back({ std::move(aConnection), clock_.Now() });
}

void HttpCaller::Discard(std::unique_ptr<ClientConnection> aConnection,
                         std::unique_ptr<Timer> aTimer)
{
  if (aConnection != nullptr) {
    deadConnections_.push_back(std::move(aConnection));
  }
  if (aTimer != nullptr) {
    deadTimers_.push_back(std::move(aTimer));
  }
  sweep_.Start(Millis(0));
}

void HttpCaller::Abandon(CallId aCall)
{
  auto found = calls_.find(aCall);
  if (found == calls_.end()) {
    return;
  }
  RunningCall call = std::move(found->second);
  calls_.erase(found);
  call.timer_->Stop();
  call.connection_->Abandon();
  Discard(std::move(call.connection_), std::move(call.timer_));
}

bool HttpCaller::MayHaveSent(CallId aCall) const
{
  auto found = calls_.find(aCall);
  return found == calls_.end() || found->second.connection_->MayHaveSent();
}

void HttpCaller::CloseIdle(const Endpoint& aPeer)
{
  auto found = idle_.find(aPeer);
  if (found == idle_.end()) {
    return;
  }
  for (IdleConnection& idle : found->second) {
    Discard(std::move(idle.connection_), nullptr);
  }
  idle_.erase(found);
}

} // namespace coltsfootshed
