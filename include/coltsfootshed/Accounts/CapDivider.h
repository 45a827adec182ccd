/// \file
/// Divides the caps of accounts among services, each of which has a leader of
/// its own that starts work within its share. Does no input or output.
///
/// Answers loads that move from one service to another within a second: an
/// account that asks for its whole cap in one service gets what the others do
/// not use. The shares of an account never add up to more than its cap, also
/// not for a leader or a divider that takes over halfway: a share is lowered in
/// the table only after the service's leader has confirmed a lower limit, on
/// condition that this leader still leads, and raised only in the same write.
///
/// Also answers work that does not fit into an equal part, such as one task of
/// a third of the cap in each of four services. Services whose next unit of
/// work does not fit into their share take turns: the one whose turn it is gets
/// the share for that unit, and the others start only what fits beside it.
#ifndef COLTSFOOTSHED_ACCOUNTS_CAPDIVIDER_H
#define COLTSFOOTSHED_ACCOUNTS_CAPDIVIDER_H

#include "coltsfootshed/Accounts/Account.h"
#include "coltsfootshed/Accounts/CapShares.h"
#include "coltsfootshed/Support/Clock.h"

#include <set>
#include <span>

namespace coltsfootshed {

/// A new table of shares, to be written if the store's table has the revision
/// replaces_ and each of leaders_ still leads.
struct CapTableWrite
{
  std::string table_;
  Revision replaces_ = 0; ///< 0: there is no table yet
  std::vector<std::pair<std::string, Fence>> leaders_; ///< service and fence
};

class CapDivider
{
public:
  explicit CapDivider(const Clock& aClock);

  void SetAccounts(std::span<const AccountConfig> aAccounts);
  void SetServices(std::set<std::string> aServices);
  /// Returns true if some account has a cap.
  bool IsOn() const { return !accounts_.empty(); }

  /// Returns true if the table has to be read from the store: at first, and
  /// after a write whose outcome is not known.
  bool NeedsTable() const { return needsTable_; }
  /// Takes the table that was read; revision 0 stands for none.
  void LoadTable(CapTable aTable, Revision aRevision);
  void SetReport(const std::string& aService, const CapReport& aReport);
  /// Returns what to send to the leader of a service.
  CapOrder OrderFor(const std::string& aService);

  /// Returns the table to write now, if there is one. It must not be called
  /// again before OnWritten().
  std::optional<CapTableWrite> Decide();
  /// Takes the outcome of the write: the new revision of the table, or nothing
  /// if it may not have been carried out.
  void OnWritten(std::optional<Revision> aRevision);
  /// Returns the services whose leader has to be told something new.
  std::set<std::string> Untold() const;

private:
  struct Report
  {
    CapReport content_;
    Millis receivedAt_{ 0 };
  };
  /// What a service has of one account's cap, and what it should have.
  struct Part
  {
    std::string service_;
    CapShare share_ = 0;              ///< in the table
    const AccountUse* use_ = nullptr; ///< null: no fresh report
    CapShare goal_ = 0;
    CapShare next_ = 0; ///< in the next table

    /// Returns what cannot be taken back, as it does not end by itself.
    CapShare Fixed() const { return use_ == nullptr ? share_ : use_->lasting_; }
    /// Returns the share for its next unit; 0 if it has none.
    CapShare Needed() const { return use_ == nullptr ? 0 : use_->needed_; }
  };
  /// The turn of a service to start a unit for which its share was too small.
  struct Turn
  {
    std::string service_;
    CapShare needed_ = 0;    ///< see AccountUse
    Millis reportedAt_{ 0 }; ///< last report of the service
    /// AccountUse::starts_ when the service was first seen to have the share.
    std::optional<std::uint64_t> startsAtGrant_;
    /// When the unit could first have started.
    std::optional<Millis> readySince_;
  };
  /// The turns within one account's cap.
  struct Turns
  {
    std::optional<Turn> current_;
    /// When the last turn of a service ended, by service.
    std::map<std::string, Millis, std::less<>> endedAt_;
  };

  void DivideAccount(const std::string& aAccount, CapTable& aNext);
  void SettleAccount(const std::string& aAccount, CapTable& aNext) const;
  std::vector<Part> PartsOf(const std::string& aAccount) const;
  /// Sets the goals of an account's parts. aTurn is the part whose turn it is,
  /// or null.
  void SetGoals(const Turns& aTurns,
                const Part* aTurn,
                std::vector<Part>& aParts) const;
  /// Returns the part whose turn it is, or null if no service needs one.
  Part* TurnOf(const std::string& aAccount, std::vector<Part>& aParts);
  bool HasTurnEnded(std::span<const Part> aParts,
                    const Part& aPart,
                    Turn& aTurn) const;
  /// Returns the share that is left for a part if the others keep only what
  /// cannot be taken from them.
  static CapShare AttainableFor(std::span<const Part> aParts,
                                const Part& aPart);
  void SetAttainable(const std::string& aAccount, std::span<const Part> aParts);
  bool AreUsesKnown() const;
  const Report* FreshReport(const std::string& aService) const;
  void SetCeiling(const std::string& aService,
                  const std::string& aAccount,
                  std::optional<CapShare> aCeiling);

  const Clock& clock_;
  std::set<std::string, std::less<>> accounts_; ///< those with a cap
  Caps caps_;
  std::string capsDigest_;
  bool areUsesKnown_ = false; ///< every leader reports under capsDigest_
  std::set<std::string> services_;
  bool needsTable_ = true;
  /// A write whose outcome is not known may still be carried out. Until another
  /// write succeeds, no ceiling is raised.
  bool mayChangeLate_ = false;
  CapTable table_;
  Revision revision_ = 0;
  std::map<std::string, Report, std::less<>> reports_;
  std::map<std::string, CapShares, std::less<>> ceilings_; ///< by service
  std::uint64_t orders_ = 0;
  std::optional<CapTable> written_; ///< while a write is in flight
  Millis nextWriteAt_{ 0 };
  /// Since when some service lacks a part of an account's cap, by account.
  std::map<std::string, Millis> shortSince_;
  std::map<std::string, Turns, std::less<>> turns_; ///< by account
  /// What services can get of a cap, where that is not the whole, by service.
  std::map<std::string, CapShares, std::less<>> attainable_;
  std::set<std::string> untold_;
  std::set<std::string> lowered_; ///< services lowered by the next write
};

} // namespace coltsfootshed

#endif
