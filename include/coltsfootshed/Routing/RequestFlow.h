/// \file
/// Decides the next step of a request after each event of its attempts: wait,
/// retry, or finish. The outcome never claims more than is certain.
#ifndef COLTSFOOTSHED_ROUTING_REQUESTFLOW_H
#define COLTSFOOTSHED_ROUTING_REQUESTFLOW_H

#include <string_view>

namespace coltsfootshed {

class RetryBudget;

/// What the caller is told.
enum class Outcome
{
  Answered, ///< the target's own, whole answer
  NotRun,   ///< certainly not run by any target
  Unknown   ///< it may have run
};

/// "answered", "not-run" or "unknown".
std::string_view OutcomeName(Outcome aOutcome);

/// Next step of a request.
enum class FlowStep
{
  Wait,  ///< for the attempt that is under way
  Retry, ///< make another attempt
  Finish ///< tell the caller Result()
};

/// State of one request from its first attempt to its outcome. A hand-over
/// counts as an attempt. A request that is not idempotent is retried only if
/// every attempt so far certainly did not run.
class RequestFlow
{
public:
  RequestFlow(bool aIdempotent, int aMaxAttempts, RetryBudget& aBudget);

  /// An attempt starts; its bytes may reach a target from now on.
  void OnAttempt();
  /// No byte of the attempt left this process.
  FlowStep OnNotSent();
  /// The target or peer declared that it did not run the request.
  FlowStep OnRefused();
  /// The attempt broke after a byte had left.
  FlowStep OnBroken();
  /// The attempt's connection is silent, though its target may be alive.
  FlowStep OnSilent();
  /// The target's whole answer has arrived.
  FlowStep OnAnswered();
  /// The deadline has passed. aMayHaveSent: a byte of an attempt under way may
  /// have left this process.
  FlowStep OnDeadline(bool aMayHaveSent);

  /// The outcome by the events so far. An attempt under way does not count
  /// until its end or the deadline is reported.
  Outcome Result() const;
  /// Attempts so far, without those of which no byte was sent.
  int Attempts() const { return attempts_; }

private:
  /// aUsesBudget: the retry follows an attempt that may have reached a target
  /// and is taken from the retry budget.
  FlowStep RetryOrFinish(bool aUsesBudget);

  bool idempotent_;
  int maxAttempts_;
  RetryBudget& budget_;
  int attempts_ = 0;
  bool mayHaveRun_ = false;
  bool answered_ = false;
};

} // namespace coltsfootshed

#endif
