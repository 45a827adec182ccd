#include "coltsfootshed/Http/Client.h"

#include <algorithm>
#include <utility>

namespace coltsfootshed {

static constexpr Millis kConnectTimeout{ 1000 };
/// A peer that answered within this time is taken to be alive.
static constexpr Millis kRecentAnswerAge{ 1000 };
/// A connection that was idle for longer is closed instead of reused.
static constexpr Millis kMaxIdleTime{ 30000 };
/// Time between searches for connections that nobody uses any more.
static constexpr Millis kSweepInterval{ 5000 };

HttpClient::HttpClient(event_base* aBase,
                       const Clock& aClock,
                       std::size_t aMaxIdlePerPeer)
  : base_(aBase)
  , clock_(aClock)
  , maxIdlePerPeer_(aMaxIdlePerPeer)
  , deletionTimer_(aBase, [this] {
    connectionsToDelete_.clear();
    timersToDelete_.clear();
  })
{
}

HttpClient::IdleConnection HttpClient::TakeConnection(const Endpoint& aPeer,
                                                      Reuse aReuse)
{
  switch (aReuse) {
    case Reuse::Any:
      return TakeIdle(aPeer, std::nullopt, kMaxIdleTime);
    case Reuse::Recent:
      return TakeIdle(aPeer, std::nullopt, kRecentAnswerAge);
    case Reuse::Unidentified:
      return TakeIdle(aPeer, PeerIdentity(0), kMaxIdleTime);
    case Reuse::Never:
      break;
  }
  return {};
}

HttpClient::IdleConnection HttpClient::TakeIdle(
  const Endpoint& aPeer,
  std::optional<PeerIdentity> aIdentity,
  Millis aMaxAge)
{
  auto found = idle_.find(aPeer);
  if (found == idle_.end()) {
    return {};
  }
  std::vector<IdleConnection>& idle = found->second;
  for (std::size_t i = idle.size(); i-- > 0;) {
    if (aIdentity && idle[i].identity_ != *aIdentity) {
      continue;
    }
    IdleConnection candidate = std::move(idle[i]);
    idle.erase(idle.begin() + static_cast<std::ptrdiff_t>(i));
    bool isYoung = clock_.Now() - candidate.idleSince_ <= aMaxAge;
    if (isYoung && candidate.connection_->IsReusable()) {
      return candidate;
    }
    DeleteLater(std::move(candidate.connection_), nullptr);
  }
  return {};
}

CallId HttpClient::Call(const Endpoint& aPeer,
                        const HttpRequest& aRequest,
                        Millis aTimeout,
                        Reuse aReuse,
                        OnEnd aOnEnd)
{
  return Start(aPeer,
               aRequest,
               aTimeout,
               TakeConnection(aPeer, aReuse),
               std::move(aOnEnd));
}

bool HttpClient::CallIdentified(const Endpoint& aPeer,
                                const HttpRequest& aRequest,
                                Millis aTimeout,
                                PeerIdentity aIdentity,
                                OnEnd aOnEnd)
{
  IdleConnection connection = TakeIdle(aPeer, aIdentity, kMaxIdleTime);
  if (connection.connection_ == nullptr) {
    return false;
  }
  Start(aPeer, aRequest, aTimeout, std::move(connection), std::move(aOnEnd));
  return true;
}

void HttpClient::Identify(const Endpoint& aPeer,
                          ConnectionId aConnection,
                          PeerIdentity aIdentity)
{
  auto found = idle_.find(aPeer);
  if (found == idle_.end()) {
    return;
  }
  for (IdleConnection& idle : found->second) {
    if (idle.connection_->Id() == aConnection) {
      idle.identity_ = aIdentity;
    }
  }
}

/// Starts a call over aConnection, or over a new one if it is empty.
CallId HttpClient::Start(const Endpoint& aPeer,
                         const HttpRequest& aRequest,
                         Millis aTimeout,
                         IdleConnection aConnection,
                         OnEnd aOnEnd)
{
  CallId id = ++lastCallId_;
  RunningCall& call = calls_[id];
  bool isNew = aConnection.connection_ == nullptr;
  call.peer_ = aPeer;
  call.connection_ = isNew ? std::make_unique<ClientConnection>(base_, aPeer)
                           : std::move(aConnection.connection_);
  call.identity_ = aConnection.identity_;
  call.onEnd_ = std::move(aOnEnd);
  call.deadline_ = clock_.Now() + aTimeout;
  call.timer_ = std::make_unique<Timer>(base_, [this, id] { OnTimer(id); });
  call.timer_->Start(isNew ? std::min(aTimeout, kConnectTimeout) : aTimeout);
  bool started =
    call.connection_->Send(aRequest, [this, id](CallResult aResult) {
      OnCallEnd(id, std::move(aResult));
    });
  if (!started) {
    call.timer_->Start(Millis(0));
  }
  return id;
}

void HttpClient::OnTimer(CallId aCall)
{
  RunningCall& call = calls_.at(aCall);
  bool mayHaveSent = call.connection_->MayHaveSent();
  Millis timeLeft = call.deadline_ - clock_.Now();
  if (mayHaveSent && timeLeft > Millis(0)) {
    call.timer_->Start(timeLeft);
    return;
  }
  call.connection_->Abandon();
  OnCallEnd(aCall, { mayHaveSent ? CallEnd::Broken : CallEnd::NotSent, {} });
}

void HttpClient::OnCallEnd(CallId aCall, CallResult aResult)
{
  auto found = calls_.find(aCall);
  RunningCall call = std::move(found->second);
  calls_.erase(found);
  call.timer_->Stop();
  if (call.connection_->IsReusable()) {
    AddToPool(call.peer_, std::move(call.connection_), call.identity_);
  }
  DeleteLater(std::move(call.connection_), std::move(call.timer_));
  call.onEnd_(std::move(aResult));
}

void HttpClient::AddToPool(const Endpoint& aPeer,
                           std::unique_ptr<ClientConnection> aConnection,
                           PeerIdentity aIdentity)
{
  std::vector<IdleConnection>& idle = idle_[aPeer];
  idle.push_back({ std::move(aConnection), clock_.Now(), aIdentity });
  if (idle.size() > maxIdlePerPeer_) {
    DeleteLater(std::move(idle.front().connection_), nullptr);
    idle.erase(idle.begin());
  }
  CloseUnused();
}

void HttpClient::CloseUnused()
{
  Millis now = clock_.Now();
  if (now < nextSweepAt_) {
    return;
  }
  nextSweepAt_ = now + kSweepInterval;
  for (auto& [peer, idle] : idle_) {
    auto used = std::find_if(idle.begin(), idle.end(), [&](const auto& aIdle) {
      return now - aIdle.idleSince_ <= kMaxIdleTime;
    });
    std::for_each(idle.begin(), used, [&](IdleConnection& aIdle) {
      DeleteLater(std::move(aIdle.connection_), nullptr);
    });
    idle.erase(idle.begin(), used);
  }
  std::erase_if(idle_,
                [](const auto& aEntry) { return aEntry.second.empty(); });
}

std::size_t HttpClient::IdleConnections() const
{
  std::size_t count = 0;
  for (const auto& [peer, idle] : idle_) {
    count += idle.size();
  }
  return count;
}

void HttpClient::DeleteLater(std::unique_ptr<ClientConnection> aConnection,
                             std::unique_ptr<Timer> aTimer)
{
  if (aConnection != nullptr) {
    connectionsToDelete_.push_back(std::move(aConnection));
  }
  if (aTimer != nullptr) {
    timersToDelete_.push_back(std::move(aTimer));
  }
  deletionTimer_.Start(Millis(0));
}

void HttpClient::Abandon(CallId aCall)
{
  auto found = calls_.find(aCall);
  if (found == calls_.end()) {
    return;
  }
  RunningCall call = std::move(found->second);
  calls_.erase(found);
  call.timer_->Stop();
  call.connection_->Abandon();
  DeleteLater(std::move(call.connection_), std::move(call.timer_));
}

bool HttpClient::MayHaveSent(CallId aCall) const
{
  auto found = calls_.find(aCall);
  return found == calls_.end() || found->second.connection_->MayHaveSent();
}

void HttpClient::CloseIdle(const Endpoint& aPeer)
{
  auto found = idle_.find(aPeer);
  if (found == idle_.end()) {
    return;
  }
  for (IdleConnection& idle : found->second) {
    DeleteLater(std::move(idle.connection_), nullptr);
  }
  idle_.erase(found);
}

} // namespace coltsfootshed
