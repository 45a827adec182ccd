/// \file
/// Decides how one submission reaches config/head by compare-and-swap, and
/// what its operator is told, also when answers are lost.
#ifndef COLTSFOOTSHED_CONFIG_SUBMITFLOW_H
#define COLTSFOOTSHED_CONFIG_SUBMITFLOW_H

#include "coltsfootshed/Config/Version.h"

#include <cstdint>
#include <optional>
#include <string>

namespace coltsfootshed {

/// What the operator is told. Undecided means that the write may or may not
/// have taken effect, and that the same submission may be sent again.
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
  Mismatch, ///< the revision was another one
  NoAnswer  ///< it may have been written
};

/// A head with the revision under which the platform holds it.
struct StoredHead
{
  std::uint64_t revision_ = 0; ///< 0: the key does not exist
  Head head_;
};

/// One submission. The caller carries out Next() and reports what came of it
/// until Finished() has a value.
class SubmitFlow
{
public:
  enum class Action
  {
    ReadHead,
    WriteHead
  };

  /// aHead is the complete new head but for its version; it was edited from
  /// aFromVersion. At most aAttempts writes are made.
  SubmitFlow(Head aHead, std::uint64_t aFromVersion, int aAttempts);

  Action Next() const { return next_; }
  /// The head to write, and the revision it must replace.
  const Head& NewHead() const { return head_; }
  std::uint64_t ExpectedRevision() const { return revision_; }

  void OnHead(const StoredHead& aStored);
  void OnHeadUnreadable();
  void OnWrite(WriteResult aResult);

  std::optional<SubmitResult> Finished() const { return result_; }

private:
  void SpendAttempt();

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
