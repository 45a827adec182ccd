/// \file
/// What may be answered with the configuration that this VM knows.
#ifndef COLTSFOOTSHED_NODE_CONFIGFRESHNESS_H
#define COLTSFOOTSHED_NODE_CONFIGFRESHNESS_H

#include "coltsfootshed/Node/ConfigReader.h"
#include "coltsfootshed/Node/StoreOutageDetector.h"
#include "coltsfootshed/Store/PrefixFollower.h"

namespace coltsfootshed {

class ConfigFreshness
{
public:
  /// aDeadline is the time from the acknowledgement of a configuration until it
  /// must be in force, by VMs that have reached the store for aContactTime.
  ConfigFreshness(const PrefixFollower& aOperatorKeys,
                  const ConfigReader& aReader,
                  const StoreOutageDetector& aOutageDetector,
                  Millis aDeadline,
                  Millis aContactTime)
    : operatorKeys_(aOperatorKeys)
    , reader_(aReader)
    , outageDetector_(aOutageDetector)
    , deadline_(aDeadline)
    , contactTime_(aContactTime)
  {
  }

  /// Returns how long ago the known configuration was the newest for certain.
  Millis Age() const { return std::min(operatorKeys_.Age(), reader_.Age()); }
  /// Returns true if each configuration that must be in force is known, so that
  /// a queue that is not in the known one can be denied, and jobs accepted.
  bool IsCurrent() const { return Age() <= deadline_; }
  /// Returns true if jobs of known queues may be shown and cancelled. During an
  /// outage of the store, an old configuration serves clients better than none.
  bool MayShowJobs() const
  {
    return IsCurrent() || !outageDetector_.HasReachedStoreFor(contactTime_);
  }

private:
  const PrefixFollower& operatorKeys_;
  const ConfigReader& reader_;
  const StoreOutageDetector& outageDetector_;
  Millis deadline_;
  Millis contactTime_;
};

} // namespace coltsfootshed

#endif
