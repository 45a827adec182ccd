/// \file
/// Client of the platform's key-value service and VM list.
#ifndef COLTSFOOTSHED_PLATFORM_PLATFORMCLIENT_H
#define COLTSFOOTSHED_PLATFORM_PLATFORMCLIENT_H

#include "coltsfootshed/Config/SubmitFlow.h"
#include "coltsfootshed/Http/Client.h"
#include "coltsfootshed/Membership/VmTable.h"
#include "coltsfootshed/Platform/RateLimiter.h"
#include "coltsfootshed/Support/Error.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace coltsfootshed {

/// A value of the key-value service with its revision.
struct StoredValue
{
  std::uint64_t revision_ = 0; ///< 0: the key does not exist
  std::string value_;
};

/// Every call ends within its timeout and counts against the node's rate limit.
/// A call beyond the rate limit fails at once: it does not reach the platform,
/// and its callback runs from within the call.
class PlatformClient
{
public:
  using OnValue = std::function<void(Result<StoredValue>)>;
  using OnWrite = std::function<void(WriteResult)>;
  using OnHeld = std::function<void(bool)>;
  using OnVms = std::function<void(Result<VmListPage>)>;

  PlatformClient(event_base* aBase,
                 const Clock& aClock,
                 const Endpoint& aPlatform);

  /// Reads a value.
  void Get(std::string_view aKey, OnValue aOnValue);
  /// Reads a value as soon as its revision differs from aRevision, or after
  /// aWait.
  void Watch(std::string_view aKey,
             std::uint64_t aRevision,
             Millis aWait,
             OnValue aOnValue);
  /// Writes a value if its revision is still aRevision; 0: if the key does not
  /// exist.
  void Put(std::string_view aKey,
           std::string aValue,
           std::uint64_t aRevision,
           OnWrite aOnWrite);
  /// Lists the VMs of one data centre that changed after the revision aSince.
  void ListVms(std::string_view aDataCentre,
               std::uint64_t aSince,
               OnVms aOnVms);

  /// Acquires or renews a lease for aDuration; the callback receives true if
  /// the platform has confirmed that aHolder holds it.
  void HoldLease(std::string_view aName,
                 std::string_view aHolder,
                 Millis aDuration,
                 OnHeld aOnHeld);
  /// Requests a reboot. Another request with the same ID has no effect. The VM
  /// list shows whether the reboot took place; aOnEnd runs whatever the outcome
  /// of the call.
  void Reboot(std::string_view aVm,
              std::string_view aRebootId,
              std::function<void()> aOnEnd);

  /// Number of calls sent so far.
  std::uint64_t Calls() const { return calls_; }

private:
  void Call(const HttpRequest& aRequest,
            Millis aTimeout,
            HttpClient::OnEnd aOnEnd);
  void ReadValue(std::string_view aOperation,
                 const std::string& aTarget,
                 Millis aTimeout,
                 OnValue aOnValue);

  Endpoint platform_;
  RateLimiter rateLimiter_;
  HttpClient httpClient_;
  std::uint64_t calls_ = 0;
};

/// Converts VM records to and from the JSON of the platform's VM list.
std::string VmsToJson(std::uint64_t aRevision,
                      std::span<const VmRecord> aRecords);
Result<VmListPage> VmsFromJson(std::string_view aJson);

} // namespace coltsfootshed

#endif
