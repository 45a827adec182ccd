#include "coltsfootshed/Admission/TenantQueue.h"

#include <algorithm>
#include <cassert>

namespace coltsfootshed {

TenantQueue::TenantEntry& TenantQueue::EntryFor(const QueuedRequest& aRequest)
{
  auto entry = entries_.try_emplace(aRequest.tenant_).first;
  entry->second.weight_ = std::max<std::int64_t>(1, aRequest.weight_);
  return entry->second;
}

void TenantQueue::Push(const QueuedRequest& aRequest)
{
  EntryFor(aRequest).requests_.push_back(aRequest);
  ++size_;
}

void TenantQueue::PushFront(const QueuedRequest& aRequest)
{
  EntryFor(aRequest).requests_.push_front(aRequest);
  ++size_;
}

TenantQueue::TenantEntries::iterator TenantQueue::EraseIfEmpty(
  TenantEntries::iterator aEntry)
{
  if (!aEntry->second.requests_.empty()) {
    return std::next(aEntry);
  }
  return entries_.erase(aEntry);
}

QueuedRequest TenantQueue::Pop()
{
  assert(size_ > 0 && "callers check Size() first");
  auto next = std::min_element(entries_.begin(),
                               entries_.end(),
                               [this](const auto& aLeft, const auto& aRight) {
                                 return order_.PassOf(aLeft.first) <
                                        order_.PassOf(aRight.first);
                               });
  TenantEntry& entry = next->second;
  QueuedRequest request = std::move(entry.requests_.front());
  entry.requests_.pop_front();
  --size_;
  order_.Charge(next->first, 1.0, entry.weight_);
  EraseIfEmpty(next);
  return request;
}

std::optional<RequestId> TenantQueue::EvictFromHeaviest(
  std::string_view aExcept)
{
  auto load = [](const TenantEntry& aEntry) {
    return static_cast<double>(aEntry.requests_.size()) /
           static_cast<double>(aEntry.weight_);
  };
  auto heaviest =
    std::max_element(entries_.begin(),
                     entries_.end(),
                     [&](const auto& aLeft, const auto& aRight) {
                       return load(aLeft.second) < load(aRight.second);
                     });
  if (heaviest == entries_.end() || heaviest->first == aExcept) {
    return std::nullopt;
  }
  RequestId id = heaviest->second.requests_.back().id_;
  heaviest->second.requests_.pop_back();
  --size_;
  EraseIfEmpty(heaviest);
  return id;
}

bool TenantQueue::Remove(RequestId aId)
{
  for (auto entry = entries_.begin(); entry != entries_.end(); ++entry) {
    std::size_t removed =
      std::erase_if(entry->second.requests_, [aId](const QueuedRequest& aItem) {
        return aItem.id_ == aId;
      });
    assert(removed < 2 && "a request waits at most once");
    if (removed > 0) {
      --size_;
      EraseIfEmpty(entry);
      return true;
    }
  }
  return false;
}

} // namespace coltsfootshed
