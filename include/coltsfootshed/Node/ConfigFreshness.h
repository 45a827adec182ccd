/// \file
/// What may be answered with the configuration that this VM knows.
#ifndef COLTSFOOTSHED_NODE_CONFIGFRESHNESS_H
#define COLTSFOOTSHED_NODE_CONFIGFRESHNESS_H

#include "coltsfootshed/Node/StoreOutageDetector.h"
#include "coltsfootshed/Store/PrefixFollower.h"

namespace coltsfootshed {

class ConfigFreshness
{
public:
  /// aDeadline is the time from the acknowledgement of a configuration until it
  /// must be in force, by VMs that have reached the store for aContactTime.
  ConfigFreshness(const PrefixFollower& aOperatorKeys,
                  const StoreOutageDetector& aOutageDetector,
                  Millis aDeadline,
                  Millis aContactTime)
    : operatorKeys_(aOperatorKeys)
    , outageDetector_(aOutageDetector)
    , deadline_(aDeadline)
    , contactTime_(aContactTime)
  {
  }

  Millis Age() const { return operatorKeys_.Age(); }
  /// Returns true if each configuration that must be in force is known. Without
  /// that, it is unknown whether a queue exists that is not in the known one.
  bool IsCurrent() const { return Age() <= deadline_; }
  /// Returns true if requests for the known queues may be served. During an
  /// outage of the store, an old configuration serves clients better than none.
  bool MayServe() const
  {
    return IsCurrent() || !outageDetector_.HasReachedStoreFor(contactTime_);
  }

private:
  const PrefixFollower& operatorKeys_;
  const StoreOutageDetector& outageDetector_;
  Millis deadline_;
  Millis contactTime_;
};

} // namespace coltsfootshed

#endif
