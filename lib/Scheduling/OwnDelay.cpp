#include "coltsfootshed/Scheduling/OwnDelay.h"

#include "coltsfootshed/Observe/DecisionLog.h"

#include <algorithm>

namespace coltsfootshed {

/// A process that is this late is short of processor time. Starts are given up
/// after a few times as long.
static constexpr Millis kLate{ 100 };
/// A backlog is still worked off with so few starts in flight, if slowly.
static constexpr int kMinWindow = 16;
/// Growth of the window with each decision that is not late.
static constexpr int kWindowStep = 4;

OwnDelay::OwnDelay(const Clock& aClock)
  : clock_(aClock)
{
}

void OwnDelay::Note(Millis aLate)
{
  if (aLate < kLate) {
    window_ = std::min(kMaxWindow, window_ + kWindowStep);
    return;
  }
  lateAt_ = clock_.Now();
  window_ = std::max(kMinWindow, window_ / 2);
  Count("leader_late");
}

bool OwnDelay::WasLateSince(Millis aSince) const
{
  return lateAt_ && *lateAt_ >= aSince;
}

} // namespace coltsfootshed
