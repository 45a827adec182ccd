#include "coltsfootshed/Routing/RequestFlow.h"

#include "coltsfootshed/Routing/RetryBudget.h"

#include <cassert>

namespace coltsfootshed {

std::string_view OutcomeName(Outcome aOutcome)
{
  switch (aOutcome) {
    case Outcome::Answered:
      return "answered";
    case Outcome::NotRun:
      return "not-run";
    case Outcome::Unknown:
      return "unknown";
  }
  return "unknown";
}

RequestFlow::RequestFlow(bool aIdempotent,
                         int aMaxAttempts,
                         RetryBudget& aBudget)
  : idempotent_(aIdempotent)
  , maxAttempts_(aMaxAttempts)
  , budget_(aBudget)
{
}

void RequestFlow::OnAttempt()
{
  assert((idempotent_ || !mayHaveRun_) &&
         "a non-idempotent request must not be sent twice");
  ++attempts_;
}

Outcome RequestFlow::Result() const
{
  if (answered_) {
    return Outcome::Answered;
  }
  return mayHaveRun_ ? Outcome::Unknown : Outcome::NotRun;
}

FlowStep RequestFlow::RetryOrFinish(bool aUsesBudget)
{
  bool safe = idempotent_ || !mayHaveRun_;
  if (!safe || attempts_ >= maxAttempts_) {
    return FlowStep::Finish;
  }
  if (aUsesBudget && !budget_.TryTake()) {
    return FlowStep::Finish;
  }
  return FlowStep::Retry;
}

FlowStep RequestFlow::OnNotSent()
{
  // No byte left this process, so the attempt does not count.
  --attempts_;
  return RetryOrFinish(false);
}

FlowStep RequestFlow::OnRefused()
{
  return RetryOrFinish(true);
}

FlowStep RequestFlow::OnBroken()
{
  mayHaveRun_ = true;
  return RetryOrFinish(true);
}

FlowStep RequestFlow::OnSilent()
{
  if (!idempotent_ || attempts_ >= maxAttempts_ || !budget_.TryTake()) {
    return FlowStep::Wait;
  }
  return FlowStep::Retry;
}

FlowStep RequestFlow::OnAnswered()
{
  budget_.OnSuccess();
  answered_ = true;
  return FlowStep::Finish;
}

FlowStep RequestFlow::OnDeadline(bool aMayHaveSent)
{
  mayHaveRun_ = mayHaveRun_ || aMayHaveSent;
  return FlowStep::Finish;
}

} // namespace coltsfootshed
