/// \file
/// Reads the configuration at once when a request needs a newer one than the
/// watch has shown.
#ifndef COLTSFOOTSHED_NODE_CONFIGREADER_H
#define COLTSFOOTSHED_NODE_CONFIGREADER_H

#include "coltsfootshed/Store/KeyValueStore.h"

#include <memory>

namespace coltsfootshed {

class ConfigReader
{
public:
  /// aKey is the configuration's key; aApply takes each item that was read.
  ConfigReader(const Clock& aClock,
               KeyValueStore& aStore,
               std::string aKey,
               std::function<void(const StoreItem&)> aApply);

  /// Reads the configuration, one call at a time: further requests wait for the
  /// call that is running. aOnEnd runs once, also if the call fails, and at
  /// once if a call has failed a short time ago.
  void Read(std::function<void()> aOnEnd);
  /// Returns the time since the last answered call was sent.
  Millis Age() const { return clock_.Now() - readAsOf_; }

private:
  void OnItem(Millis aSentAt, const Result<std::optional<StoreItem>>& aItem);

  const Clock& clock_;
  KeyValueStore& store_;
  std::string key_;
  std::function<void(const StoreItem&)> apply_;
  std::vector<std::function<void()>> waiting_;
  Millis readAsOf_{ 0 };
  std::optional<Millis> failedAt_;
  /// Expires with this object, so that late callbacks return at once.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace coltsfootshed

#endif
