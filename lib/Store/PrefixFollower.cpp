#include "coltsfootshed/Store/PrefixFollower.h"

#include "coltsfootshed/Observe/DecisionLog.h"

#include <utility>

namespace coltsfootshed {

PrefixFollower::PrefixFollower(event_base* aBase,
                               const Clock& aClock,
                               KeyValueStore& aStore,
                               PrefixListener& aListener,
                               Options aOptions,
                               std::uint64_t aSeed)
  : store_(aStore)
  , listener_(aListener)
  , options_(std::move(aOptions))
  , schedule_(aClock, options_.longestWatch_, aSeed)
  , timer_(aBase, [this] { ReadOrWatch(); })
{
  timer_.Start(Millis(0));
}

PrefixFollower::~PrefixFollower() = default;

void PrefixFollower::ReadOrWatch()
{
  if (readingRange_) {
    ReadPage();
    return;
  }
  std::weak_ptr<bool> alive = alive_;
  store_.Watch(options_.prefix_,
               revision_,
               schedule_.OnWatchSent(),
               [this, alive](Result<StoreEvents> aEvents) {
                 if (!alive.expired()) {
                   OnWatched(std::move(aEvents));
                 }
               });
}

void PrefixFollower::ReadPage()
{
  std::string after = readItems_.empty() ? "" : readItems_.back().key_;
  schedule_.OnPageSent(readItems_.empty());
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
    readItems_.clear();
    firstPageRevision_ = 0;
    OnFailure(aPage.error());
    return;
  }
  OnAnswered();
  // Pages are read at different revisions, so the watch starts at that of the
  // first page and repeats the events since.
  if (firstPageRevision_ == 0) {
    firstPageRevision_ = aPage->asOf_;
  }
  for (StoreItem& item : aPage->items_) {
    readItems_.push_back(std::move(item));
  }
  if (aPage->hasMore_ && !aPage->items_.empty()) {
    ReadPage();
    return;
  }
  revision_ = firstPageRevision_;
  firstPageRevision_ = 0;
  readingRange_ = false;
  hasSnapshot_ = true;
  schedule_.OnRangeRead();
  std::vector<StoreItem> items = std::exchange(readItems_, {});
  timer_.Start(Millis(0));
  listener_.OnSnapshot(std::move(items));
}

void PrefixFollower::OnWatched(Result<StoreEvents> aEvents)
{
  if (!aEvents) {
    OnFailure(aEvents.error());
    return;
  }
  OnAnswered();
  if (aEvents->historyGone_) {
    LogStateChange("store-history-lost",
                   { { "prefix", options_.prefix_ },
                     { "revision", std::to_string(revision_) } });
    readingRange_ = true;
    timer_.Start(Millis(0));
    return;
  }
  revision_ = std::max(revision_, aEvents->asOf_);
  schedule_.OnWatched(!aEvents->events_.empty());
  timer_.Start(options_.pause_);
  std::weak_ptr<bool> alive = alive_;
  for (const StoreEvent& event : aEvents->events_) {
    listener_.OnEvent(event);
    if (alive.expired()) {
      return;
    }
  }
}

void PrefixFollower::OnAnswered()
{
  if (schedule_.Failures() > 0) {
    LogStateChange("store-reachable",
                   { { "prefix", options_.prefix_ },
                     { "known_ms_ago", std::to_string(Age().count()) } });
  }
  schedule_.OnAnswered();
}

void PrefixFollower::OnFailure(const Error& aError)
{
  Count("store_reads_failed");
  timer_.Start(schedule_.OnFailure());
  LogStateChange(
    "store-unreachable",
    { { "prefix", options_.prefix_ },
      { "error", aError.Text() },
      { "failures", std::to_string(schedule_.Failures()) },
      { "sent_ms_ago", std::to_string(schedule_.SinceSent().count()) },
      { "known_ms_ago", std::to_string(Age().count()) } });
}

} // namespace coltsfootshed
