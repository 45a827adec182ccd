/// \file
/// Fetches the missing sections of a configuration from the platform.
#ifndef COLTSFOOTSHED_FLEET_CONFIGFETCH_H
#define COLTSFOOTSHED_FLEET_CONFIGFETCH_H

#include "coltsfootshed/Platform/PlatformClient.h"

#include <functional>
#include <string>
#include <vector>

namespace coltsfootshed {

/// Runs one fetch at a time, and fetches its sections one after another.
class ConfigFetch
{
public:
  using OnEnd = std::function<void(Result<Sections>)>;

  explicit ConfigFetch(PlatformClient& aPlatform);

  bool IsRunning() const { return static_cast<bool>(onEnd_); }
  /// Fetches the sections with these digests. Calls aOnEnd with all of them, or
  /// with the first error, possibly from within Start(). No other fetch may be
  /// running.
  void Start(std::vector<std::string> aDigests, OnEnd aOnEnd);

private:
  void FetchNext();
  void OnSection(const std::string& aDigest, Result<StoredValue> aValue);
  void End(Result<Sections> aResult);

  PlatformClient& platform_;
  std::vector<std::string> digests_; ///< not fetched yet
  Sections sections_;
  OnEnd onEnd_;
};

} // namespace coltsfootshed

#endif
