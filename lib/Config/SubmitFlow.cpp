#include "coltsfootshed/Config/SubmitFlow.h"

#include <utility>

namespace coltsfootshed {

SubmitFlow::SubmitFlow(Head aHead, std::uint64_t aFromVersion, int aAttempts)
  : head_(std::move(aHead))
  , fromVersion_(aFromVersion)
  , attemptsLeft_(aAttempts)
{
  head_.version_ = fromVersion_ + 1;
}

void SubmitFlow::UseAttempt()
{
  --attemptsLeft_;
  if (attemptsLeft_ <= 0) {
    result_ = SubmitResult::Undecided;
  }
}

void SubmitFlow::OnHead(const StoredHead& aStored)
{
  if (aStored.head_.submission_ == head_.submission_) {
    result_ = SubmitResult::Accepted;
    return;
  }
  if (aStored.head_.version_ == fromVersion_) {
    revision_ = aStored.revision_;
    next_ = Action::WriteHead;
    return;
  }
  // A later head does not show whether this one was written and replaced.
  bool mayHaveBeenReplaced =
    mayBeWritten_ && aStored.head_.version_ > head_.version_;
  result_ =
    mayHaveBeenReplaced ? SubmitResult::Undecided : SubmitResult::Conflict;
}

void SubmitFlow::OnHeadUnreadable()
{
  UseAttempt();
}

void SubmitFlow::OnWrite(WriteResult aResult)
{
  if (aResult == WriteResult::Written) {
    result_ = SubmitResult::Accepted;
    return;
  }
  mayBeWritten_ = mayBeWritten_ || aResult == WriteResult::NoAnswer;
  next_ = Action::ReadHead;
  UseAttempt();
}

} // namespace coltsfootshed
