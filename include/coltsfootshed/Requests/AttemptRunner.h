/// \file
/// Makes attempts on targets, and probes targets that stay silent.
#ifndef COLTSFOOTSHED_REQUESTS_ATTEMPTRUNNER_H
#define COLTSFOOTSHED_REQUESTS_ATTEMPTRUNNER_H

#include "coltsfootshed/Http/Client.h"
#include "coltsfootshed/Requests/TargetClient.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

namespace coltsfootshed {

class AttemptRunner final : public TargetClient
{
public:
  AttemptRunner(event_base* aBase, const Clock& aClock);

  AttemptId Start(const AttemptTarget& aTarget,
                  const HttpRequest& aRequest,
                  Millis aTimeout,
                  bool aRecentOnly,
                  AttemptEvents aEvents) override;
  void Abandon(AttemptId aAttempt) override;
  bool MayHaveSent(AttemptId aAttempt) const override;
  void Probe(const AttemptTarget& aTarget,
             std::function<void(bool)> aOnEnd) override;
  void CloseIdle(const Endpoint& aTarget) override
  {
    httpClient_.CloseIdle(aTarget);
  }

private:
  struct Attempt
  {
    AttemptTarget target_;
    CallId call_ = 0;
    std::unique_ptr<Timer> silenceTimer_;
    AttemptEvents events_;
  };

  void OnSilenceTimer(AttemptId aAttempt);
  void OnEnd(AttemptId aAttempt, CallResult aResult);
  void DeleteLater(std::unique_ptr<Timer> aTimer);

  event_base* base_;
  HttpClient httpClient_;
  AttemptId lastAttempt_ = 0;
  std::unordered_map<AttemptId, Attempt> attempts_;
  std::vector<std::unique_ptr<Timer>> timersToDelete_;
};

} // namespace coltsfootshed

#endif
