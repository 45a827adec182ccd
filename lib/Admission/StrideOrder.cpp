#include "coltsfootshed/Admission/StrideOrder.h"

#include <algorithm>

namespace coltsfootshed {

double StrideOrder::PassOf(std::string_view aAccount) const
{
  auto found = passes_.find(aAccount);
  return found == passes_.end() ? virtualTime_
                                : std::max(virtualTime_, found->second);
}

void StrideOrder::Charge(std::string_view aAccount,
                         double aWork,
                         std::int64_t aWeight)
{
  double pass = PassOf(aAccount);
  virtualTime_ = pass;
  passes_[std::string(aAccount)] =
    pass + aWork / static_cast<double>(std::max<std::int64_t>(1, aWeight));
  std::erase_if(passes_, [this](const auto& aEntry) {
    return aEntry.second <= virtualTime_;
  });
}

} // namespace coltsfootshed
