/// \file
/// Client of the platform's key-value service and VM list.
#ifndef COLTSFOOTSHED_PLATFORM_CLIENT_H
#define COLTSFOOTSHED_PLATFORM_CLIENT_H

#include "coltsfootshed/Config/SubmitFlow.h"
#include "coltsfootshed/Http/Caller.h"
#include "coltsfootshed/Membership/VmTable.h"
#include "coltsfootshed/Platform/RateBudget.h"
#include "coltsfootshed/Support/Error.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace coltsfootshed {

/// A value with the revision under which it is held.
struct StoredValue
{
  std::uint64_t revision_ = 0; ///< 0: the key does not exist
  std::string value_;
};

/// Every call ends within its time limit, and counts against the node's rate
/// budget; beyond it, calls fail at once without reaching the platform.
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

  void Get(std::string_view aKey, OnValue aOnValue);
  /// Ends when the key's revision differs from aRevision, or after aWait.
  void Watch(std::string_view aKey,
             std::uint64_t aRevision,
             Millis aWait,
             OnValue aOnValue);
  /// Replaces a value if its revision is still aRevision; 0 creates it.
  void Put(std::string_view aKey,
           std::string aValue,
           std::uint64_t aRevision,
           OnWrite aOnWrite);
  /// VMs of one data centre that changed after aSince.
  void ListVms(std::string_view aDataCentre,
               std::uint64_t aSince,
               OnVms aOnVms);

  /// Takes or extends a lease; the callback tells whether it is held.
  void HoldLease(std::string_view aName,
                 std::string_view aHolder,
                 Millis aTime,
                 OnHeld aOnHeld);
  /// Asks for a reboot. Asking again for the same operation has no effect.
  /// Whether it came about shows in the VM list.
  void Reboot(std::string_view aVm,
              std::string_view aOperation,
              std::function<void()> aOnEnd);

  /// Calls made so far.
  std::uint64_t Calls() const { return calls_; }

private:
  void Call(const HttpRequest& aRequest,
            Millis aLimit,
            HttpCaller::OnEnd aOnEnd);
  void ReadValue(std::string_view aStep,
                 const std::string& aTarget,
                 Millis aLimit,
                 OnValue aOnValue);

  Endpoint platform_;
  RateBudget budget_;
  HttpCaller caller_;
  std::uint64_t calls_ = 0;
};

/// VM records to and from JSON, as in the platform's list.
std::string VmsToJson(std::uint64_t aRevision,
                      std::span<const VmRecord> aRecords);
Result<VmListPage> VmsFromJson(std::string_view aJson);

} // namespace coltsfootshed

#endif
