/// \file
/// Waiting requests of one class, taken in weighted fair order of tenants.
#ifndef COLTSFOOTSHED_ADMISSION_TENANTQUEUE_H
#define COLTSFOOTSHED_ADMISSION_TENANTQUEUE_H

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

/// Names a request within one process.
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

/// First in, first out within a tenant; tenants share by weight.
class TenantQueue
{
public:
  void Push(const QueuedRequest& aRequest);
  void PushFront(const QueuedRequest& aRequest);
  /// The next request in fair order. Must not be empty.
  QueuedRequest Pop();
  /// The newest request of the tenant that waits with most per weight, unless
  /// that tenant is aExcept.
  std::optional<RequestId> EvictFromHeaviest(std::string_view aExcept);
  bool Remove(RequestId aId);
  std::int64_t Size() const { return size_; }

private:
  struct Line
  {
    std::deque<QueuedRequest> requests_;
    double pass_ = 0; ///< work taken so far, divided by weight
    std::int64_t weight_ = 1;
  };
  using Lines = std::map<std::string, Line, std::less<>>;

  Line& LineOf(const QueuedRequest& aRequest);
  Lines::iterator EraseIfEmpty(Lines::iterator aLine);

  Lines lines_; ///< only tenants with waiting requests
  double virtualTime_ = 0;
  std::int64_t size_ = 0;
};

} // namespace coltsfootshed

#endif
