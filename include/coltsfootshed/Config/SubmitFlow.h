/// \file
/// State machine that writes one submission to config/head by compare-and-swap
/// and determines the result for its operator, also when answers are lost.
#ifndef COLTSFOOTSHED_CONFIG_SUBMITFLOW_H
#define COLTSFOOTSHED_CONFIG_SUBMITFLOW_H

#include "coltsfootshed/Config/Version.h"

#include <cstdint>
#include <optional>
#include <string>

namespace coltsfootshed {

/// Result for the operator. Undecided means that the write may or may not have
/// taken effect; the same submission may be sent again.
enum class SubmitResult
{
  Accepted,
  Conflict,
  Undecided
};

/// Outcome of one write to the platform.
enum class WriteResult
{
  Written,
  Mismatch, ///< the key had a different revision
  NoAnswer  ///< it may have been written
};

/// A head and its revision in the platform's key-value service.
struct StoredHead
{
  std::uint64_t revision_ = 0; ///< 0: the key does not exist
  Head head_;
};

/// One submission. The caller carries out Next() and reports its outcome until
/// Finished() has a value.
class SubmitFlow
{
public:
  enum class Action
  {
    ReadHead,
    WriteHead
  };

  /// aHead is the new head, complete except for its version; it is based on
  /// aFromVersion. After aAttempts failed reads and writes the result is
  /// Undecided.
  SubmitFlow(Head aHead, std::uint64_t aFromVersion, int aAttempts);

  Action Next() const { return next_; }
  /// The head to write, and the revision that it must replace.
  const Head& NewHead() const { return head_; }
  std::uint64_t ExpectedRevision() const { return revision_; }

  void OnHead(const StoredHead& aStored);
  void OnHeadUnreadable();
  void OnWrite(WriteResult aResult);

  std::optional<SubmitResult> Finished() const { return result_; }

private:
  void UseAttempt();

  Head head_;
  std::uint64_t fromVersion_;
  std::uint64_t revision_ = 0;
  int attemptsLeft_;
  bool mayBeWritten_ = false;
  Action next_ = Action::ReadHead;
  std::optional<SubmitResult> result_;
};

} // namespace coltsfootshed

#endif
