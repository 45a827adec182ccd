#include "coltsfootshed/Store/PrefixFollower.h"

#include "coltsfootshed/Observe/DecisionLog.h"

#include <utility>

namespace coltsfootshed {

static constexpr Millis kFirstRetryDelay{ 50 };
/// Short enough to notice the end of a store outage soon, long enough to limit
/// the load of the calls of all entry VMs during it.
static constexpr Millis kMaxRetryDelay{ 400 };

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
  , backoff_(kFirstRetryDelay, kMaxRetryDelay, aSeed)
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
  sentAt_ = clock_.Now();
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
  std::string after = readItems_.empty() ? "" : readItems_.back().key_;
  sentAt_ = clock_.Now();
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
    firstPageSentAt_ = sentAt_;
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
  knownAsOf_ = firstPageSentAt_;
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
  // The store answers without events only at the end of the wait.
  Millis waited = aEvents->events_.empty() ? options_.wait_ : Millis(0);
  knownAsOf_ = std::min(sentAt_ + waited, clock_.Now());
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
  if (failures_ > 0) {
    LogStateChange("store-reachable",
                   { { "prefix", options_.prefix_ },
                     { "known_ms_ago", std::to_string(Age().count()) } });
  }
  failures_ = 0;
  backoff_.Reset();
}

void PrefixFollower::OnFailure(const Error& aError)
{
  ++failures_;
  Count("store_reads_failed");
  Millis sentAgo = clock_.Now() - sentAt_;
  LogStateChange("store-unreachable",
                 { { "prefix", options_.prefix_ },
                   { "error", aError.Text() },
                   { "failures", std::to_string(failures_) },
                   { "sent_ms_ago", std::to_string(sentAgo.count()) },
                   { "known_ms_ago", std::to_string(Age().count()) } });
  timer_.Start(backoff_.Next());
}

} // namespace coltsfootshed
