#include "coltsfootshed/Node/ConfigReader.h"

#include "coltsfootshed/Observe/DecisionLog.h"

#include <utility>

namespace coltsfootshed {

/// Limits the calls to a store that refuses them.
static constexpr Millis kPauseAfterFailure{ 500 };

ConfigReader::ConfigReader(const Clock& aClock,
                           KeyValueStore& aStore,
                           std::string aKey,
                           std::function<void(const StoreItem&)> aApply)
  : clock_(aClock)
  , store_(aStore)
  , key_(std::move(aKey))
  , apply_(std::move(aApply))
{
}

void ConfigReader::Read(std::function<void()> aOnEnd)
{
  bool hasJustFailed =
    failedAt_ && clock_.Now() - *failedAt_ < kPauseAfterFailure;
  if (hasJustFailed) {
    aOnEnd();
    return;
  }
  waiting_.push_back(std::move(aOnEnd));
  if (waiting_.size() > 1) {
    return;
  }
  std::weak_ptr<bool> alive = alive_;
  store_.Get(key_,
             [this, alive, sentAt = clock_.Now()](
               const Result<std::optional<StoreItem>>& aItem) {
               if (!alive.expired()) {
                 OnItem(sentAt, aItem);
               }
             });
}

void ConfigReader::OnItem(Millis aSentAt,
                          const Result<std::optional<StoreItem>>& aItem)
{
  LogStateChange("config-read",
                 { { "ms", std::to_string((clock_.Now() - aSentAt).count()) },
                   { "requests", std::to_string(waiting_.size()) },
                   { "error", aItem ? std::string() : aItem.error().Text() } });
  failedAt_.reset();
  if (aItem) {
    readAsOf_ = aSentAt;
  } else {
    failedAt_ = clock_.Now();
  }
  if (aItem && aItem->has_value()) {
    apply_(**aItem);
  }
  for (const std::function<void()>& onEnd : std::exchange(waiting_, {})) {
    onEnd();
  }
}

} // namespace coltsfootshed
