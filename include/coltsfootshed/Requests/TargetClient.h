/// \file
/// The dispatcher's interface to its targets.
#ifndef COLTSFOOTSHED_REQUESTS_TARGETCLIENT_H
#define COLTSFOOTSHED_REQUESTS_TARGETCLIENT_H

#include "coltsfootshed/Http/ClientConnection.h"
#include "coltsfootshed/Support/Clock.h"

#include <cstdint>
#include <functional>
#include <string>

namespace coltsfootshed {

/// Identifies an attempt of one TargetClient.
using AttemptId = std::uint64_t;

/// Callbacks of an attempt, which never run from within Start(). onEnd_ runs
/// once, unless the attempt is abandoned; onSilent_ never runs after it.
struct AttemptEvents
{
  std::function<void(AttemptId, CallResult)> onEnd_;
  /// No answer within the usual response time. The argument tells whether the
  /// target answered a probe on a new connection.
  std::function<void(bool)> onSilent_;
};

/// How to reach a target and what to expect of it.
struct AttemptTarget
{
  Endpoint endpoint_;
  std::string probePath_;
  Millis usualResponseTime_{ 0 }; ///< silence for longer causes a probe
};

class TargetClient
{
public:
  virtual ~TargetClient() = default;
  /// Starts an attempt that ends after aTimeout at the latest. With aRecentOnly
  /// an idle connection is reused only if its peer answered a moment ago: a
  /// request that is not idempotent cannot be retried once a byte has left.
  virtual AttemptId Start(const AttemptTarget& aTarget,
                          const HttpRequest& aRequest,
                          Millis aTimeout,
                          bool aRecentOnly,
                          AttemptEvents aEvents) = 0;
  /// Ends an attempt without running its callbacks.
  virtual void Abandon(AttemptId aAttempt) = 0;
  /// True if a byte of the attempt may have left this process.
  virtual bool MayHaveSent(AttemptId aAttempt) const = 0;
  /// Requests the probe path of a target on a new connection; aOnEnd gets true
  /// if the target answers in time.
  virtual void Probe(const AttemptTarget& aTarget,
                     std::function<void(bool)> aOnEnd) = 0;
  /// Closes the idle connections to a target.
  virtual void CloseIdle(const Endpoint& aTarget) = 0;
};

} // namespace coltsfootshed

#endif
