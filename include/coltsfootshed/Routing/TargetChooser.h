/// \file
/// Chooses the target of an attempt and tracks which targets fail.
#ifndef COLTSFOOTSHED_ROUTING_TARGETCHOOSER_H
#define COLTSFOOTSHED_ROUTING_TARGETCHOOSER_H

#include "coltsfootshed/Support/Clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace coltsfootshed {

/// Targets of one service in this data centre, as one entry VM sees them.
class TargetChooser
{
public:
  explicit TargetChooser(const Clock& aClock);

  /// Sets the slots that this entry VM may use on each target. A target that
  /// is missing gets no new attempts; those under way go on.
  void SetSlots(std::map<std::string, std::int64_t, std::less<>> aSlots);
  /// Slots over all targets that are not suspected.
  std::int64_t UsableSlots() const;

  /// Returns the target with a free slot on which the fewest attempts run and
  /// that is neither suspected nor in aTried, and counts an attempt on it.
  /// Returns nothing if there is none.
  std::optional<std::string> Take(
    const std::set<std::string, std::less<>>& aTried);
  /// An attempt counted by Take() has ended.
  void Release(std::string_view aTarget);

  /// The target failed; it is suspected and gets no new attempts until it
  /// answers. The time to the next probe doubles with each failure in a row.
  void OnFailure(std::string_view aTarget);
  /// The target answered a request; it is not suspected and its backoff is
  /// reset.
  void OnSuccess(std::string_view aTarget);
  /// The target answered a probe; it may get attempts again. Only an answered
  /// request resets its backoff.
  void OnProbeAnswered(std::string_view aTarget);
  /// Suspected targets to probe now. Each is returned again only after a
  /// further failure, or after the longest backoff if the probe's end is not
  /// reported.
  std::vector<std::string> TakeDueProbes();
  bool IsSuspected(std::string_view aTarget) const;
  std::int64_t Running(std::string_view aTarget) const;

private:
  struct Health
  {
    std::int64_t running_ = 0;
    int failures_ = 0; ///< in a row, capped
    bool suspected_ = false;
    Millis nextProbe_{ 0 };
  };

  const Clock& clock_;
  std::map<std::string, std::int64_t, std::less<>> slots_;
  std::map<std::string, Health, std::less<>> health_;
  std::string lastChosen_; ///< most recent choice; the next name wins ties
};

} // namespace coltsfootshed

#endif
