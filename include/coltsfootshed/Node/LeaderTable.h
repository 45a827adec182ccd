/// \file
/// Which entry VMs live and which of them leads what, through keys under a
/// lease in the store; campaigns for duties without a leader.
#ifndef COLTSFOOTSHED_NODE_LEADERTABLE_H
#define COLTSFOOTSHED_NODE_LEADERTABLE_H

#include "coltsfootshed/Settings/Settings.h"
#include "coltsfootshed/Store/PrefixFollower.h"

#include <map>
#include <optional>
#include <set>

namespace coltsfootshed {

/// Where a duty is led.
struct Leadership
{
  std::string node_;
  Revision revision_ = 0; ///< of the leader's key: the fence of its orders
  LeaseId lease_ = 0;     ///< under which the key lies
};

class LeaderTable final : private PrefixListener
{
public:
  struct Options
  {
    std::string node_;
    Endpoint peers_;   ///< where this VM serves others
    double share_ = 1; ///< of a core; larger VMs lead more
    Millis leastLease_{ 1000 };
  };
  /// Called when this VM begins (revision) or ceases (0) to lead a duty.
  using OnDuty = std::function<void(const std::string&, Revision)>;

  LeaderTable(event_base* aBase,
              const Clock& aClock,
              KeyValueStore& aStore,
              Options aOptions,
              OnDuty aOnDuty);

  /// The duties that need a leader.
  void SetDuties(std::set<std::string> aDuties);
  /// Where a duty is led, or null.
  const Leadership* LeaderOf(std::string_view aDuty) const;
  std::optional<Endpoint> PeersOf(std::string_view aNode) const;
  /// All entry VMs that are known, and where each serves others.
  std::vector<std::pair<std::string, Endpoint>> Members() const;
  /// False once the store has said that this VM's lease is gone.
  bool HasLease() const { return lease_ != 0; }
  /// Gives up all duties and the membership; aOnEnd runs when the store has
  /// answered or cannot.
  void Leave(std::function<void()> aOnEnd);
  bool IsMember() const { return lease_ != 0; }
  /// Age of the last answer of the store to this VM's own calls.
  Millis StoreAge() const { return clock_.Now() - lastKept_; }
  /// True if the lease, and with it every leadership, cannot have ended.
  bool IsConfirmed() const;
  /// Drops a duty that another holds with a higher fence.
  void Abandon(const std::string& aDuty);

private:
  struct Member
  {
    Endpoint peers_;
    double share_ = 1;
  };

  void OnSnapshot(std::vector<StoreItem> aItems) override;
  void OnEvent(const StoreEvent& aEvent) override;
  void Apply(const StoreItem& aItem);
  void Remove(std::string_view aKey);
  void LoseLease();
  void EndEarlierLife(LeaseId aLease);
  void UpdateDuty(const std::string& aDuty);
  void KeepAlive();
  void Register();
  void Campaign();
  std::string Preferred(const std::string& aDuty, std::size_t aRank) const;
  void TryToLead(const std::string& aDuty);

  const Clock& clock_;
  KeyValueStore& store_;
  Options options_;
  OnDuty onDuty_;
  Backoff backoff_;
  Timer keepTimer_;
  Timer campaignTimer_;
  LeaseId lease_ = 0;
  std::set<LeaseId> ownLeases_; ///< of this process, not known to have ended
  bool registered_ = false;
  Millis registeredAt_{ 0 }; ///< for the first time
  Millis lastKept_{ 0 };
  bool leaving_ = false;
  std::set<std::string> duties_;
  std::map<std::string, Member, std::less<>> members_;
  std::map<std::string, Leadership, std::less<>> leaders_;
  std::map<std::string, Revision> led_;       ///< by this VM
  std::map<std::string, Revision> abandoned_; ///< fences found too low
  std::map<std::string, Millis> vacantSince_;
  std::map<std::string, std::string> lastLeader_; ///< of vacant duties too
  std::set<std::string> campaigning_;
  PrefixFollower follower_;
};

} // namespace coltsfootshed

#endif
