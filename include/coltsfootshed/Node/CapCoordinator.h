/// \file
/// Reads and writes the table of cap shares for the pool manager, and passes
/// reports and orders between the divider and the leaders of services.
#ifndef COLTSFOOTSHED_NODE_CAPCOORDINATOR_H
#define COLTSFOOTSHED_NODE_CAPCOORDINATOR_H

#include "coltsfootshed/Accounts/CapDivider.h"
#include "coltsfootshed/Node/JobsConfig.h"
#include "coltsfootshed/Support/AliveGuard.h"

#include <functional>

namespace coltsfootshed {

class CapCoordinator
{
public:
  /// aFence is the revision of the pool manager's leader key. aTell asks the
  /// leader of a service for a report soon, with a new order.
  CapCoordinator(const Clock& aClock,
                 KeyValueStore& aStore,
                 Fence aFence,
                 std::function<void(const std::string&)> aTell);

  void SetConfig(const JobsConfig& aConfig);
  /// Returns what to send to the leader of a service; nothing if no account has
  /// a cap, or the table has not been read yet.
  std::optional<CapOrder> OrderFor(const std::string& aService);
  void SetReport(const std::string& aService, const CapReport& aReport);
  /// Divides the caps anew if a service needs it. To be called regularly.
  void Step();

private:
  void LoadTable();
  void Write(const CapTableWrite& aWrite);
  void TellLeaders();

  KeyValueStore& store_;
  Fence fence_;
  std::function<void(const std::string&)> tell_;
  CapDivider divider_;
  bool callInFlight_ = false;
  AliveGuard guard_;
};

} // namespace coltsfootshed

#endif
