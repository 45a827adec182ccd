#include "coltsfootshed/Requests/AttemptRunner.h"

#include <algorithm>
#include <utility>

namespace coltsfootshed {

static constexpr std::size_t kMaxIdleConnectionsPerTarget = 8;
/// Upper limit of a probe, which otherwise gets the usual response time.
static constexpr Millis kMaxProbeTime{ 1000 };

AttemptRunner::AttemptRunner(event_base* aBase, const Clock& aClock)
  : base_(aBase)
  , httpClient_(aBase, aClock, kMaxIdleConnectionsPerTarget)
{
}

AttemptId AttemptRunner::Start(const AttemptTarget& aTarget,
                               const HttpRequest& aRequest,
                               Millis aTimeout,
                               bool aRecentOnly,
                               AttemptEvents aEvents)
{
  AttemptId id = ++lastAttempt_;
  Attempt& attempt = attempts_[id];
  attempt.target_ = aTarget;
  attempt.events_ = std::move(aEvents);
  attempt.silenceTimer_ =
    std::make_unique<Timer>(base_, [this, id] { OnSilenceTimer(id); });
  attempt.silenceTimer_->Start(aTarget.usualResponseTime_);
  CallId call = httpClient_.Call(
    aTarget.endpoint_,
    aRequest,
    aTimeout,
    aRecentOnly ? Reuse::Recent : Reuse::Any,
    [this, id](CallResult aResult) { OnEnd(id, std::move(aResult)); });
  attempts_.at(id).call_ = call;
  return id;
}

void AttemptRunner::DeleteLater(std::unique_ptr<Timer> aTimer)
{
  // A timer cannot be deleted from within its own callback, so each call keeps
  // its timer and deletes that of the call before.
  aTimer->Stop();
  timersToDelete_.clear();
  timersToDelete_.push_back(std::move(aTimer));
}

void AttemptRunner::OnEnd(AttemptId aAttempt, CallResult aResult)
{
  auto found = attempts_.find(aAttempt);
  Attempt attempt = std::move(found->second);
  attempts_.erase(found);
  DeleteLater(std::move(attempt.silenceTimer_));
  attempt.events_.onEnd_(aAttempt, std::move(aResult));
}

void AttemptRunner::OnSilenceTimer(AttemptId aAttempt)
{
  const Attempt& attempt = attempts_.at(aAttempt);
  Probe(attempt.target_, [this, aAttempt](bool aAlive) {
    auto found = attempts_.find(aAttempt);
    if (found == attempts_.end()) {
      return;
    }
    auto onSilent = found->second.events_.onSilent_;
    onSilent(aAlive);
  });
}

void AttemptRunner::Probe(const AttemptTarget& aTarget,
                          std::function<void(bool)> aOnEnd)
{
  Millis limit = std::min(aTarget.usualResponseTime_, kMaxProbeTime);
  HttpRequest probe{ "GET", aTarget.probePath_, {}, "" };
  httpClient_.Call(aTarget.endpoint_,
                   probe,
                   limit,
                   Reuse::Never,
                   [onEnd = std::move(aOnEnd)](const CallResult& aResult) {
                     onEnd(aResult.end_ == CallEnd::Answered);
                   });
}

void AttemptRunner::Abandon(AttemptId aAttempt)
{
  auto found = attempts_.find(aAttempt);
  if (found == attempts_.end()) {
    return;
  }
  Attempt attempt = std::move(found->second);
  attempts_.erase(found);
  httpClient_.Abandon(attempt.call_);
  DeleteLater(std::move(attempt.silenceTimer_));
}

bool AttemptRunner::MayHaveSent(AttemptId aAttempt) const
{
  auto found = attempts_.find(aAttempt);
  return found != attempts_.end() &&
         httpClient_.MayHaveSent(found->second.call_);
}

} // namespace coltsfootshed
