/// \file
/// Learns the durations of tasks per image, as clients' estimates are rough.
#ifndef COLTSFOOTSHED_SCHEDULING_IMAGEESTIMATES_H
#define COLTSFOOTSHED_SCHEDULING_IMAGEESTIMATES_H

#include "coltsfootshed/Support/Clock.h"

#include <string>
#include <unordered_map>

namespace coltsfootshed {

class ImageEstimates
{
public:
  /// Records that a task took aDuration, where its client estimated
  /// aClientEstimate. Ignored if the task has no image or no estimate.
  void Learn(const std::string& aImage,
             Millis aClientEstimate,
             Millis aDuration)
  {
    if (aImage.empty() || aClientEstimate <= Millis(0)) {
      return;
    }
    double ratio = static_cast<double>(aDuration.count()) /
                   static_cast<double>(aClientEstimate.count());
    auto [entry, isNew] = ratios_.try_emplace(aImage, ratio);
    if (!isNew) {
      entry->second += kWeight * (ratio - entry->second);
    }
    if (ratios_.size() > kMaxImages) {
      ratios_.clear();
    }
  }

  /// Returns the expected duration of a task. It is aClientEstimate until a
  /// duration of the image has been recorded.
  Millis Estimate(const std::string& aImage, Millis aClientEstimate) const
  {
    auto found = ratios_.find(aImage);
    double ratio = found == ratios_.end() ? 1.0 : found->second;
    return Millis(static_cast<std::int64_t>(
      ratio * static_cast<double>(aClientEstimate.count())));
  }

private:
  /// Weight of the newest duration; the mean follows about the last ten.
  static constexpr double kWeight = 0.2;
  /// Bounds memory; far above the number of images of one service. All ratios
  /// are dropped when there are more.
  static constexpr std::size_t kMaxImages = 10000;

  /// By image: mean of the durations, each divided by the client's estimate.
  std::unordered_map<std::string, double> ratios_;
};

} // namespace coltsfootshed

#endif
