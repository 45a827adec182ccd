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
                  const Clock& aClock,
                  const StoreOutageDetector& aOutageDetector,
                  Millis aDeadline,
                  Millis aContactTime)
    : operatorKeys_(aOperatorKeys)
    , reader_(aReader)
    , clock_(aClock)
    , outageDetector_(aOutageDetector)
    , deadline_(aDeadline)
    , contactTime_(aContactTime)
  {
  }

  /// Returns how long ago the known configuration was the newest for certain.
  Millis Age() const
  {
    return std::min(operatorKeys_.Age(), clock_.Now() - reader_.ReadAsOf());
  }
  /// Returns true if each configuration that must be in force is known. Without
  /// that, it is unknown whether a queue exists, and which service it has.
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
  const Clock& clock_;
  const StoreOutageDetector& outageDetector_;
  Millis deadline_;
  Millis contactTime_;
};

} // namespace coltsfootshed

#endif
