/// \file
/// The client interface of the replicated store, which keeps what must outlive
/// a process: items with revisions, conditional transactions, leases and
/// watches.
#ifndef COLTSFOOTSHED_STORE_KEYVALUESTORE_H
#define COLTSFOOTSHED_STORE_KEYVALUESTORE_H

#include "coltsfootshed/Support/Clock.h"
#include "coltsfootshed/Support/Error.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace coltsfootshed {

/// Revisions start above 0 and rise with every change of the store.
using Revision = std::uint64_t;
/// 0 means no lease.
using LeaseId = std::uint64_t;

struct StoreItem
{
  std::string key_;
  std::string value_;
  Revision revision_ = 0; ///< of the last change
  Revision created_ = 0;  ///< of the creation
  LeaseId lease_ = 0;     ///< with whose end the item is deleted
};

/// A change of one key; value and lease are empty if it was deleted.
struct StoreEvent
{
  StoreItem item_;
  bool deleted_ = false;
};

/// One page of a range.
struct StorePage
{
  std::vector<StoreItem> items_;
  bool hasMore_ = false;
  Revision asOf_ = 0; ///< revision of the store at which it was read
};

/// The answer to a watch.
struct StoreEvents
{
  std::vector<StoreEvent> events_;
  Revision asOf_ = 0; ///< the events are complete up to this revision
  /// The store no longer has all events since the requested revision; the range
  /// must be read again.
  bool historyGone_ = false;
};

/// The revision that a key must have for a transaction to be committed.
struct StoreCondition
{
  std::string key_;
  Revision revision_ = 0; ///< 0: the key must not exist
};

struct StorePut
{
  std::string key_;
  std::string value_;
  LeaseId lease_ = 0;
};

/// An atomic write; the store accepts at most kMaxEntries entries.
struct Transaction
{
  static constexpr std::size_t kMaxEntries = 32; ///< limit of the store

  std::vector<StoreCondition> conditions_;
  std::vector<StorePut> puts_;
  std::vector<std::string> deletes_;

  std::size_t Entries() const
  {
    return conditions_.size() + puts_.size() + deletes_.size();
  }
};

enum class CommitEnd
{
  Committed,
  ConditionFailed, ///< a condition did not hold; nothing was done
  LeaseGone,       ///< a lease does not exist; nothing was done
  Refused,         ///< nothing was done, for another reason
  Unknown          ///< may have been done, or may still be done
};

struct CommitResult
{
  CommitEnd end_ = CommitEnd::Unknown;
  Revision revision_ = 0;          ///< if Committed
  std::vector<StoreItem> current_; ///< if ConditionFailed: the keys as they are
  std::string reason_;             ///< for logs: the store's answer or failure
};

enum class KeepEnd
{
  Kept,
  Gone,  ///< the lease has ended
  Failed ///< no usable answer
};

/// Calls never block. Callbacks run on the same event loop, never from within
/// the call.
class KeyValueStore
{
public:
  virtual ~KeyValueStore() = default;

  using OnItem = std::function<void(Result<std::optional<StoreItem>>)>;
  using OnPage = std::function<void(Result<StorePage>)>;
  using OnEvents = std::function<void(Result<StoreEvents>)>;
  using OnCommit = std::function<void(CommitResult)>;
  using OnLease = std::function<void(Result<LeaseId>)>;
  using OnKeep = std::function<void(KeepEnd)>;

  /// Reads an item; the answer is empty if the key does not exist.
  virtual void Get(std::string_view aKey, OnItem aOnItem) = 0;
  /// Reads one page of the keys with a prefix, those after the key aAfter if it
  /// is not empty.
  virtual void Range(std::string_view aPrefix,
                     std::string_view aAfter,
                     OnPage aOnPage) = 0;
  /// Answers with the first events after a revision, or with none after aWait.
  virtual void Watch(std::string_view aPrefix,
                     Revision aAfter,
                     Millis aWait,
                     OnEvents aOnEvents) = 0;
  virtual void Commit(const Transaction& aTransaction, OnCommit aOnCommit) = 0;
  /// Grants a lease that ends after aDuration unless it is renewed.
  virtual void GrantLease(Millis aDuration, OnLease aOnLease) = 0;
  /// Renews a lease for its duration.
  virtual void KeepLease(LeaseId aLease, OnKeep aOnKeep) = 0;
  /// Ends a lease and deletes its items. aOnEnd runs when the store has
  /// answered or the call has failed.
  virtual void EndLease(LeaseId aLease, std::function<void()> aOnEnd) = 0;
};

} // namespace coltsfootshed

#endif
