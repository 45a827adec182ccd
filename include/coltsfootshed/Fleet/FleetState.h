/// \file
/// Records of one data centre's VMs, as kept in the platform under
/// fleet/<data centre>. One compare-and-swap changes them, so a VM is in
/// exactly one pool at each revision.
#ifndef COLTSFOOTSHED_FLEET_FLEETSTATE_H
#define COLTSFOOTSHED_FLEET_FLEETSTATE_H

#include "coltsfootshed/Support/Error.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>

namespace coltsfootshed {

/// Where a VM stands in a planned operation.
enum class VmState
{
  Serving,
  Draining,  ///< gets no new work; recall is still possible
  Rebooting, ///< no request is under way; the reboot may have been asked for
  Returning  ///< the platform has rebooted it; not yet seen answering
};

/// "serving", "draining", "rebooting" or "returning".
std::string_view VmStateName(VmState aState);

/// One VM's record.
struct VmEntry
{
  std::string pool_;
  VmState state_ = VmState::Serving;
  std::string operation_;       ///< the planned operation, empty if none
  std::set<std::string> waves_; ///< waves of the document that it has been in
  /// Changes whenever an operation ends or is called off. A budget entry is
  /// good only for the fence under which it was taken.
  std::uint64_t fence_ = 0;

  bool operator==(const VmEntry&) const = default;
};

/// All records of one data centre.
struct FleetState
{
  std::map<std::string, VmEntry, std::less<>> vms_;
  std::uint64_t lastFence_ = 0; ///< highest fence given out

  std::string ToJson() const;
  bool operator==(const FleetState&) const = default;
};

/// Parses ToJson()'s output.
Result<FleetState> FleetFromJson(std::string_view aJson);

/// Key of a data centre's records.
std::string FleetKey(std::string_view aDataCentre);

} // namespace coltsfootshed

#endif
