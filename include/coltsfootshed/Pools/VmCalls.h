/// \file
/// Interface to the platform service that lists VMs, moves them between pools
/// and takes them down for maintenance.
#ifndef COLTSFOOTSHED_POOLS_VMCALLS_H
#define COLTSFOOTSHED_POOLS_VMCALLS_H

#include "coltsfootshed/Jobs/JobSpec.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace coltsfootshed {

enum class VmPhase
{
  Up,
  Moving,
  InMaintenance,
  Down ///< in any other state of the platform's
};

/// A VM of the --platform mode, as the platform lists it. VmRecord is the VM of
/// the other mode.
struct PoolVm
{
  std::string vm_;
  std::string pool_;
  VmPhase phase_ = VmPhase::Down;
  std::vector<std::string> labels_;
  Resources capacity_;
  std::string target_; ///< id of the target that runs on it now

  /// Returns true if the VM carries the label, or if the label is empty.
  bool HasLabel(std::string_view aLabel) const
  {
    return aLabel.empty() ||
           std::find(labels_.begin(), labels_.end(), aLabel) != labels_.end();
  }
};

/// Outcome of an order to move or maintain a VM.
enum class VmOrderEnd
{
  Done,        ///< carried out or begun, now or by an earlier call
  FenceTooLow, ///< a later leader has given an order for the VM
  Busy,        ///< not up, or leaving
  NotInWave,
  Impossible, ///< no such VM, or VMs of its kind can't be in that pool
  Refused,    ///< rate limited or not sent; has no effect
  NoAnswer    ///< may have been carried out or still be
};

/// Fence of an order: the name of the entry VM whose leader gives it, and its
/// fencing token. A higher token supersedes all earlier orders for the same VM.
struct VmOrderFence
{
  std::string holder_;
  std::uint64_t token_ = 0;
};

/// Calls of the platform service. Each reports its outcome to its callback.
class VmCalls
{
public:
  virtual ~VmCalls() = default;
  /// Lists all VMs.
  virtual void List(
    std::function<void(Result<std::vector<PoolVm>>)> aOnList) = 0;
  virtual void Move(const std::string& aVm,
                    const std::string& aPool,
                    const VmOrderFence& aFence,
                    std::function<void(VmOrderEnd)> aOnEnd) = 0;
  virtual void Maintain(const std::string& aVm,
                        std::int64_t aWave,
                        const VmOrderFence& aFence,
                        std::function<void(VmOrderEnd)> aOnEnd) = 0;
};

} // namespace coltsfootshed

#endif
