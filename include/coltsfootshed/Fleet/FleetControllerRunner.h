/// \file
/// Runs a data centre's fleet controller in one entry VM while that VM holds
/// the lease.
#ifndef COLTSFOOTSHED_FLEET_FLEETCONTROLLERRUNNER_H
#define COLTSFOOTSHED_FLEET_FLEETCONTROLLERRUNNER_H

#include "coltsfootshed/Fleet/FleetController.h"
#include "coltsfootshed/Membership/PeerTable.h"
#include "coltsfootshed/Platform/PlatformClient.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace coltsfootshed {

/// Performs the controller's actions. The lease only avoids duplicate work;
/// safety rests on compare-and-swap.
class FleetControllerRunner final : private VmObserver
{
public:
  /// Receives the revision and JSON of the data centre's fleet records, each
  /// time they are read from the platform.
  using OnRecords = std::function<void(std::uint64_t, const std::string&)>;

  FleetControllerRunner(event_base* aBase,
                        const Clock& aClock,
                        PlatformClient& aPlatform,
                        NodeAddress aSelf,
                        const PeerTable& aPeers,
                        const VmTable& aVms,
                        OnRecords aOnRecords);
  ~FleetControllerRunner() override;

  void SetDocument(std::shared_ptr<const Document> aDocument);
  /// Sets the out-of-service VMs on which this process has no request in
  /// flight.
  void SetOwnQuietVms(std::vector<QuietVm> aQuiet);
  /// Returns true if enough of the lease is left to begin an action.
  bool HoldsLease() const;

private:
  bool IsFailed(std::string_view aVm) const override;
  bool IsQuiet(std::string_view aVm, std::uint64_t aFence) const override;
  bool IsRebooted(std::string_view aVm,
                  std::string_view aRebootId) const override;
  bool IsAnswering(std::string_view aVm) const override;

  bool HasLearnedMembership() const;
  void RenewLease();
  void Step();
  void RunAction(const FleetAction& aAction);
  void OnRead(const std::string& aKey, const Result<StoredValue>& aValue);
  void Pause();
  void ProbeReturningVms();
  LocalVms ListLocalVms() const;

  const Clock& clock_;
  PlatformClient& platform_;
  NodeAddress self_;
  const PeerTable& peers_;
  const VmTable& vms_;
  OnRecords onRecords_;
  Millis startedAt_;
  std::mt19937_64 random_;
  FleetController controller_;
  std::shared_ptr<const Document> document_;
  std::vector<QuietVm> ownQuietVms_;
  /// Time of the last answered probe, by VM.
  std::map<std::string, Millis, std::less<>> probeAnsweredAt_;
  HttpClient prober_;
  Millis leaseExpiresAt_{ 0 };
  bool actionPending_ = false; ///< an action has not ended yet
  Timer leaseTimer_;
  Timer stepTimer_;
};

} // namespace coltsfootshed

#endif
