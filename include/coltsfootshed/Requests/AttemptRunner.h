/// \file
/// Carries out attempts on targets, and finds out about silent connections.
#ifndef COLTSFOOTSHED_REQUESTS_ATTEMPTRUNNER_H
#define COLTSFOOTSHED_REQUESTS_ATTEMPTRUNNER_H

#include "coltsfootshed/Http/Caller.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

namespace coltsfootshed {

/// Names an attempt of one AttemptRunner.
using AttemptId = std::uint64_t;

/// What an attempt reports. Either may come first; onEnd_ comes once, unless
/// the attempt is abandoned.
struct AttemptEvents
{
  std::function<void(AttemptId, CallResult)> onEnd_;
  /// No answer within the usual time. The argument tells whether the target
  /// answered a probe on a new connection.
  std::function<void(bool)> onSilent_;
};

/// How to reach a target and what to expect of it.
struct AttemptTarget
{
  Endpoint endpoint_;
  std::string probePath_;
  Millis usual_{ 0 }; ///< silence for longer causes a probe
};

class AttemptRunner
{
public:
  AttemptRunner(event_base* aBase, const Clock& aClock);

  /// Starts an attempt that ends after aLimit at the latest. With aCareful a
  /// pooled connection is used only if its peer answered a moment ago.
  AttemptId Start(const AttemptTarget& aTarget,
                  const HttpRequest& aRequest,
                  Millis aLimit,
                  bool aCareful,
                  AttemptEvents aEvents);
  void Abandon(AttemptId aAttempt);
  /// True if a byte of the attempt may have left this process.
  bool MayHaveSent(AttemptId aAttempt) const;
  /// Asks whether a target answers at all.
  void Probe(const AttemptTarget& aTarget, std::function<void(bool)> aOnEnd);
  /// Closes the idle connections to a target.
  void CloseIdle(const Endpoint& aTarget) { caller_.CloseIdle(aTarget); }

private:
  struct Attempt
  {
    AttemptTarget target_;
    CallId call_ = 0;
    std::unique_ptr<Timer> quiet_;
    AttemptEvents events_;
  };

  void OnQuiet(AttemptId aAttempt);
  void OnEnd(AttemptId aAttempt, CallResult aResult);
  void Retire(std::unique_ptr<Timer> aTimer);

  event_base* base_;
  HttpCaller caller_;
  AttemptId last_ = 0;
  std::unordered_map<AttemptId, Attempt> attempts_;
  std::vector<std::unique_ptr<Timer>> spareTimers_;
};

} // namespace coltsfootshed

#endif
