/// \file
/// An in-memory store that can stop answering.
#ifndef COLTSFOOTSHED_UNITTESTS_SUPPORT_FAKESTORE_H
#define COLTSFOOTSHED_UNITTESTS_SUPPORT_FAKESTORE_H

#include "coltsfootshed/Store/KeyValueStore.h"
#include "coltsfootshed/Support/Timer.h"

#include <algorithm>
#include <functional>
#include <list>
#include <map>
#include <set>
#include <utility>

namespace coltsfootshed {

/// Answers every call after one millisecond, and a watch when there are events
/// or its wait is over. A call that is sent or would be answered while the
/// store is silent gets no answer and fails at its time-out.
class FakeStore final : public KeyValueStore
{
public:
  static constexpr Millis kCallTimeout{ 1200 };

  explicit FakeStore(event_base* aBase)
    : base_(aBase)
  {
  }

  void Get(std::string_view aKey, OnItem aOnItem) override
  {
    ++reads_;
    auto found = items_.find(std::string(aKey));
    std::optional<StoreItem> item;
    if (found != items_.end()) {
      item = found->second;
    }
    if (onRead_) {
      onRead_(aKey);
    }
    Answer<Result<std::optional<StoreItem>>>(
      std::move(aOnItem), item, NoAnswer(), aKey == silentKey_);
  }
  void Range(std::string_view aPrefix,
             std::string_view,
             OnPage aOnPage) override
  {
    ++ranges_;
    StorePage page;
    for (const auto& [key, item] : items_) {
      if (key.starts_with(aPrefix)) {
        page.items_.push_back(item);
      }
    }
    page.asOf_ = revision_;
    Answer<Result<StorePage>>(std::move(aOnPage), page, NoAnswer());
  }
  void Watch(std::string_view aPrefix,
             Revision aAfter,
             Millis aWait,
             OnEvents aOnEvents) override
  {
    ++watches_;
    if (IsSilent(aPrefix)) {
      ++unansweredWatches_;
      Later(aWait + kCallTimeout,
            [onEvents = std::move(aOnEvents)] { onEvents(NoAnswer()); });
      return;
    }
    auto watch = waiting_.insert(
      waiting_.end(), { std::string(aPrefix), aAfter, std::move(aOnEvents) });
    watch->timer_ =
      std::make_unique<Timer>(base_, [this, watch] { EndWatch(watch); });
    watch->timer_->Start(HasAnswer(*watch) ? Millis(1) : aWait);
  }
  void Commit(const Transaction& aTransaction, OnCommit aOnCommit) override
  {
    if (Writes(aTransaction, lateKey_)) {
      lateWrites_.push_back(aTransaction);
      Answer<CommitResult>(std::move(aOnCommit), {}, CommitResult(), true);
      return;
    }
    Answer<CommitResult>(std::move(aOnCommit),
                         silent_ ? CommitResult() : CarryOut(aTransaction),
                         CommitResult());
  }
  /// Carries out the writes of lateKey_ that are still on their way, each only
  /// if its conditions hold.
  void CarryOutLateWrites()
  {
    for (const Transaction& write : std::exchange(lateWrites_, {})) {
      CarryOut(write);
    }
  }
  void GrantLease(Millis, OnLease aOnLease) override
  {
    Answer<Result<LeaseId>>(std::move(aOnLease), ++lastLease_, NoAnswer());
  }
  void KeepLease(LeaseId aLease, OnKeep aOnKeep) override
  {
    KeepEnd end = ended_.count(aLease) > 0 ? KeepEnd::Gone : KeepEnd::Kept;
    Answer<KeepEnd>(std::move(aOnKeep), end, KeepEnd::Failed);
  }
  void EndLease(LeaseId aLease, std::function<void()> aOnEnd) override
  {
    Expire(aLease);
    Later(Millis(1), std::move(aOnEnd));
  }

  /// Writes an item at the current revision.
  void Put(const std::string& aKey, const std::string& aValue, LeaseId aLease)
  {
    StoreItem item{ aKey, aValue, revision_, revision_, aLease };
    items_[aKey] = item;
    history_.push_back({ item, false });
    Notify();
  }
  /// Removes an item at a new revision.
  void Remove(const std::string& aKey)
  {
    ++revision_;
    Delete(aKey);
  }
  /// Writes an item at a new revision, as an operator does.
  void Change(const std::string& aKey, const std::string& aValue)
  {
    ++revision_;
    Put(aKey, aValue, 0);
  }
  void Expire(LeaseId aLease)
  {
    ended_.insert(aLease);
    ++revision_;
    std::erase_if(items_, [&](const auto& aEntry) {
      if (aEntry.second.lease_ != aLease) {
        return false;
      }
      StoreEvent event;
      event.item_.key_ = aEntry.first;
      event.item_.revision_ = revision_;
      event.deleted_ = true;
      history_.push_back(event);
      return true;
    });
    Notify();
  }

  /// Forgets all changes so far: watches from an earlier revision end.
  void DropHistory()
  {
    ++revision_;
    droppedUpTo_ = revision_;
    history_.clear();
    Notify();
  }

