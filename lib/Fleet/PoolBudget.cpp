#include "coltsfootshed/Fleet/PoolBudget.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace coltsfootshed {

std::string PoolBudget::ToJson() const
{
  nlohmann::json out = nlohmann::json::object();
  for (const auto& [vm, disruption] : disruptions_) {
    out[vm] = { { "data_centre", disruption.dataCentre_ },
                { "operation", disruption.operation_ },
                { "fence", disruption.fence_ } };
  }
  return out.dump();
}

Result<PoolBudget> BudgetFromJson(std::string_view aJson)
{
  try {
    PoolBudget out;
    nlohmann::json json = nlohmann::json::parse(aJson);
    for (const auto& [vm, item] : json.items()) {
      Disruption disruption;
      item.at("data_centre").get_to(disruption.dataCentre_);
      item.at("operation").get_to(disruption.operation_);
      item.at("fence").get_to(disruption.fence_);
      out.disruptions_.emplace(vm, std::move(disruption));
    }
    return out;
  } catch (const nlohmann::json::exception& error) {
    return Fail("read pool budget", "", error.what());
  }
}

std::string BudgetKey(std::string_view aPool)
{
  return "budget/" + std::string(aPool);
}

} // namespace coltsfootshed
