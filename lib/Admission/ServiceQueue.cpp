#include "coltsfootshed/Admission/ServiceQueue.h"

#include <algorithm>
#include <limits>

namespace coltsfootshed {

/// Guaranteed fraction of the slots and of the queue for the urgent, standard
/// and background class.
static constexpr std::array<double, kClassCount> kGuaranteedFraction = { 0.5,
                                                                         0.3,
                                                                         0.2 };
/// Slots kept free for a class above its recent peak.
static constexpr std::int64_t kHeadroom = 1;
/// Weight of the newest request in the smoothed target time.
static constexpr double kSmoothing = 0.1;
static constexpr double kInitialAverageMs = 10.0;

static std::int64_t GuaranteedCount(std::int64_t aTotal, std::size_t aClass)
{
  auto part =
    static_cast<std::int64_t>(kGuaranteedFraction.at(aClass) * double(aTotal));
  return std::max<std::int64_t>(part, 1);
}

ServiceQueue::ServiceQueue(const Clock& aClock, std::int64_t aLimit)
  : clock_(aClock)
  , limit_(aLimit)
  , averageTargetTimeMs_(kInitialAverageMs)
{
}

std::int64_t ServiceQueue::GuaranteedSlots(std::size_t aClass) const
{
  return GuaranteedCount(slots_, aClass);
}

/// Returns the slots that a class may use: all but those that the other classes
/// have needed recently, up to their guaranteed slots.
std::int64_t ServiceQueue::AllowedSlots(std::size_t aClass) const
{
  std::int64_t allowed = slots_;
  for (std::size_t other = 0; other < kClassCount; ++other) {
    if (other == aClass || usage_[other].RecentPeak() == 0) {
      continue;
    }
    allowed -=
      std::min(GuaranteedSlots(other), usage_[other].RecentPeak() + kHeadroom);
  }
  return std::max<std::int64_t>(allowed, 1);
}

bool ServiceQueue::MayStart(std::size_t aClass) const
{
  return queues_[aClass].Size() > 0 &&
         usage_[aClass].Running() < AllowedSlots(aClass);
}

/// Returns the class that starts a request next: the most urgent one below its
/// guaranteed slots, otherwise the one that runs the fewest requests relative
/// to its guaranteed fraction. Returns nothing if no class may start one.
std::optional<std::size_t> ServiceQueue::PickClass() const
{
  for (std::size_t i = 0; i < kClassCount; ++i) {
    if (MayStart(i) && usage_[i].Running() < GuaranteedSlots(i)) {
      return i;
    }
  }
  std::optional<std::size_t> best;
  double bestLoad = std::numeric_limits<double>::max();
  for (std::size_t i = 0; i < kClassCount; ++i) {
    double load = double(usage_[i].Running()) / kGuaranteedFraction.at(i);
    if (MayStart(i) && load < bestLoad) {
      best = i;
      bestLoad = load;
    }
  }
  return best;
}

std::int64_t ServiceQueue::GuaranteedPlaces(std::size_t aClass) const
{
  return GuaranteedCount(limit_, aClass);
}

/// Returns the class from which a full queue evicts: the least urgent class
/// other than the arriving one that holds more than its share. An arriving
/// class that has used up its own share evicts only from less urgent classes.
/// Returns the arriving class if there is no such class.
std::size_t ServiceQueue::VictimClass(std::size_t aArriving) const
{
  bool withinShare = queues_[aArriving].Size() < GuaranteedPlaces(aArriving);
  for (std::size_t i = kClassCount; i-- > 0;) {
    bool overShare = queues_[i].Size() > GuaranteedPlaces(i);
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
  double rounds = ahead / double(AllowedSlots(index));
  return Millis(static_cast<std::int64_t>(rounds * averageTargetTimeMs_));
}

AdmissionResult ServiceQueue::Offer(const QueuedRequest& aRequest)
{
  auto index = static_cast<std::size_t>(aRequest.class_);
  Millis now = clock_.Now();
  usage_.at(index).RecordDemand(
    usage_[index].Running() + queues_[index].Size() + 1, now);
  if (now + ExpectedWait(aRequest.class_) >= aRequest.deadline_) {
    return {};
  }
  AdmissionResult admission;
  if (Waiting() >= limit_) {
    std::size_t victim = VictimClass(index);
    std::string_view except;
    if (victim == index) {
      except = aRequest.tenant_;
    }
    admission.evicted_ = queues_.at(victim).EvictFromHeaviest(except);
    if (!admission.evicted_) {
      return {};
    }
  }
  queues_[index].Push(aRequest);
  admission.queued_ = true;
  return admission;
}

QueuedRequest ServiceQueue::Start(std::size_t aClass)
{
  usage_.at(aClass).Start();
  return queues_.at(aClass).Pop();
}

bool ServiceQueue::WillMissDeadline(const QueuedRequest& aRequest) const
{
  Millis average(static_cast<std::int64_t>(averageTargetTimeMs_));
  return clock_.Now() + average >= aRequest.deadline_;
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
    if (!WillMissDeadline(request)) {
      return request;
    }
    usage_.at(*next).End();
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

void ServiceQueue::OnFinished(RequestClass aClass, Millis aTargetTime)
{
  auto index = static_cast<std::size_t>(aClass);
  usage_.at(index).End();
  averageTargetTimeMs_ +=
    kSmoothing * (double(aTargetTime.count()) - averageTargetTimeMs_);
  usage_[index].RecordDemand(usage_[index].Running() + queues_[index].Size(),
                             clock_.Now());
}

void ServiceQueue::PutBack(const QueuedRequest& aRequest)
{
  auto index = static_cast<std::size_t>(aRequest.class_);
  usage_.at(index).End();
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
  for (const ClassUsage& usage : usage_) {
    total += usage.Running();
  }
  return total;
}

} // namespace coltsfootshed
