/// \file
/// How late this process itself has been, and how many starts it may have in
/// flight because of that. Does no input or output.
///
/// Answers a backlog of hundreds of jobs at a leader that is short of processor
/// time or bandwidth: late answers are its own fault and no evidence against
/// targets, and fewer starts leave it time for renewals of leases.
#ifndef COLTSFOOTSHED_SCHEDULING_OWNDELAY_H
#define COLTSFOOTSHED_SCHEDULING_OWNDELAY_H

#include "coltsfootshed/Support/Clock.h"

#include <optional>

namespace coltsfootshed {

class OwnDelay
{
public:
  explicit OwnDelay(const Clock& aClock);

  /// Notes by how much a decision came later than it was due.
  void Note(Millis aLate);
  /// Returns true if the process was late at some time after aSince, so that an
  /// answer may have waited in it.
  bool WasLateSince(Millis aSince) const;
  /// Returns how many starts may be in flight.
  int StartWindow() const { return window_; }

private:
  static constexpr int kMaxWindow = 512;

  const Clock& clock_;
  std::optional<Millis> lateAt_;
  int window_ = kMaxWindow;
};

} // namespace coltsfootshed

#endif
