/// \file
/// Waiting requests of one class, in weighted fair order of tenants.
#ifndef COLTSFOOTSHED_ADMISSION_TENANTQUEUE_H
#define COLTSFOOTSHED_ADMISSION_TENANTQUEUE_H

#include "coltsfootshed/Admission/StrideOrder.h"
#include "coltsfootshed/Config/Document.h"
#include "coltsfootshed/Support/Clock.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace coltsfootshed {

/// Identifies a request within one process.
using RequestId = std::uint64_t;

/// A request as admission sees it.
struct QueuedRequest
{
  RequestId id_ = 0;
  RequestClass class_ = RequestClass::Standard;
  std::string tenant_;
  std::int64_t weight_ = 1; ///< the tenant's
  Millis arrived_{ 0 };
  Millis deadline_{ 0 };     ///< point in time
  bool mayHandOver_ = false; ///< another data centre may take it
};

/// First in, first out within a tenant. Tenants share by weight, by stride
/// scheduling.
class TenantQueue
{
public:
  void Push(const QueuedRequest& aRequest);
  void PushFront(const QueuedRequest& aRequest);
  /// Removes and returns the next request in fair order. The queue must not be
  /// empty.
  QueuedRequest Pop();
  /// Removes the newest request of the tenant with the most waiting requests
  /// per weight. Returns nothing if that tenant is aExcept or nothing waits.
  std::optional<RequestId> EvictFromHeaviest(std::string_view aExcept);
  bool Remove(RequestId aId);
  std::int64_t Size() const { return size_; }

private:
  struct TenantEntry
  {
    std::deque<QueuedRequest> requests_;
    std::int64_t weight_ = 1;
  };
  using TenantEntries = std::map<std::string, TenantEntry, std::less<>>;

  TenantEntry& EntryFor(const QueuedRequest& aRequest);
  TenantEntries::iterator EraseIfEmpty(TenantEntries::iterator aEntry);

  TenantEntries entries_; ///< only tenants with waiting requests
  StrideOrder order_;     ///< a request counts as work of 1
  std::int64_t size_ = 0;
};

} // namespace coltsfootshed

#endif
