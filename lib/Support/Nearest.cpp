#include "coltsfootshed/Support/Nearest.h"

#include <algorithm>
#include <numeric>
#include <vector>

namespace coltsfootshed {

/// Returns the Levenshtein distance of two words.
static std::size_t EditDistance(std::string_view aLeft, std::string_view aRight)
{
  std::vector<std::size_t> row(aRight.size() + 1);
  std::iota(row.begin(), row.end(), 0);
  for (std::size_t i = 1; i <= aLeft.size(); ++i) {
    std::size_t diagonal = row[0];
    row[0] = i;
    for (std::size_t j = 1; j <= aRight.size(); ++j) {
      std::size_t change = diagonal + (aLeft[i - 1] == aRight[j - 1] ? 0 : 1);
      diagonal = row[j];
      row[j] = std::min({ change, row[j] + 1, row[j - 1] + 1 });
    }
  }
  return row.back();
}

std::string Nearest(std::string_view aWord,
                    const std::set<std::string, std::less<>>& aKnown)
{
  constexpr std::size_t kMaxEdits = 2;
  std::string best;
  std::size_t bestDistance = kMaxEdits + 1;
  for (const std::string& word : aKnown) {
    std::size_t distance = EditDistance(aWord, word);
    if (distance < bestDistance) {
      best = word;
      bestDistance = distance;
    }
  }
  return best;
}

} // namespace coltsfootshed
