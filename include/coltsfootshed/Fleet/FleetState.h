/// \file
/// Fleet records of one data centre: the pool and planned operation of each VM,
/// stored in the platform under fleet/<data centre>. They form one value that
/// changes by compare-and-swap, so a VM is in exactly one pool at each
/// revision. VmRecord, by contrast, is a VM as the platform lists it.
#ifndef COLTSFOOTSHED_FLEET_FLEETSTATE_H
#define COLTSFOOTSHED_FLEET_FLEETSTATE_H

#include "coltsfootshed/Support/Error.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>

namespace coltsfootshed {

/// State of a VM with respect to planned operations.
enum class VmState
{
  Serving,
  Draining,  ///< gets no new requests; the operation can still be cancelled
  Rebooting, ///< no request is in flight; the reboot may have been requested
  Returning  ///< rebooted by the platform; has not answered a probe yet
};

/// Returns "serving", "draining", "rebooting" or "returning".
std::string_view VmStateName(VmState aState);

/// One VM's fleet record.
struct FleetVm
{
  std::string pool_;
  VmState state_ = VmState::Serving;
  /// The planned operation, "wave/<wave>" or "move/<new pool>"; empty if none.
  std::string operation_;
  /// Waves that the VM has completed. The end of an operation drops those that
  /// the document no longer has.
  std::set<std::string> waves_;
  /// Fencing token, which increases whenever an operation ends or is cancelled.
  /// A budget entry is valid only for the fence under which it was reserved.
  std::uint64_t fence_ = 0;

  bool operator==(const FleetVm&) const = default;
};

/// All fleet records of one data centre.
struct FleetState
{
  std::map<std::string, FleetVm, std::less<>> vms_;
  std::uint64_t lastFence_ = 0; ///< highest fence assigned to a VM

  std::string ToJson() const;
  bool operator==(const FleetState&) const = default;
};

/// Parses the output of FleetState::ToJson().
Result<FleetState> FleetFromJson(std::string_view aJson);

/// Returns the platform key of a data centre's fleet records.
std::string FleetKey(std::string_view aDataCentre);

} // namespace coltsfootshed

#endif
