/// \file
/// The replicated store that keeps what must outlive a process: items with
/// revisions, conditional transactions, leases and watches.
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
  Revision revision_ = 0; ///< last change
  Revision created_ = 0;
  LeaseId lease_ = 0;
};

/// A change of one key; value and lease are empty if it was deleted.
struct StoreEvent
{
  StoreItem item_;
  bool deleted_ = false;
};

struct StorePage
{
  std::vector<StoreItem> items_;
  bool hasMore_ = false;
  Revision asOf_ = 0;
};

struct StoreEvents
{
  std::vector<StoreEvent> events_;
  Revision asOf_ = 0;
  bool historyGone_ = false; ///< the range must be read anew
};

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

/// All or nothing; the store accepts at most kMaxEntries entries.
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
  std::vector<StoreItem> current_; ///< if ConditionFailed
  std::string reason_;             ///< if Refused or Unknown
};

enum class KeepEnd
{
  Kept,
  Gone,  ///< the lease has ended
  Failed ///< no usable answer
};

/// Calls never block; callbacks run later on the same loop.
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

  virtual void Get(std::string_view aKey, OnItem aOnItem) = 0;
  /// One page of the keys with a prefix, after aAfter if it is not empty.
  virtual void Range(std::string_view aPrefix,
                     std::string_view aAfter,
                     OnPage aOnPage) = 0;
  /// Ends with the first events after a revision, or empty after aWait.
  virtual void Watch(std::string_view aPrefix,
                     Revision aAfter,
                     Millis aWait,
                     OnEvents aOnEvents) = 0;
  virtual void Commit(const Transaction& aTransaction, OnCommit aOnCommit) = 0;
  virtual void GrantLease(Millis aTime, OnLease aOnLease) = 0;
  virtual void KeepLease(LeaseId aLease, OnKeep aOnKeep) = 0;
  virtual void EndLease(LeaseId aLease, std::function<void()> aOnEnd) = 0;
};

} // namespace coltsfootshed

#endif
