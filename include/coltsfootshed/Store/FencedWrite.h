/// \file
/// Writes that only the current leader of a duty can commit.
#ifndef COLTSFOOTSHED_STORE_FENCEDWRITE_H
#define COLTSFOOTSHED_STORE_FENCEDWRITE_H

#include "coltsfootshed/Store/KeyValueStore.h"
#include "coltsfootshed/Store/Keys.h"

namespace coltsfootshed {

/// Returns a transaction that the store rejects unless the leader's key of the
/// duty still has the revision aFence.
inline Transaction FencedTransaction(std::string_view aDuty, Revision aFence)
{
  Transaction transaction;
  transaction.conditions_.push_back({ keys::Leader(aDuty), aFence });
  return transaction;
}

/// Returns the revision of a key after a transaction that puts it on condition
/// that it has the revision aKnown. If an earlier write without an answer was
/// committed, the condition fails and the result holds that write's revision.
inline Revision RevisionAfter(const CommitResult& aResult,
                              std::string_view aKey,
                              Revision aKnown)
{
  if (aResult.end_ == CommitEnd::Committed) {
    return aResult.revision_;
  }
  for (const StoreItem& item : aResult.current_) {
    if (item.key_ == aKey) {
      return item.revision_;
    }
  }
  return aKnown;
}

} // namespace coltsfootshed

#endif
