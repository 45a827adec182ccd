/// \file
/// Durations of tasks learnt per image, as clients' estimates are rough.
#ifndef COLTSFOOTSHED_SCHEDULING_IMAGEESTIMATES_H
#define COLTSFOOTSHED_SCHEDULING_IMAGEESTIMATES_H

#include "coltsfootshed/Support/Clock.h"

#include <string>
#include <unordered_map>

namespace coltsfootshed {

class ImageEstimates
{
public:
  /// A task ran to its end in aTook, where the client had guessed aGuess.
  void Learn(const std::string& aImage, Millis aGuess, Millis aTook)
  {
    if (aImage.empty() || aGuess <= Millis(0)) {
      return;
    }
    double ratio =
      static_cast<double>(aTook.count()) / static_cast<double>(aGuess.count());
    auto [entry, isNew] = ratios_.try_emplace(aImage, ratio);
    if (!isNew) {
      entry->second += kWeight * (ratio - entry->second);
    }
    if (ratios_.size() > kMostImages) {
      ratios_.clear();
    }
  }

  Millis Estimate(const std::string& aImage, Millis aGuess) const
  {
    auto found = ratios_.find(aImage);
    double ratio = found == ratios_.end() ? 1.0 : found->second;
    return Millis(
      static_cast<std::int64_t>(ratio * static_cast<double>(aGuess.count())));
  }

private:
  /// Weight of the newest end; the mean follows the last ten or so.
  static constexpr double kWeight = 0.2;
  /// Bounds memory; far above the images of one service.
  static constexpr std::size_t kMostImages = 10000;

  std::unordered_map<std::string, double> ratios_;
};

} // namespace coltsfootshed

#endif
