/// \file
/// Admission of one service's requests in one entry VM: a bounded queue with a
/// guaranteed share for each class and fair shares for tenants.
#ifndef COLTSFOOTSHED_ADMISSION_SERVICEQUEUE_H
#define COLTSFOOTSHED_ADMISSION_SERVICEQUEUE_H

#include "coltsfootshed/Admission/ClassUsage.h"
#include "coltsfootshed/Admission/TenantQueue.h"
#include "coltsfootshed/Config/Document.h"
#include "coltsfootshed/Support/Clock.h"

#include <array>
#include <cstdint>
#include <optional>
#include <vector>

namespace coltsfootshed {

/// Result of offering a request to the queue.
struct AdmissionResult
{
  bool queued_ = false;              ///< false: shed on arrival
  std::optional<RequestId> evicted_; ///< shed to make room
};

/// Requests wait here until a slot is free for their class. An overloaded class
/// may use the slots that the others have not needed recently, but never the
/// guaranteed slots that the others use.
class ServiceQueue
{
public:
  ServiceQueue(const Clock& aClock, std::int64_t aLimit);

  /// Requests that may wait at once.
  void SetLimit(std::int64_t aLimit) { limit_ = aLimit; }
  /// Requests that may run at once; at least 0.
  void SetSlots(std::int64_t aSlots) { slots_ = aSlots; }

  /// Queues a request. Sheds it on arrival if its expected wait reaches its
  /// deadline, or if the queue is full and nothing may be evicted for it.
  AdmissionResult Offer(const QueuedRequest& aRequest);
  /// Removes and returns the next request that may start; it counts as running.
  /// Requests that would not end before their deadline are removed too, and
  /// their ids are added to aDropped.
  std::optional<QueuedRequest> TakeNext(std::vector<RequestId>& aDropped);
  /// Removes and returns a waiting request to be handed over, most urgent class
  /// first; it does not count as running.
  std::optional<QueuedRequest> TakeForHandover();
  /// A started request has ended; aTargetTime has passed since its first
  /// attempt.
  void OnFinished(RequestClass aClass, Millis aTargetTime);
  /// Returns a started request to the head of its tenant's queue.
  void PutBack(const QueuedRequest& aRequest);
  /// Removes a waiting request. Returns false if it does not wait.
  bool Remove(RequestId aId);

  std::int64_t Waiting() const;
  std::int64_t Running() const;
  std::int64_t Demand() const { return Waiting() + Running(); }
  std::int64_t Slots() const { return slots_; }
  /// Estimated time until a new request of aClass starts; 0 if there are no
  /// slots.
  Millis ExpectedWait(RequestClass aClass) const;
  /// The longest expected wait over the classes that have waiting requests.
  Millis LongestWait() const;

private:
  std::int64_t GuaranteedSlots(std::size_t aClass) const;
  std::int64_t AllowedSlots(std::size_t aClass) const;
  bool MayStart(std::size_t aClass) const;
  bool WillMissDeadline(const QueuedRequest& aRequest) const;
  std::optional<std::size_t> PickClass() const;
  std::int64_t GuaranteedPlaces(std::size_t aClass) const;
  std::size_t VictimClass(std::size_t aArriving) const;
  QueuedRequest Start(std::size_t aClass);

  const Clock& clock_;
  std::int64_t limit_;
  std::int64_t slots_ = 0;
  std::array<TenantQueue, kClassCount> queues_;
  std::array<ClassUsage, kClassCount> usage_;
  double averageTargetTimeMs_; ///< from first attempt to end, smoothed
};

} // namespace coltsfootshed

#endif
