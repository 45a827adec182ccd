/// \file
/// Admission of one service's requests in one entry VM: a bounded queue with
/// guaranteed shares for each class and fair shares for tenants.
#ifndef COLTSFOOTSHED_ADMISSION_SERVICEQUEUE_H
#define COLTSFOOTSHED_ADMISSION_SERVICEQUEUE_H

#include "coltsfootshed/Admission/ClassUse.h"
#include "coltsfootshed/Admission/TenantQueue.h"
#include "coltsfootshed/Config/Document.h"
#include "coltsfootshed/Support/Clock.h"

#include <array>
#include <cstdint>
#include <optional>
#include <vector>

namespace coltsfootshed {

/// What becomes of an offered request.
struct AdmissionResult
{
  bool queued_ = false;              ///< false: shed on arrival
  std::optional<RequestId> evicted_; ///< shed to make room
};

/// Requests wait here until a slot is free for their class. A class that
/// floods can use whatever slots the others have not needed of late, but never
/// the shares that the others are entitled to and use.
class ServiceQueue
{
public:
  ServiceQueue(const Clock& aClock, std::int64_t aLimit);

  void SetLimit(std::int64_t aLimit) { limit_ = aLimit; }
  /// Requests that may run at once; at least 0.
  void SetSlots(std::int64_t aSlots) { slots_ = aSlots; }

  /// Sheds on arrival a request whose expected wait passes its deadline, or
  /// one that finds the queue full of work at least as entitled.
  AdmissionResult Offer(const QueuedRequest& aRequest);
  /// The next request that may start; it counts as running. Requests that
  /// could not end before their deadline are dropped into aDropped.
  std::optional<QueuedRequest> TakeNext(std::vector<RequestId>& aDropped);
  /// The waiting request that would start next, to be handed over instead; it
  /// does not count as running.
  std::optional<QueuedRequest> TakeForHandover();
  /// A started request has ended after aTime with a target.
  void OnFinished(RequestClass aClass, Millis aTime);
  /// A started request goes back to the head of its tenant's queue.
  void PutBack(const QueuedRequest& aRequest);
  /// Drops a waiting request. Returns false if it does not wait.
  bool Remove(RequestId aId);

  std::int64_t Waiting() const;
  std::int64_t Running() const;
  std::int64_t Demand() const { return Waiting() + Running(); }
  std::int64_t Slots() const { return slots_; }
  /// Estimated time until a new request of aClass starts.
  Millis ExpectedWait(RequestClass aClass) const;
  /// The longest expected wait over the classes that have waiting requests.
  Millis LongestWait() const;

private:
  std::int64_t Entitled(std::size_t aClass) const;
  std::int64_t Allowed(std::size_t aClass) const;
  bool MayStart(std::size_t aClass) const;
  bool IsHopeless(const QueuedRequest& aRequest) const;
  std::optional<std::size_t> PickClass() const;
  std::int64_t QueueShare(std::size_t aClass) const;
  std::size_t VictimClass(std::size_t aArriving) const;
  QueuedRequest Start(std::size_t aClass);

  const Clock& clock_;
  std::int64_t limit_;
  std::int64_t slots_ = 0;
  std::array<TenantQueue, kClassCount> queues_;
  std::array<ClassUse, kClassCount> use_;
  double averageTime_; ///< milliseconds with a target, smoothed
};

} // namespace coltsfootshed

#endif
