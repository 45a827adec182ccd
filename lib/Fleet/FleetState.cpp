#include "coltsfootshed/Fleet/FleetState.h"

#include <array>
#include <nlohmann/json.hpp>
#include <optional>

namespace coltsfootshed {

static constexpr std::array<std::string_view, 4> kStateNames = { "serving",
                                                                 "draining",
                                                                 "rebooting",
                                                                 "returning" };

std::string_view VmStateName(VmState aState)
{
  return kStateNames.at(static_cast<std::size_t>(aState));
}

static std::optional<VmState> StateFromName(std::string_view aName)
{
  for (std::size_t i = 0; i < kStateNames.size(); ++i) {
    if (kStateNames.at(i) == aName) {
      return static_cast<VmState>(i);
    }
  }
  return std::nullopt;
}

std::string FleetState::ToJson() const
{
  nlohmann::json vms = nlohmann::json::object();
  for (const auto& [name, entry] : vms_) {
    vms[name] = { { "pool", entry.pool_ },
                  { "state", VmStateName(entry.state_) },
                  { "operation", entry.operation_ },
                  { "waves", entry.waves_ },
                  { "fence", entry.fence_ } };
  }
  nlohmann::json out = { { "last_fence", lastFence_ }, { "vms", vms } };
  return out.dump();
}

Result<FleetState> FleetFromJson(std::string_view aJson)
{
  try {
    FleetState out;
    nlohmann::json json = nlohmann::json::parse(aJson);
    json.at("last_fence").get_to(out.lastFence_);
    for (const auto& [name, item] : json.at("vms").items()) {
      FleetVm entry;
      item.at("pool").get_to(entry.pool_);
      auto state = StateFromName(item.at("state").get<std::string>());
      if (!state) {
        return Fail("read fleet records", "", "unknown state of VM " + name);
      }
      entry.state_ = *state;
      item.at("operation").get_to(entry.operation_);
      item.at("waves").get_to(entry.waves_);
      item.at("fence").get_to(entry.fence_);
      out.vms_.emplace(name, std::move(entry));
    }
    return out;
  } catch (const nlohmann::json::exception& error) {
    return Fail("read fleet records", "", error.what());
  }
}

std::string FleetKey(std::string_view aDataCentre)
{
  return "fleet/" + std::string(aDataCentre);
}

} // namespace coltsfootshed
