#include "coltsfootshed/Admission/TenantQueue.h"

#include <algorithm>
#include <cassert>

namespace coltsfootshed {

TenantQueue::Line& TenantQueue::LineOf(const QueuedRequest& aRequest)
{
  auto [line, added] = lines_.try_emplace(aRequest.tenant_);
  if (added) {
    line->second.pass_ = virtualTime_;
  }
  line->second.weight_ = std::max<std::int64_t>(1, aRequest.weight_);
  return line->second;
}

void TenantQueue::Push(const QueuedRequest& aRequest)
{
  LineOf(aRequest).requests_.push_back(aRequest);
  ++size_;
}

void TenantQueue::PushFront(const QueuedRequest& aRequest)
{
  LineOf(aRequest).requests_.push_front(aRequest);
  ++size_;
}

TenantQueue::Lines::iterator TenantQueue::EraseIfEmpty(Lines::iterator aLine)
{
  if (!aLine->second.requests_.empty()) {
    return std::next(aLine);
  }
  return lines_.erase(aLine);
}

QueuedRequest TenantQueue::Pop()
{
  assert(size_ > 0 && "callers check Size() first");
  auto next = std::min_element(
    lines_.begin(), lines_.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.second.pass_ < aRight.second.pass_;
    });
  Line& line = next->second;
  QueuedRequest request = std::move(line.requests_.front());
  line.requests_.pop_front();
  --size_;
  line.pass_ += 1.0 / static_cast<double>(line.weight_);
  // A tenant that leaves with work taken ahead of the others returns no
  // earlier than they have caught up.
  virtualTime_ = std::max(virtualTime_, line.pass_);
  EraseIfEmpty(next);
  return request;
}

std::optional<RequestId> TenantQueue::EvictFromHeaviest(
  std::string_view aExcept)
{
  auto load = [](const Line& aLine) {
    return static_cast<double>(aLine.requests_.size()) /
           static_cast<double>(aLine.weight_);
  };
  auto heaviest = std::max_element(
    lines_.begin(), lines_.end(), [&](const auto& aLeft, const auto& aRight) {
      return load(aLeft.second) < load(aRight.second);
    });
  if (heaviest == lines_.end() || heaviest->first == aExcept) {
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
  for (auto line = lines_.begin(); line != lines_.end(); ++line) {
    std::size_t removed =
      std::erase_if(line->second.requests_, [aId](const QueuedRequest& aItem) {
        return aItem.id_ == aId;
      });
    assert(removed < 2 && "a request waits at most once");
    if (removed > 0) {
      --size_;
      EraseIfEmpty(line);
      return true;
    }
  }
  return false;
}

} // namespace coltsfootshed
