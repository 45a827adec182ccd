/// \file
/// What accounts have running in one service, against that service's shares of
/// their caps. Does no input or output.
///
/// Answers a load in which an account asks for more than its cap, in several
/// services at once, each of which has a leader of its own.
#ifndef COLTSFOOTSHED_ACCOUNTS_CAPUSAGE_H
#define COLTSFOOTSHED_ACCOUNTS_CAPUSAGE_H

#include "coltsfootshed/Accounts/Account.h"
#include "coltsfootshed/Accounts/CapShares.h"
#include "coltsfootshed/Support/Clock.h"

#include <map>
#include <optional>
#include <set>
#include <span>

namespace coltsfootshed {

class CapUsage
{
public:
  explicit CapUsage(const Clock& aClock);

  /// Sets the caps of the configuration. An account that is no longer among
  /// them keeps its last cap, as its jobs may still run. One whose cap is
  /// lowered starts nothing until an order says that what runs in all services
  /// is within the new cap; a higher cap applies from such an order on.
  void SetAccounts(std::span<const AccountConfig> aAccounts);
  /// Gives each account an equal part of its cap in each of aServices services,
  /// where nobody divides the caps.
  void SplitEvenly(std::size_t aServices);
  /// Sets the service's shares of the table that the store holds, which its
  /// predecessor may have read as well.
  void LoadShares(Revision aTable,
                  const CapShares& aShares,
                  const Caps& aSettledCaps);
  /// Applies an order of the process that divides the caps. Orders that are
  /// older than one applied before change nothing, as they may arrive late.
  void Apply(Fence aFence, const CapOrder& aOrder);

  /// aLasts: the run does not end by itself.
  void AddRun(const std::string& aAccount,
              const Resources& aTakes,
              bool aLasts);
  void RemoveRun(const std::string& aAccount,
                 const Resources& aTakes,
                 bool aLasts);
  /// Sets what accounts may have running beside the added runs: started by an
  /// earlier leader on targets that have not answered yet.
  void SetUnconfirmed(std::map<std::string, Resources, std::less<>> aByAccount);

  /// Returns true if a unit of work that takes aTakes fits into the account's
  /// share, and no other one comes first. Counts and logs the moment when an
  /// account reaches its share. An account that is not known is new, and then
  /// known within a second, or was removed.
  bool MayStart(const std::string& aAccount, const Resources& aTakes);
  /// Counts a unit that was started.
  void CountStart(const std::string& aAccount);
  /// Begins a decision, in which the units are offered in the order in which
  /// they should start: forgets which ones come next.
  void ForgetNext() { next_.clear(); }
  /// Returns true if a unit that does not fit into the account's share now
  /// would be the account's next: none is yet, and this one fits into what the
  /// service can get.
  bool CouldBeNext(const std::string& aAccount, const Resources& aTakes) const;
  /// Notes that this unit is the account's next, so that the service asks for
  /// the share that it needs. If the service has that share already, nothing
  /// else of the account starts before this unit, which then waits only for
  /// runs to end.
  void SetNext(const std::string& aAccount, const Resources& aTakes);
  /// Returns true if some account has a cap.
  bool IsOn() const { return isOn_; }

  /// Returns use and limit of each account that has a cap. aWaiting is what
  /// could start now.
  CapReport Report(
    const std::map<std::string, Resources, std::less<>>& aWaiting) const;

private:
  void SetShares(Revision aTable, const CapShares& aShares);
  void Settle(const CapOrder& aOrder);
  bool IsHeld(std::string_view aAccount) const;
  CapShare LimitOf(std::string_view aAccount) const;
  bool WaitsForNext(std::string_view aAccount, const Resources& aCap) const;
  /// Returns the limit under which a unit starts once only lasting runs are
  /// left.
  CapShare NeededFor(std::string_view aAccount,
                     const Resources& aCap,
                     const Resources& aTakes) const;
  Resources InUse(std::string_view aAccount) const;
  CapShare ShareInUse(std::string_view aAccount, const Resources& aCap) const;

  const Clock& clock_;
  bool isOn_ = false;
  Caps configured_;    ///< of known accounts
  std::string digest_; ///< of configured_
  Caps applied_;       ///< at most configured_
  /// Accounts that start nothing, as their uses may exceed applied_.
  std::set<std::string, std::less<>> held_;
  /// When a start of an account that is not known was first asked for.
  std::map<std::string, Millis, std::less<>> unknownSince_;
  std::optional<CapShare> evenShare_;
  Revision table_ = 0;
  CapShares shares_;
  Fence orderFence_ = 0;
  std::uint64_t orderNumber_ = 0; ///< of the last order under orderFence_
  CapShares ceilings_;
  CapShares attainable_;
  std::map<std::string, Resources, std::less<>> running_;
  std::map<std::string, Resources, std::less<>> lasting_; ///< of running_
  /// Units that come next, with what they take, by account.
  std::map<std::string, Resources, std::less<>> next_;
  std::map<std::string, std::uint64_t, std::less<>> starts_;
  std::map<std::string, Resources, std::less<>> unconfirmed_;
  std::set<std::string, std::less<>> limited_; ///< accounts at their share
};

} // namespace coltsfootshed

#endif
