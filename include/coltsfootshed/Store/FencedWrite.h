/// \file
/// Writes that only the present leader of a duty can commit.
#ifndef COLTSFOOTSHED_STORE_FENCEDWRITE_H
#define COLTSFOOTSHED_STORE_FENCEDWRITE_H

#include "coltsfootshed/Store/KeyValueStore.h"
#include "coltsfootshed/Store/Keys.h"

namespace coltsfootshed {

/// A transaction that fails once the duty's key has another revision than
/// aFence, under which it is led.
inline Transaction FencedTransaction(std::string_view aDuty, Revision aFence)
{
  Transaction transaction;
  transaction.conditions_.push_back({ keys::Leader(aDuty), aFence });
  return transaction;
}

/// The revision of a key that a transaction puts under the condition that it
/// has revision aKnown. An earlier write may have been carried out without an
/// answer; its revision shows when the condition fails.
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
