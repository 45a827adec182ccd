#include "coltsfootshed/Store/PrefixFollower.h"

#include "coltsfootshed/Observe/DecisionLog.h"

#include <utility>

namespace coltsfootshed {

static constexpr Millis kFirstRetry{ 50 };
/// Bounds the delay after an outage, and the calls of all nodes during it.
static constexpr Millis kMostRetry{ 400 };

PrefixFollower::PrefixFollower(event_base* aBase,
                               const Clock& aClock,
                               KeyValueStore& aStore,
                               PrefixListener& aListener,
                               Options aOptions,
                               std::uint64_t aSeed)
  : clock_(aClock)
  , store_(aStore)
  , listener_(aListener)
  , options_(std::move(aOptions))
  , backoff_(kFirstRetry, kMostRetry, aSeed)
  , timer_(aBase, [this] { Step(); })
{
  timer_.Start(Millis(0));
}

PrefixFollower::~PrefixFollower() = default;

void PrefixFollower::Step()
{
  if (reading_) {
    ReadPage();
    return;
  }
  std::weak_ptr<bool> alive = alive_;
  store_.Watch(options_.prefix_,
               revision_,
               options_.wait_,
               [this, alive](Result<StoreEvents> aEvents) {
                 if (!alive.expired()) {
                   OnWatched(std::move(aEvents));
                 }
               });
}

void PrefixFollower::ReadPage()
{
  std::string after = pages_.empty() ? "" : pages_.back().key_;
  std::weak_ptr<bool> alive = alive_;
  store_.Range(options_.prefix_, after, [this, alive](Result<StorePage> aPage) {
    if (!alive.expired()) {
      OnPage(std::move(aPage));
    }
  });
}

void PrefixFollower::OnPage(Result<StorePage> aPage)
{
  if (!aPage) {
    pages_.clear();
    firstPageRevision_ = 0;
    OnFailure(aPage.error());
    return;
  }
  Answered();
  // Pages are no snapshot: events since the first page are replayed.
  if (firstPageRevision_ == 0) {
    firstPageRevision_ = aPage->asOf_;
  }
  for (StoreItem& item : aPage->items_) {
    pages_.push_back(std::move(item));
  }
  if (aPage->hasMore_ && !aPage->items_.empty()) {
    ReadPage();
    return;
  }
  revision_ = firstPageRevision_;
  firstPageRevision_ = 0;
  reading_ = false;
  hasSnapshot_ = true;
  std::vector<StoreItem> items = std::exchange(pages_, {});
  timer_.Start(Millis(0));
  listener_.OnSnapshot(std::move(items));
}

void PrefixFollower::OnWatched(Result<StoreEvents> aEvents)
{
  if (!aEvents) {
    OnFailure(aEvents.error());
    return;
  }
  Answered();
  if (aEvents->historyGone_) {
    LogBelief("store-history-lost",
              { { "prefix", options_.prefix_ },
                { "revision", std::to_string(revision_) } });
    reading_ = true;
    timer_.Start(Millis(0));
    return;
  }
  revision_ = std::max(revision_, aEvents->asOf_);
  timer_.Start(options_.pause_);
  std::weak_ptr<bool> alive = alive_;
  for (const StoreEvent& event : aEvents->events_) {
    listener_.OnEvent(event);
    if (alive.expired()) {
      return;
    }
  }
}

void PrefixFollower::Answered()
{
  if (failing_) {
    LogBelief("store-regained", { { "prefix", options_.prefix_ } });
  }
  failing_ = false;
  lastAnswer_ = clock_.Now();
  backoff_.Reset();
}

void PrefixFollower::OnFailure(const Error& aError)
{
  if (!failing_) {
    LogBelief("store-lost",
              { { "prefix", options_.prefix_ }, { "error", aError.Text() } });
  }
  failing_ = true;
  timer_.Start(backoff_.Next());
}

} // namespace coltsfootshed
