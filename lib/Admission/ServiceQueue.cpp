#include "coltsfootshed/Admission/ServiceQueue.h"

#include <algorithm>
#include <limits>

namespace coltsfootshed {

/// Guaranteed part of the slots and of the queue, by class.
static constexpr std::array<double, kClassCount> kGuaranteed = { 0.5,
                                                                 0.3,
                                                                 0.2 };
/// Slots kept free above a class's recent peak.
static constexpr std::int64_t kHeadroom = 1;
/// Weight of the newest time in the smoothed time with a target.
static constexpr double kSmoothing = 0.1;
static constexpr double kFirstAverageMs = 10.0;

static std::int64_t PartOf(std::int64_t aTotal, std::size_t aClass)
{
  auto part =
    static_cast<std::int64_t>(kGuaranteed.at(aClass) * double(aTotal));
  return std::max<std::int64_t>(part, 1);
}

ServiceQueue::ServiceQueue(const Clock& aClock, std::int64_t aLimit)
  : clock_(aClock)
  , limit_(aLimit)
  , averageTime_(kFirstAverageMs)
{
}

std::int64_t ServiceQueue::Entitled(std::size_t aClass) const
{
  return PartOf(slots_, aClass);
}

std::int64_t ServiceQueue::Allowed(std::size_t aClass) const
{
  std::int64_t allowed = slots_;
  for (std::size_t other = 0; other < kClassCount; ++other) {
    if (other == aClass || use_[other].RecentPeak() == 0) {
      continue;
    }
    allowed -= std::min(Entitled(other), use_[other].RecentPeak() + kHeadroom);
  }
  return std::max<std::int64_t>(allowed, 1);
}

bool ServiceQueue::MayStart(std::size_t aClass) const
{
  return queues_[aClass].Size() > 0 && use_[aClass].Running() < Allowed(aClass);
}

std::optional<std::size_t> ServiceQueue::PickClass() const
{
  for (std::size_t i = 0; i < kClassCount; ++i) {
    if (MayStart(i) && use_[i].Running() < Entitled(i)) {
      return i;
    }
  }
  std::optional<std::size_t> best;
  double bestLoad = std::numeric_limits<double>::max();
  for (std::size_t i = 0; i < kClassCount; ++i) {
    double load = double(use_[i].Running()) / kGuaranteed.at(i);
    if (MayStart(i) && load < bestLoad) {
      best = i;
      bestLoad = load;
    }
  }
  return best;
}

std::int64_t ServiceQueue::QueueShare(std::size_t aClass) const
{
  return PartOf(limit_, aClass);
}

/// The class that gives up a place in a full queue: the least urgent one that
/// holds more than its share. The arriving class is the last resort.
std::size_t ServiceQueue::VictimClass(std::size_t aArriving) const
{
  bool withinShare = queues_[aArriving].Size() < QueueShare(aArriving);
  for (std::size_t i = kClassCount; i-- > 0;) {
    bool overShare = queues_[i].Size() > QueueShare(i);
    if (i != aArriving && overShare && (withinShare || i > aArriving)) {
      return i;
    }
  }
  return aArriving;
}

Millis ServiceQueue::ExpectedWait(RequestClass aClass) const
{
  auto index = static_cast<std::size_t>(aClass);
  if (slots_ == 0) {
    return Millis(0);
  }
  double ahead = double(queues_.at(index).Size());
  double rounds = ahead / double(Allowed(index));
  return Millis(static_cast<std::int64_t>(rounds * averageTime_));
}

AdmissionResult ServiceQueue::Offer(const QueuedRequest& aRequest)
{
  auto index = static_cast<std::size_t>(aRequest.class_);
  Millis now = clock_.Now();
  use_.at(index).Note(use_[index].Running() + queues_[index].Size() + 1, now);
  if (now + ExpectedWait(aRequest.class_) >= aRequest.deadline_) {
    return {};
  }
  AdmissionResult admitted;
  if (Waiting() >= limit_) {
    std::size_t victim = VictimClass(index);
    std::string_view except;
    if (victim == index) {
      except = aRequest.tenant_;
    }
    admitted.evicted_ = queues_.at(victim).EvictFromHeaviest(except);
    if (!admitted.evicted_) {
      return {};
    }
  }
  queues_[index].Push(aRequest);
  admitted.queued_ = true;
  return admitted;
}

QueuedRequest ServiceQueue::Start(std::size_t aClass)
{
  use_.at(aClass).Start();
  return queues_.at(aClass).Pop();
}

bool ServiceQueue::IsHopeless(const QueuedRequest& aRequest) const
{
  Millis usual(static_cast<std::int64_t>(averageTime_));
  return clock_.Now() + usual >= aRequest.deadline_;
}

std::optional<QueuedRequest> ServiceQueue::TakeNext(
  std::vector<RequestId>& aDropped)
{
  while (Running() < slots_) {
    std::optional<std::size_t> next = PickClass();
    if (!next) {
      return std::nullopt;
    }
    QueuedRequest request = Start(*next);
    if (!IsHopeless(request)) {
      return request;
    }
    use_.at(*next).End();
    aDropped.push_back(request.id_);
  }
  return std::nullopt;
}

std::optional<QueuedRequest> ServiceQueue::TakeForHandover()
{
  for (TenantQueue& queue : queues_) {
    if (queue.Size() == 0) {
      continue;
    }
    QueuedRequest next = queue.Pop();
    if (next.mayHandOver_) {
      return next;
    }
    queue.PushFront(next);
  }
  return std::nullopt;
}

Millis ServiceQueue::LongestWait() const
{
  Millis longest(0);
  for (std::size_t i = 0; i < kClassCount; ++i) {
    if (queues_[i].Size() > 0) {
      longest = std::max(longest, ExpectedWait(static_cast<RequestClass>(i)));
    }
  }
  return longest;
}

void ServiceQueue::OnFinished(RequestClass aClass, Millis aTime)
{
  auto index = static_cast<std::size_t>(aClass);
  use_.at(index).End();
  averageTime_ += kSmoothing * (double(aTime.count()) - averageTime_);
  use_[index].Note(use_[index].Running() + queues_[index].Size(), clock_.Now());
}

void ServiceQueue::PutBack(const QueuedRequest& aRequest)
{
  auto index = static_cast<std::size_t>(aRequest.class_);
  use_.at(index).End();
  queues_.at(index).PushFront(aRequest);
}

bool ServiceQueue::Remove(RequestId aId)
{
  return std::any_of(queues_.begin(), queues_.end(), [aId](TenantQueue& aItem) {
    return aItem.Remove(aId);
  });
}

std::int64_t ServiceQueue::Waiting() const
{
  std::int64_t total = 0;
  for (const TenantQueue& queue : queues_) {
    total += queue.Size();
  }
  return total;
}

std::int64_t ServiceQueue::Running() const
{
  std::int64_t total = 0;
  for (const ClassUse& use : use_) {
    total += use.Running();
  }
  return total;
}

} // namespace coltsfootshed
