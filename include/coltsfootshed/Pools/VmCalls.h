/// \file
/// The service that lists VMs, moves them between pools and maintains them.
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
  Maintained, ///< in maintenance now
  Down
};

/// A VM as the platform lists it.
struct PoolVm
{
  std::string vm_;
  std::string pool_;
  VmPhase phase_ = VmPhase::Down;
  std::vector<std::string> labels_;
  Resources capacity_;
  std::string target_; ///< id of the target that lives on it now

  /// True for the empty label, which every VM carries.
  bool HasLabel(std::string_view aLabel) const
  {
    return aLabel.empty() ||
           std::find(labels_.begin(), labels_.end(), aLabel) != labels_.end();
  }
};

enum class VmOrderEnd
{
  Done, ///< begun, or done before
  FenceTooLow,
  Busy, ///< not up, or leaving
  NotInWave,
  Impossible, ///< no such VM, or its kind does not belong into that pool
  Refused,    ///< too many calls, or not sent; nothing was done
  NoAnswer    ///< may have been carried out, or may be later
};

/// Who orders: a higher token supersedes all earlier orders for the same VM.
struct VmAuthority
{
  std::string holder_;
  std::uint64_t token_ = 0;
};

class VmCalls
{
public:
  virtual ~VmCalls() = default;
  /// The whole list.
  virtual void List(
    std::function<void(Result<std::vector<PoolVm>>)> aOnList) = 0;
  virtual void Move(const std::string& aVm,
                    const std::string& aPool,
                    const VmAuthority& aAuthority,
                    std::function<void(VmOrderEnd)> aOnEnd) = 0;
  virtual void Maintain(const std::string& aVm,
                        std::int64_t aWave,
                        const VmAuthority& aAuthority,
                        std::function<void(VmOrderEnd)> aOnEnd) = 0;
};

} // namespace coltsfootshed

#endif
