#include "coltsfootshed/Scheduling/TargetState.h"

#include <algorithm>
#include <cassert>

namespace coltsfootshed {

/// Lowest rate of a target's clock that the protocol allows.
static constexpr double kMinClockRate = 0.98;
/// Allowance in ms for the rounding of both clocks.
static constexpr TargetTime kClockSlack = 20;

/// Returns the resources that a run reserves. A best-effort run uses only
/// processor time that is idle, so it reserves none.
static Resources RoomTaken(const RunState& aRun)
{
  Resources takes = aRun.takes_;
  if (aRun.bestEffort_) {
    takes.cpu_ = 0;
  }
  return takes;
}

Resources TargetState::Free() const
{
  Resources free = info_.capacity_;
  free -= used_;
  return free;
}

void TargetState::AddRun(const RunKey& aKey, const RunState& aRun)
{
  used_ += RoomTaken(aRun);
  bestEffortRuns_ += aRun.bestEffort_ ? 1 : 0;
  bool added = runs_.emplace(aKey, aRun).second;
  assert(added && "run numbers are never used twice");
  (void)added;
}

void TargetState::RemoveRun(const RunKey& aKey)
{
  auto found = runs_.find(aKey);
  if (found != runs_.end()) {
    used_ -= RoomTaken(found->second);
    bestEffortRuns_ -= found->second.bestEffort_ ? 1 : 0;
    runs_.erase(found);
  }
}

RunState* TargetState::FindRun(const RunKey& aKey)
{
  auto found = runs_.find(aKey);
  return found == runs_.end() ? nullptr : &found->second;
}

TargetTime TargetState::EarliestClock(Millis aNow) const
{
  double elapsed = static_cast<double>((aNow - clockReadAt_).count());
  return clockRead_ + static_cast<TargetTime>(elapsed * kMinClockRate) -
         kClockSlack;
}

TargetTime TargetState::LeaseEnd(Millis aNow, Millis aLease) const
{
  return clockRead_ + (aNow - clockReadAt_).count() + aLease.count();
}

bool TargetState::HaveLeasesExpired(Millis aNow) const
{
  return EarliestClock(aNow) > std::max(leaseGranted_, leaseOffered_);
}

const std::string& TargetState::Rack() const
{
  static const std::string kNone;
  return info_.labels_.size() > 1 ? info_.labels_.back() : kNone;
}

bool TargetState::HasLabel(std::string_view aLabel) const
{
  return std::find(info_.labels_.begin(), info_.labels_.end(), aLabel) !=
         info_.labels_.end();
}

} // namespace coltsfootshed
