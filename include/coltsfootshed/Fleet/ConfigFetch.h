/// \file
/// Fetches the missing sections of a configuration from the platform.
#ifndef COLTSFOOTSHED_FLEET_CONFIGFETCH_H
#define COLTSFOOTSHED_FLEET_CONFIGFETCH_H

#include "coltsfootshed/Platform/Client.h"

#include <functional>
#include <string>
#include <vector>

namespace coltsfootshed {

/// One fetch at a time, one section after another.
class ConfigFetch
{
public:
  using OnEnd = std::function<void(Result<Sections>)>;

  explicit ConfigFetch(PlatformClient& aPlatform);

  bool IsRunning() const { return static_cast<bool>(onEnd_); }
  void Start(std::vector<std::string> aDigests, OnEnd aOnEnd);

private:
  void FetchNext();
  void OnSection(const std::string& aDigest, Result<StoredValue> aValue);
  void End(Result<Sections> aResult);

  PlatformClient& platform_;
  std::vector<std::string> digests_; ///< still to be fetched
  Sections sections_;
  OnEnd onEnd_;
};

} // namespace coltsfootshed

#endif
