#include "coltsfootshed/Accounts/CapUsage.h"

#include "coltsfootshed/Observe/DecisionLog.h"

#include <algorithm>

namespace coltsfootshed {

/// How long starts of an account that is not known wait for its configuration.
static constexpr Millis kUnknownAccountPause{ 1000 };

/// Amounts of resources that a cap can limit.
static constexpr std::int64_t Resources::*kAmounts[] = { &Resources::cpu_,
                                                         &Resources::memory_,
                                                         &Resources::gpu_ };

/// Returns the part of a cap that an amount is. What is not limited is no part
/// of it. Rounded down, so that amounts which fill the cap together fit; a
/// share is exceeded by less than a billionth of the cap.
static CapShare ShareOf(const Resources& aAmount, const Resources& aCap)
{
  CapShare share = 0;
  for (auto amount : kAmounts) {
    if (aCap.*amount > 0) {
      share =
        std::max(share, ScaleShare(kWholeCap, aAmount.*amount, aCap.*amount));
    }
  }
  return share;
}

CapUsage::CapUsage(const Clock& aClock)
  : clock_(aClock)
{
}

/// Returns the lower of two limits, of which 0 is none.
static std::int64_t LowerLimit(std::int64_t aLeft, std::int64_t aRight)
{
  if (aLeft == 0 || aRight == 0) {
    return std::max(aLeft, aRight);
  }
  return std::min(aLeft, aRight);
}

/// Returns the cap that limits to what both caps allow.
static Resources LowerCap(const Resources& aLeft, const Resources& aRight)
{
  Resources lower;
  for (auto amount : kAmounts) {
    lower.*amount = LowerLimit(aLeft.*amount, aRight.*amount);
  }
  return lower;
}

void CapUsage::SetAccounts(std::span<const AccountConfig> aAccounts)
{
  // At first, the caps may be lower than those that a predecessor applied.
  bool isFirst = digest_.empty();
  isOn_ = false;
  for (const AccountConfig& account : aAccounts) {
    configured_[account.name_] = account.cap_;
    auto [applied, isNew] = applied_.try_emplace(account.name_, account.cap_);
    Resources lower = LowerCap(applied->second, account.cap_);
    if (isNew ? isFirst : lower != applied->second) {
      held_.insert(account.name_);
    }
    applied->second = lower;
    unknownSince_.erase(account.name_);
    isOn_ |= account.HasCap();
  }
  digest_ = DigestOfCaps(aAccounts);
}

void CapUsage::SplitEvenly(std::size_t aServices)
{
  evenShare_ =
    kWholeCap / static_cast<CapShare>(std::max<std::size_t>(1, aServices));
}

void CapUsage::LoadShares(Revision aTable,
                          const CapShares& aShares,
                          const Caps& aSettledCaps)
{
  SetShares(aTable, aShares);
  for (const auto& [account, settled] : aSettledCaps) {
    auto applied = applied_.find(account);
    if (applied == applied_.end()) {
      continue;
    }
    applied->second = LowerCap(applied->second, settled);
    if (applied->second == settled) {
      held_.erase(account);
    }
  }
}

/// Ignores a table that is older than the known one.
void CapUsage::SetShares(Revision aTable, const CapShares& aShares)
{
  if (aTable > table_) {
    table_ = aTable;
    shares_ = aShares;
  }
}

/// Applies the configured caps if all leaders have reported under them, and
/// what runs is within them.
void CapUsage::Settle(const CapOrder& aOrder)
{
  if (aOrder.settledCaps_ != digest_) {
    return;
  }
  for (const auto& [account, cap] : configured_) {
    bool isSettled =
      std::find(aOrder.unsettled_.begin(), aOrder.unsettled_.end(), account) ==
      aOrder.unsettled_.end();
    if (isSettled) {
      applied_[account] = cap;
      held_.erase(account);
    }
  }
}

bool CapUsage::IsHeld(std::string_view aAccount) const
{
  return !evenShare_ && held_.count(aAccount) > 0;
}

void CapUsage::Apply(Fence aFence, const CapOrder& aOrder)
{
  bool isOld = aFence < orderFence_ ||
               (aFence == orderFence_ && aOrder.number_ <= orderNumber_) ||
               aOrder.table_ < table_;
  if (isOld) {
    return;
  }
  orderFence_ = aFence;
  orderNumber_ = aOrder.number_;
  if (aOrder.shares_) {
    SetShares(aOrder.table_, *aOrder.shares_);
  }
  ceilings_ = aOrder.ceilings_;
  attainable_ = aOrder.attainable_;
  Settle(aOrder);
}

void CapUsage::AddRun(const std::string& aAccount,
                      const Resources& aTakes,
                      bool aLasts)
{
  if (aAccount.empty()) {
    return;
  }
  running_[aAccount] += aTakes;
  if (aLasts) {
    lasting_[aAccount] += aTakes;
  }
}

/// Subtracts an amount; an account with nothing left is erased.
static void Subtract(std::map<std::string, Resources, std::less<>>& aAmounts,
                     const std::string& aAccount,
                     const Resources& aTakes)
{
  auto found = aAmounts.find(aAccount);
  if (found == aAmounts.end()) {
    return;
  }
  found->second -= aTakes;
  if (found->second == Resources()) {
    aAmounts.erase(found);
  }
}

void CapUsage::RemoveRun(const std::string& aAccount,
                         const Resources& aTakes,
                         bool aLasts)
{
  Subtract(running_, aAccount, aTakes);
  if (aLasts) {
    Subtract(lasting_, aAccount, aTakes);
  }
}

void CapUsage::SetUnconfirmed(
  std::map<std::string, Resources, std::less<>> aByAccount)
{
  unconfirmed_ = std::move(aByAccount);
}

/// Returns the share beyond which nothing starts.
CapShare CapUsage::LimitOf(std::string_view aAccount) const
{
  auto share = shares_.find(aAccount);
  CapShare limit =
    share == shares_.end() ? evenShare_.value_or(0) : share->second;
  auto ceiling = ceilings_.find(aAccount);
  return ceiling == ceilings_.end() ? limit : std::min(limit, ceiling->second);
}

Resources CapUsage::InUse(std::string_view aAccount) const
{
  Resources inUse;
  for (const auto* part : { &running_, &unconfirmed_ }) {
    if (auto found = part->find(aAccount); found != part->end()) {
      inUse += found->second;
    }
  }
  return inUse;
}

/// Returns the share in use. What an earlier leader started is within the share
/// of the table, which is lowered only to what its leader has reported.
CapShare CapUsage::ShareInUse(std::string_view aAccount,
                              const Resources& aCap) const
{
  auto running = running_.find(aAccount);
  CapShare known =
    running == running_.end() ? 0 : ShareOf(running->second, aCap);
  auto share = shares_.find(aAccount);
  CapShare most =
    share == shares_.end() ? evenShare_.value_or(0) : share->second;
  return std::max(known, std::min(ShareOf(InUse(aAccount), aCap), most));
}

bool CapUsage::MayStart(const std::string& aAccount, const Resources& aTakes)
{
  if (aAccount.empty()) {
    return true;
  }
  auto cap = applied_.find(aAccount);
  if (cap == applied_.end()) {
    Millis now = clock_.Now();
    Millis since = unknownSince_.try_emplace(aAccount, now).first->second;
    return now - since >= kUnknownAccountPause;
  }
  Resources after = InUse(aAccount);
  after += aTakes;
  CapShare limit = LimitOf(aAccount);
  CapShare needed = ShareOf(after, cap->second);
  bool fits =
    cap->second == Resources() || (needed <= limit && !IsHeld(aAccount) &&
                                   !WaitsForNext(aAccount, cap->second));
  if (fits) {
    if (limited_.erase(aAccount) > 0) {
      LogDecision("cap-left",
                  { { "account", aAccount },
                    { "limit", std::to_string(limit) },
                    { "table", std::to_string(table_) } });
    }
    return true;
  }
  if (limited_.insert(aAccount).second) {
    Count("cap_reached");
    LogDecision("cap-reached",
                { { "account", aAccount },
                  { "limit", std::to_string(limit) },
                  { "needed", std::to_string(needed) },
                  { "table", std::to_string(table_) } });
  }
  return false;
}

/// Returns true if another unit is the account's next, and the share for it is
/// there: what else started now would keep it from ever being free.
bool CapUsage::WaitsForNext(std::string_view aAccount,
                            const Resources& aCap) const
{
  auto next = next_.find(aAccount);
  return next != next_.end() &&
         NeededFor(aAccount, aCap, next->second) <= LimitOf(aAccount);
}

CapShare CapUsage::NeededFor(std::string_view aAccount,
                             const Resources& aCap,
                             const Resources& aTakes) const
{
  Resources needed = aTakes;
  if (auto lasting = lasting_.find(aAccount); lasting != lasting_.end()) {
    needed += lasting->second;
  }
  return ShareOf(needed, aCap);
}

void CapUsage::CountStart(const std::string& aAccount)
{
  if (!aAccount.empty()) {
    ++starts_[aAccount];
  }
}

bool CapUsage::CouldBeNext(const std::string& aAccount,
                           const Resources& aTakes) const
{
  auto cap = applied_.find(aAccount);
  if (cap == applied_.end() || next_.count(aAccount) > 0) {
    return false;
  }
  auto attainable = attainable_.find(aAccount);
  CapShare most =
    attainable == attainable_.end() ? kWholeCap : attainable->second;
  return NeededFor(aAccount, cap->second, aTakes) <= most;
}

void CapUsage::SetNext(const std::string& aAccount, const Resources& aTakes)
{
  next_.try_emplace(aAccount, aTakes);
}

CapReport CapUsage::Report(
  const std::map<std::string, Resources, std::less<>>& aWaiting) const
{
  CapReport report;
  report.table_ = table_;
  report.caps_ = digest_;
  for (const auto& [account, cap] : applied_) {
    if (cap == Resources()) {
      continue;
    }
    AccountUse use;
    use.account_ = account;
    use.limit_ = LimitOf(account);
    use.used_ = ShareInUse(account, cap);
    Resources asked = InUse(account);
    if (auto waiting = aWaiting.find(account); waiting != aWaiting.end()) {
      asked += waiting->second;
    }
    use.asked_ = std::max(use.used_, ShareOf(asked, cap));
    use.lasting_ = NeededFor(account, cap, Resources());
    if (auto next = next_.find(account); next != next_.end()) {
      use.needed_ = NeededFor(account, cap, next->second);
    }
    if (auto starts = starts_.find(account); starts != starts_.end()) {
      use.starts_ = starts->second;
    }
    report.accounts_.push_back(std::move(use));
  }
  return report;
}

} // namespace coltsfootshed
