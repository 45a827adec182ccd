/// \file
/// Simulates the division of caps: leaders of services that start and end runs,
/// pool managers that divide the caps, a store, and a network that loses,
/// delays and reorders messages. An oracle adds up what really runs.
#ifndef COLTSFOOTSHED_UNITTESTS_ACCOUNTS_CAPWORLD_H
#define COLTSFOOTSHED_UNITTESTS_ACCOUNTS_CAPWORLD_H

#include "Support/ManualClock.h"
#include "coltsfootshed/Accounts/CapDivider.h"
#include "coltsfootshed/Accounts/CapUsage.h"

#include <memory>

namespace coltsfootshed {

/// A fault of the simulation that breaks a guarantee; the oracle must report
/// each.
enum class CapMutant
{
  None,
  LimitsNotKept,        ///< leaders report limits below those that they keep
  LeadersMayChange,     ///< the store ignores conditions on leaders' keys
  ManagersNotFenced,    ///< the store ignores conditions on the manager's key
  LateWritesUnchecked,  ///< late writes ignore the table's revision
  OrdersReordered,      ///< leaders apply late orders as if they were new
  UnconfirmedForgotten, ///< a new leader takes silent targets for empty
  RunsForgotten,        ///< leaders count runs that go on as ended
  LoweringIgnored       ///< the uses under lowered caps count as known at once
};

class CapWorld
{
public:
  explicit CapWorld(CapMutant aMutant = CapMutant::None);

  // Events; the number selects among the possible ones.
  void Ask(unsigned aPick);
  void Start(unsigned aPick);
  void End(unsigned aPick);
  void SendOrder(unsigned aPick);
  void DeliverOrder(unsigned aPick);
  void DeliverLateOrder(unsigned aPick);
  void DeliverReport(unsigned aPick);
  void LoseMessages(unsigned aPick);
  void Divide(unsigned aPick);
  void AnswerWrite(unsigned aPick);
  void LoseWrite(unsigned aPick);
  void LoseWriteAnswer(unsigned aPick);
  void CarryOutLateWrite(unsigned aPick);
  void ReadTable(unsigned aPick);
  void ChangeLeader(unsigned aPick);
  void TargetsAnswer(unsigned aPick);
  void ChangeManager(unsigned aPick);
  void ChangeCap(unsigned aPick);
  void Configure(unsigned aPick);
  void PassTime(unsigned aPick);

  /// Lets messages pass without failures for aTime, while one account asks for
  /// its whole cap in one service and has nothing to do elsewhere. Returns the
  /// part of its cap that it may use there.
  CapShare ShareAfter(Millis aTime);
  /// Ends all trouble, gives an account a cap, and returns whether each service
  /// can start a task that needs the amount listed for it after aTime.
  bool CanAllStart(std::int64_t aCap,
                   const std::vector<std::int64_t>& aNeeds,
                   Millis aTime);
  /// The first violation, or an empty text.
  const std::string& Violation() const { return violation_; }

private:
  static constexpr std::size_t kServices = 3;

  struct Run
  {
    std::size_t account_ = 0;
    Resources takes_;
    bool known_ = true;  ///< to the service's current leader
    bool lasts_ = false; ///< does not end by itself
  };
  struct Service
  {
    std::string name_;
    Fence leader_ = 0; ///< fence
    std::unique_ptr<CapUsage> usage_;
    std::size_t config_ = 0; ///< index of the configuration that it applies
    std::vector<Run> runs_;
    std::map<std::string, Resources, std::less<>> waiting_;
    bool targetsAnswered_ = true;
  };
  struct Manager
  {
    Fence fence_ = 0;
    CapDivider divider_;
    std::size_t config_ = 0;
    std::optional<CapTableWrite> write_ = std::nullopt; ///< in flight
    std::optional<std::size_t> asked_ = std::nullopt;   ///< service
  };
  struct Order
  {
    std::size_t service_ = 0;
    Fence manager_ = 0;
    CapOrder content_;
  };
  struct Write
  {
    Fence manager_ = 0;
    CapTableWrite content_;
  };

  void AddManager();
  /// Drops all messages and runs, and replaces all leaders and the manager.
  void EndTrouble();
  /// Lets messages pass without failures.
  void RunCalmly(Millis aTime);
  void AddLeader(Service& aService);
  void Apply(const Order& aOrder);
  /// Carries out a write if its conditions hold, and returns whether they do.
  bool CarryOut(const Write& aWrite, bool aIsLate);
  void NoteUnconfirmed(Service& aService);
  CapReport ReportOf(const Service& aService) const;
  void CheckStart(std::size_t aAccount);
  Manager* PickManager(unsigned aPick);

  CapMutant mutant_;
  ManualClock clock_;
  std::vector<std::vector<AccountConfig>> configs_;
  std::vector<Service> services_;
  std::vector<std::unique_ptr<Manager>> managers_; ///< the last holds the key
  std::vector<Order> orders_;
  std::vector<Order> lateOrders_;
  std::vector<std::pair<Order, CapReport>> reports_;
  std::vector<Write> lateWrites_;
  std::string table_;
  Revision tableRevision_ = 0;
  Revision revision_ = 100;
  std::string violation_;
};

} // namespace coltsfootshed

#endif
