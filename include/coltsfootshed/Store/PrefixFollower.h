/// \file
/// Reports all keys under a prefix and their changes to a listener: reads the
/// range, then watches it, and reads it again if the store has lost the history
/// of changes.
#ifndef COLTSFOOTSHED_STORE_PREFIXFOLLOWER_H
#define COLTSFOOTSHED_STORE_PREFIXFOLLOWER_H

#include "coltsfootshed/Store/KeyValueStore.h"
#include "coltsfootshed/Store/WatchSchedule.h"
#include "coltsfootshed/Support/Timer.h"

#include <memory>

namespace coltsfootshed {

/// Receives the content of a prefix and its changes.
class PrefixListener
{
public:
  virtual ~PrefixListener() = default;
  /// Called with the whole content. Keys that are not in it do not exist.
  virtual void OnSnapshot(std::vector<StoreItem> aItems) = 0;
  /// Called for each later change. Changes that a snapshot contains already may
  /// be repeated.
  virtual void OnEvent(const StoreEvent& aEvent) = 0;
};

class PrefixFollower
{
public:
  struct Options
  {
    std::string prefix_;
    Millis longestWatch_{ 1000 }; ///< how long one watch may wait for events
    Millis pause_{ 0 }; ///< between watches, so that one returns several events
  };

  /// aSeed is the seed for the random part of retry delays.
  PrefixFollower(event_base* aBase,
                 const Clock& aClock,
                 KeyValueStore& aStore,
                 PrefixListener& aListener,
                 Options aOptions,
                 std::uint64_t aSeed);
  ~PrefixFollower();
  PrefixFollower(const PrefixFollower&) = delete;
  PrefixFollower& operator=(const PrefixFollower&) = delete;

  /// Returns the age of the listener's state, see WatchSchedule::Age.
  Millis Age() const { return schedule_.Age(); }
  /// Returns true once the whole range has been read for the first time.
  bool HasSnapshot() const { return hasSnapshot_; }

private:
  /// Reads a page if the range is being read, else watches for changes.
  void ReadOrWatch();
  void ReadPage();
  void OnPage(Result<StorePage> aPage);
  void OnWatched(Result<StoreEvents> aEvents);
  void OnFailure(const Error& aError);
  void OnAnswered();

  KeyValueStore& store_;
  PrefixListener& listener_;
  Options options_;
  WatchSchedule schedule_;
  Timer timer_;
  /// Expires with this object, so that late callbacks return at once.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  bool hasSnapshot_ = false;
  bool readingRange_ = true;
  std::vector<StoreItem> readItems_; ///< pages read so far
  Revision firstPageRevision_ = 0;
  Revision revision_ = 0;
};

} // namespace coltsfootshed

#endif
