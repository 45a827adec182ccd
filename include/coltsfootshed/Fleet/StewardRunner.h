/// \file
/// Runs a data centre's steward in one entry VM while it holds the lease.
#ifndef COLTSFOOTSHED_FLEET_STEWARDRUNNER_H
#define COLTSFOOTSHED_FLEET_STEWARDRUNNER_H

#include "coltsfootshed/Fleet/Steward.h"
#include "coltsfootshed/Membership/PeerTable.h"
#include "coltsfootshed/Platform/Client.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace coltsfootshed {

/// The lease only saves work: what is safe rests on compare-and-swap.
class StewardRunner final : private VmObserver
{
public:
  /// The data centre's records, as read from the platform.
  using OnRecords = std::function<void(std::uint64_t, const std::string&)>;

  StewardRunner(event_base* aBase,
                const Clock& aClock,
                PlatformClient& aPlatform,
                NodeAddress aSelf,
                const PeerTable& aPeers,
                const VmTable& aVms,
                OnRecords aOnRecords);
  ~StewardRunner() override;

  void SetDocument(std::shared_ptr<const Document> aDocument);
  void SetOwnQuiet(std::vector<QuietVm> aQuiet);
  bool HoldsLease() const;

private:
  bool IsFailed(std::string_view aVm) const override;
  bool IsQuiet(std::string_view aVm, std::uint64_t aFence) const override;
  bool IsRebooted(std::string_view aVm,
                  std::string_view aOperation) const override;
  bool IsAnswering(std::string_view aVm) const override;

  bool KnowsItsDataCentre() const;
  void RenewLease();
  void Step();
  void CarryOut(const StewardAction& aAction);
  void OnRead(const std::string& aKey, const Result<StoredValue>& aValue);
  void Rest();
  void ProbeReturning();
  LocalVms ListLocalVms() const;

  const Clock& clock_;
  PlatformClient& platform_;
  NodeAddress self_;
  const PeerTable& peers_;
  const VmTable& vms_;
  OnRecords onRecords_;
  Millis startedAt_;
  std::mt19937_64 random_;
  Steward steward_;
  std::shared_ptr<const Document> document_;
  std::vector<QuietVm> ownQuiet_;
  std::map<std::string, Millis, std::less<>> answeredAt_; ///< by VM
  HttpCaller prober_;
  Millis heldUntil_{ 0 };
  bool isActing_ = false; ///< an action awaits its end
  Timer leaseTimer_;
  Timer stepTimer_;
};

} // namespace coltsfootshed

#endif
