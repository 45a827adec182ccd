/// \file
/// Keeps a consumer in step with all keys under a prefix: reads the range,
/// then watches, and reads anew when history was lost.
#ifndef COLTSFOOTSHED_STORE_PREFIXFOLLOWER_H
#define COLTSFOOTSHED_STORE_PREFIXFOLLOWER_H

#include "coltsfootshed/Store/KeyValueStore.h"
#include "coltsfootshed/Support/Backoff.h"
#include "coltsfootshed/Support/Timer.h"

#include <memory>

namespace coltsfootshed {

/// What a follower tells its consumer.
class PrefixListener
{
public:
  virtual ~PrefixListener() = default;
  /// The whole content; keys that it lacks are gone.
  virtual void OnSnapshot(std::vector<StoreItem> aItems) = 0;
  virtual void OnEvent(const StoreEvent& aEvent) = 0;
};

class PrefixFollower
{
public:
  struct Options
  {
    std::string prefix_;
    Millis wait_{ 2000 }; ///< how long one watch may wait for events
    Millis pause_{ 0 };   ///< between watches, so that events gather
  };

  PrefixFollower(event_base* aBase,
                 const Clock& aClock,
                 KeyValueStore& aStore,
                 PrefixListener& aListener,
                 Options aOptions,
                 std::uint64_t aSeed);
  ~PrefixFollower();
  PrefixFollower(const PrefixFollower&) = delete;
  PrefixFollower& operator=(const PrefixFollower&) = delete;

  /// When the store last answered; the age of what the consumer knows.
  Millis LastAnswer() const { return lastAnswer_; }
  bool HasSnapshot() const { return hasSnapshot_; }

private:
  void Step();
  void ReadPage();
  void OnPage(Result<StorePage> aPage);
  void OnWatched(Result<StoreEvents> aEvents);
  void OnFailure(const Error& aError);
  void Answered();

  const Clock& clock_;
  KeyValueStore& store_;
  PrefixListener& listener_;
  Options options_;
  Backoff backoff_;
  Timer timer_;
  /// Expires with the follower, so that late callbacks find it gone.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  bool hasSnapshot_ = false;
  bool reading_ = true;
  bool failing_ = false;
  std::vector<StoreItem> pages_;
  Revision firstPageRevision_ = 0;
  Revision revision_ = 0;
  Millis lastAnswer_{ 0 };
};

} // namespace coltsfootshed

#endif
