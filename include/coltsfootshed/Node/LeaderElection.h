/// \file
/// Membership of entry VMs and leader election, by keys under leases in the
/// store. A duty is what one entry VM leads at a time: a service, or the
/// management of all pools.
#ifndef COLTSFOOTSHED_NODE_LEADERELECTION_H
#define COLTSFOOTSHED_NODE_LEADERELECTION_H

#include "coltsfootshed/Node/LeaderRanking.h"
#include "coltsfootshed/Settings/Settings.h"
#include "coltsfootshed/Store/PrefixFollower.h"

#include <map>
#include <optional>
#include <set>

namespace coltsfootshed {

/// The leader of a duty.
struct Leadership
{
  std::string node_;      ///< name of the entry VM
  Revision revision_ = 0; ///< of the leader's key; the fence of its orders
  LeaseId lease_ = 0;     ///< the lease of the key
};

class LeaderElection final : private PrefixListener
{
public:
  struct Options
  {
    std::string node_;        ///< name of this entry VM
    Endpoint peers_;          ///< where this VM serves other entry VMs
    double share_ = 1;        ///< of one CPU core; larger VMs lead more duties
    double linkMbps_ = 0;     ///< bandwidth of its link; 0: not known
    Millis minLease_{ 1000 }; ///< shortest lease that the store grants
    Millis longestWatch_{ 1000 }; ///< wait of a watch for events
    /// Shortest time between two planned changes of a duty's leader.
    Millis minLeadTime_{ 5000 };
  };
  /// Lease of the membership. A dead leader is replaced only after it has
  /// ended.
  static constexpr Millis kLease{ 2000 };

  /// Called when this VM begins to lead a duty, with the revision of the
  /// leader's key, and with revision 0 when it ceases to.
  using OnLeadership = std::function<void(const std::string&, Revision)>;

  /// Returns whether this VM is too short of processor time for a duty that it
  /// leads.
  using IsOverloaded = std::function<bool(const std::string&)>;

  LeaderElection(event_base* aBase,
                 const Clock& aClock,
                 KeyValueStore& aStore,
                 Options aOptions,
                 OnLeadership aOnLeadership,
                 IsOverloaded aIsOverloaded);

  /// Sets the duties that need a leader. This VM goes on leading a duty that is
  /// no longer among them.
  void SetDuties(std::set<std::string> aDuties);
  /// Returns the leader of a duty, or null.
  const Leadership* LeaderOf(std::string_view aDuty) const;
  /// Returns where an entry VM serves others, if it is a member.
  std::optional<Endpoint> PeerEndpointOf(std::string_view aNode) const;
  /// Returns all known entry VMs, also this one, and where each serves others.
  std::vector<std::pair<std::string, Endpoint>> Members() const;
  /// Returns false if the entry of some VM cannot be read, so that Members()
  /// lacks it although it may lead.
  bool KnowsAllMembers() const { return unreadableMembers_.empty(); }
  /// Returns false before the first lease and once the store has said that
  /// this VM's lease has ended.
  bool HasLease() const { return lease_ != 0; }
  /// Gives up the membership and with it all duties. aOnEnd runs when the
  /// store has answered or the call has failed, or at once if there is no
  /// lease.
  void Leave(std::function<void()> aOnEnd);
  /// Returns the same as HasLease().
  bool IsMember() const { return lease_ != 0; }
  /// Returns the time since the last successful lease call was sent.
  Millis TimeSinceRenewal() const { return clock_.Now() - lastRenewedAt_; }
  /// Returns for how long this VM has been registered; 0: it is not.
  Millis TimeAsMember() const;
  /// Returns how old Members() was when the last renewal was sent.
  Millis ListAgeAtRenewal() const
  {
    return follower_.Age() - TimeSinceRenewal();
  }
  /// Returns true if the lease, and with it every leadership, cannot have
  /// ended.
  bool IsConfirmed() const;
  /// Stops leading a duty that another VM leads with a higher fence.
  void Abandon(const std::string& aDuty);

private:
  struct Member
  {
    Endpoint peers_;
    double share_ = 1;
    double linkMbps_ = 0;
    LeaseId lease_ = 0;
    Millis since_{ 0 };
  };

  void OnSnapshot(std::vector<StoreItem> aItems) override;
  void OnEvent(const StoreEvent& aEvent) override;
  void Apply(const StoreItem& aItem);
  void ApplyMember(const std::string& aNode, const StoreItem& aItem);
  void Remove(std::string_view aKey);
  void OnLeaseLost();
  void EndLeaseOfEarlierProcess(LeaseId aLease);
  /// Begins or ends this VM's leadership of a duty as its entry in leaders_
  /// demands.
  void UpdateDuty(const std::string& aDuty);
  /// Obtains the lease, registers this VM under it, or renews it.
  void KeepAlive();
  void Register();
  /// Tries to gain one vacant duty for which it is this VM's turn.
  void Campaign();
  /// Returns the members, the best to lead a duty first.
  std::vector<std::string> Ranking(const std::string& aDuty) const;
  /// Returns a member as candidate to lead a duty.
  LeaderCandidate CandidateFor(const std::string& aDuty,
                               const std::string& aNode) const;
  /// Begins to hand over a led duty if another VM can carry it far better.
  void ConsiderHandOvers();
  void BeginHandOver(const std::string& aDuty);
  /// Gives the leader's key of an abandoned duty to another VM.
  void PassOn(const std::string& aDuty);
  void TryToLead(const std::string& aDuty);

  const Clock& clock_;
  KeyValueStore& store_;
  Options options_;
  OnLeadership onLeadership_;
  IsOverloaded isOverloaded_;
  Backoff backoff_;
  Timer keepTimer_;
  Timer campaignTimer_;
  LeaseId lease_ = 0;
  /// Leases of this process that are not known to have ended.
  std::set<LeaseId> ownLeases_;
  bool registered_ = false;
  Millis registeredAt_{ 0 };  ///< first registration
  Millis lastRenewedAt_{ 0 }; ///< sending of the last successful call
  bool leaving_ = false;
  std::set<std::string> duties_;
  std::map<std::string, Member, std::less<>> members_;
  std::set<std::string, std::less<>> unreadableMembers_;
  std::map<std::string, Leadership, std::less<>> leaders_;
  /// Fence of each duty, as reported to onLeadership_; 0 if this VM does not
  /// lead it.
  std::map<std::string, Revision> ledDuties_;
  /// Fences, by duty, that were found to be too low.
  std::map<std::string, Revision> abandoned_;
  std::map<std::string, Millis> vacantSince_;
  std::map<std::string, Millis> ledSince_; ///< by duty that this VM leads
  /// Duties that this VM hands over, with the fence under which it led.
  std::map<std::string, Revision> handOvers_;
  std::set<std::string> pendingHandOvers_; ///< whose transaction is in flight
  /// The current or, for a vacant duty, the previous leader.
  std::map<std::string, std::string> lastLeader_;
  std::set<std::string> pendingCampaigns_;
  PrefixFollower follower_;
};

} // namespace coltsfootshed

#endif