  std::map<std::string, StoreItem> items_;
  std::set<LeaseId> ended_;
  LeaseId lastLease_ = 100; ///< the first lease that is granted is 101
  Revision revision_ = 1;
  bool silent_ = false;      ///< no call is answered
  std::string silentPrefix_; ///< if not empty: watches of it are not answered
  std::string silentKey_;    ///< if not empty: reading it is not answered
  /// If not empty: a write of it is not answered, and only carried out by
  /// CarryOutLateWrites().
  std::string lateKey_;
  /// If set: called with the key of each Get() after the item was read.
  std::function<void(std::string_view)> onRead_;
  int reads_ = 0;  ///< of single keys
  int ranges_ = 0; ///< pages read
  int watches_ = 0;
  int unansweredWatches_ = 0;

private:
  struct WaitingWatch
  {
    std::string prefix_;
    Revision after_ = 0;
    OnEvents onEvents_;
    std::unique_ptr<Timer> timer_ = nullptr;
  };
  using Watches = std::list<WaitingWatch>;

  static bool Writes(const Transaction& aTransaction, const std::string& aKey)
  {
    return std::any_of(aTransaction.puts_.begin(),
                       aTransaction.puts_.end(),
                       [&](const StorePut& aPut) { return aPut.key_ == aKey; });
  }

  CommitResult CarryOut(const Transaction& aTransaction)
  {
    CommitResult result;
    result.end_ = CommitEnd::Committed;
    for (const StoreCondition& condition : aTransaction.conditions_) {
      auto found = items_.find(condition.key_);
      Revision now = found == items_.end() ? 0 : found->second.revision_;
      if (now != condition.revision_) {
        result.end_ = CommitEnd::ConditionFailed;
      }
      if (found != items_.end()) {
        result.current_.push_back(found->second);
      }
    }
    if (result.end_ != CommitEnd::Committed) {
      return result;
    }
    result.current_.clear();
    result.revision_ = ++revision_;
    for (const StorePut& put : aTransaction.puts_) {
      Put(put.key_, put.value_, put.lease_);
    }
    for (const std::string& key : aTransaction.deletes_) {
      Delete(key);
    }
    return result;
  }

  void Delete(const std::string& aKey)
  {
    if (items_.erase(aKey) == 0) {
      return;
    }
    StoreEvent event;
    event.item_.key_ = aKey;
    event.item_.revision_ = revision_;
    event.deleted_ = true;
    history_.push_back(event);
    Notify();
  }

  static tl::unexpected<Error> NoAnswer()
  {
    return Fail("call", "store", "no answer");
  }

  bool IsSilent(std::string_view aPrefix) const
  {
    return silent_ || (!silentPrefix_.empty() && aPrefix == silentPrefix_);
  }

  StoreEvents EventsFor(const WaitingWatch& aWatch) const
  {
    StoreEvents events;
    if (aWatch.after_ < droppedUpTo_) {
      events.historyGone_ = true;
      return events;
    }
    for (const StoreEvent& event : history_) {
      bool wanted = event.item_.revision_ > aWatch.after_ &&
                    event.item_.key_.starts_with(aWatch.prefix_);
      if (wanted) {
        events.events_.push_back(event);
      }
    }
    events.asOf_ = revision_;
    return events;
  }

  bool HasAnswer(const WaitingWatch& aWatch) const
  {
    StoreEvents events = EventsFor(aWatch);
    return events.historyGone_ || !events.events_.empty();
  }

  void Notify()
  {
    for (WaitingWatch& watch : waiting_) {
      if (HasAnswer(watch)) {
        watch.timer_->Start(Millis(1));
      }
    }
  }

  void EndWatch(Watches::iterator aWatch)
  {
    // A timer must not be destroyed from within its function.
    endedWatches_.clear();
    endedWatches_.splice(endedWatches_.end(), waiting_, aWatch);
    OnEvents onEvents = std::move(aWatch->onEvents_);
    if (IsSilent(aWatch->prefix_)) {
      ++unansweredWatches_;
      Later(kCallTimeout,
            [onEvents = std::move(onEvents)] { onEvents(NoAnswer()); });
      return;
    }
    onEvents(EventsFor(*aWatch));
  }

  template<typename Outcome, typename OnEnd>
  void Answer(OnEnd aOnEnd,
              Outcome aAnswer,
              Outcome aNoAnswer,
              bool aIsSilent = false)
  {
    bool silent = silent_ || aIsSilent;
    Later(silent ? kCallTimeout : Millis(1),
          [onEnd = std::move(aOnEnd),
           outcome = silent ? std::move(aNoAnswer) : std::move(aAnswer)] {
            onEnd(outcome);
          });
  }

  void Later(Millis aDelay, std::function<void()> aFunction)
  {
    auto timer = std::make_unique<Timer>(base_, std::move(aFunction));
    timer->Start(aDelay);
    timers_.push_back(std::move(timer));
  }

  event_base* base_;
  std::vector<StoreEvent> history_;
  Revision droppedUpTo_ = 0;            ///< history_ has all changes after this
  std::vector<Transaction> lateWrites_; ///< sent, but not carried out yet
  Watches waiting_;
  Watches endedWatches_;
  std::vector<std::unique_ptr<Timer>> timers_;
};

} // namespace coltsfootshed

#endif
