#include "coltsfootshed/Routing/TargetChooser.h"

#include <algorithm>
#include <cassert>
#include <tuple>
#include <utility>

namespace coltsfootshed {

static constexpr Millis kInitialBackoff{ 250 };
static constexpr int kMaxBackoffDoublings = 5;

TargetChooser::TargetChooser(const Clock& aClock)
  : clock_(aClock)
{
}

void TargetChooser::SetSlots(
  std::map<std::string, std::int64_t, std::less<>> aSlots)
{
  slots_ = std::move(aSlots);
  std::erase_if(health_, [this](const auto& aItem) {
    return aItem.second.running_ == 0 && !slots_.contains(aItem.first);
  });
}

std::int64_t TargetChooser::UsableSlots() const
{
  std::int64_t total = 0;
  for (const auto& [target, slots] : slots_) {
    total += IsSuspected(target) ? 0 : slots;
  }
  return total;
}

std::optional<std::string> TargetChooser::Take(
  const std::set<std::string, std::less<>>& aTried)
{
  const std::string* best = nullptr;
  std::tuple<std::int64_t, bool> bestRank;
  for (const auto& [target, slots] : slots_) {
    std::int64_t running = Running(target);
    if (running >= slots || aTried.contains(target) || IsSuspected(target)) {
      continue;
    }
    std::tuple<std::int64_t, bool> rank{ running, target <= lastChosen_ };
    if (best == nullptr || rank < bestRank) {
      best = &target;
      bestRank = rank;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  ++health_[*best].running_;
  lastChosen_ = *best;
  return lastChosen_;
}

void TargetChooser::Release(std::string_view aTarget)
{
  auto found = health_.find(aTarget);
  assert(found != health_.end() && found->second.running_ > 0 &&
         "each attempt is released once");
  --found->second.running_;
}

void TargetChooser::OnFailure(std::string_view aTarget)
{
  Health& health = health_[std::string(aTarget)];
  Millis backoff = kInitialBackoff * (1 << health.failures_);
  health.failures_ = std::min(health.failures_ + 1, kMaxBackoffDoublings);
  health.suspected_ = true;
  health.nextProbe_ = clock_.Now() + backoff;
}

void TargetChooser::OnSuccess(std::string_view aTarget)
{
  auto found = health_.find(aTarget);
  if (found == health_.end()) {
    return;
  }
  found->second.failures_ = 0;
  found->second.suspected_ = false;
}

void TargetChooser::OnProbeAnswered(std::string_view aTarget)
{
  auto found = health_.find(aTarget);
  if (found != health_.end()) {
    found->second.suspected_ = false;
  }
}

std::vector<std::string> TargetChooser::TakeDueProbes()
{
  std::vector<std::string> due;
  Millis now = clock_.Now();
  for (auto& [target, health] : health_) {
    if (health.suspected_ && health.nextProbe_ <= now) {
      health.nextProbe_ = now + kInitialBackoff * (1 << kMaxBackoffDoublings);
      due.push_back(target);
    }
  }
  return due;
}

bool TargetChooser::IsSuspected(std::string_view aTarget) const
{
  auto found = health_.find(aTarget);
  return found != health_.end() && found->second.suspected_;
}

std::int64_t TargetChooser::Running(std::string_view aTarget) const
{
  auto found = health_.find(aTarget);
  return found == health_.end() ? 0 : found->second.running_;
}

} // namespace coltsfootshed
