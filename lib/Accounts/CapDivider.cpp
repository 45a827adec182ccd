#include "coltsfootshed/Accounts/CapDivider.h"

#include "coltsfootshed/Observe/DecisionLog.h"

#include <algorithm>

namespace coltsfootshed {

/// A report that is older than this shows neither what a service needs nor that
/// its leader keeps a lower limit. Leaders report every 100 ms.
static constexpr Millis kMaxReportAge{ 500 };
/// Time between writes of the table; the store counts each.
static constexpr Millis kWriteInterval{ 200 };
/// Smaller changes of services that have a share wait, as each write has a
/// cost.
static constexpr CapShare kMinRaise = kWholeCap / 200;
/// How long they wait: a task may lack just as much.
static constexpr Millis kMaxRaiseDelay{ 1000 };

static bool IsBefore(const AccountUse& aLeft, const AccountUse& aRight)
{
  return aLeft.account_ < aRight.account_;
}

CapDivider::CapDivider(const Clock& aClock)
  : clock_(aClock)
{
}

void CapDivider::SetAccounts(std::span<const AccountConfig> aAccounts)
{
  accounts_.clear();
  caps_.clear();
  for (const AccountConfig& account : aAccounts) {
    if (account.HasCap()) {
      accounts_.insert(account.name_);
      caps_[account.name_] = account.cap_;
    }
  }
  std::string digest = DigestOfCaps(aAccounts);
  areUsesKnown_ &= digest == capsDigest_;
  capsDigest_ = std::move(digest);
}

void CapDivider::SetServices(std::set<std::string> aServices)
{
  services_ = std::move(aServices);
}

void CapDivider::LoadTable(CapTable aTable, Revision aRevision)
{
  needsTable_ = false;
  table_ = std::move(aTable);
  revision_ = aRevision;
  untold_ = services_;
}

void CapDivider::SetReport(const std::string& aService,
                           const CapReport& aReport)
{
  Report& report = reports_[aService];
  report = { aReport, clock_.Now() };
  std::sort(report.content_.accounts_.begin(),
            report.content_.accounts_.end(),
            IsBefore);
}

/// Returns the report of a leader that follows the current table, or null.
const CapDivider::Report* CapDivider::FreshReport(
  const std::string& aService) const
{
  auto found = reports_.find(aService);
  bool isFresh = found != reports_.end() &&
                 clock_.Now() - found->second.receivedAt_ <= kMaxReportAge &&
                 found->second.content_.table_ == revision_;
  return isFresh ? &found->second : nullptr;
}

CapOrder CapDivider::OrderFor(const std::string& aService)
{
  CapOrder order;
  order.number_ = ++orders_;
  order.table_ = revision_;
  order.settledCaps_ = areUsesKnown_ ? capsDigest_ : std::string();
  for (const auto& [account, cap] : caps_) {
    auto settled = table_.settledCaps_.find(account);
    if (settled == table_.settledCaps_.end() || settled->second != cap) {
      order.unsettled_.push_back(account);
    }
  }
  auto report = reports_.find(aService);
  bool hasTable =
    report != reports_.end() && report->second.content_.table_ == revision_;
  if (!hasTable) {
    order.shares_ = table_.SharesOf(aService);
  }
  if (auto found = ceilings_.find(aService); found != ceilings_.end()) {
    order.ceilings_ = found->second;
  }
  untold_.erase(aService);
  return order;
}

std::set<std::string> CapDivider::Untold() const
{
  return untold_;
}

void CapDivider::SetCeiling(const std::string& aService,
                            const std::string& aAccount,
                            std::optional<CapShare> aCeiling)
{
  CapShares& ceilings = ceilings_[aService];
  auto found = ceilings.find(aAccount);
  if (!aCeiling) {
    // Until it is certain that no earlier write is carried out, a limit that it
    // relies on stays.
    if (found != ceilings.end() && !mayChangeLate_) {
      ceilings.erase(found);
      untold_.insert(aService);
    }
    return;
  }
  CapShare ceiling = *aCeiling;
  if (found != ceilings.end() && mayChangeLate_) {
    ceiling = std::min(ceiling, found->second);
  }
  if (found == ceilings.end() || found->second != ceiling) {
    ceilings[aAccount] = ceiling;
    untold_.insert(aService);
  }
}

std::vector<CapDivider::Part> CapDivider::PartsOf(
  const std::string& aAccount) const
{
  std::set<std::string> services = services_;
  auto shares = table_.shares_.find(aAccount);
  bool isInTable = shares != table_.shares_.end();
  if (isInTable) {
    for (const auto& [service, share] : shares->second) {
      services.insert(service);
    }
  }
  std::vector<Part> parts;
  for (const std::string& service : services) {
    Part part{ service };
    if (isInTable) {
      auto share = shares->second.find(service);
      part.share_ = share == shares->second.end() ? 0 : share->second;
    }
    if (const Report* report = FreshReport(service)) {
      const std::vector<AccountUse>& uses = report->content_.accounts_;
      auto use = std::lower_bound(
        uses.begin(), uses.end(), AccountUse{ aAccount }, IsBefore);
      bool isKnown = use != uses.end() && use->account_ == aAccount;
      part.use_ = isKnown ? &*use : nullptr;
    }
    part.goal_ = part.share_;
    parts.push_back(std::move(part));
  }
  return parts;
}

/// Sets what each service should have: all that it asks for if the cap allows,
/// and an equal part of the rest; otherwise as much as brings those that lack
/// something to the same level. Nothing is taken from what runs, nor from a
/// service whose leader does not report.
void CapDivider::SetGoals(std::vector<Part>& aParts)
{
  CapShare room = kWholeCap;
  std::vector<Part*> open;
  for (Part& part : aParts) {
    if (part.use_ == nullptr) {
      room -= part.share_;
    } else {
      part.goal_ = part.use_->used_;
      room -= part.goal_;
      open.push_back(&part);
    }
  }
  if (open.empty() || room <= 0) {
    return;
  }
  // First what is asked for, from the smallest need on, then the rest.
  std::sort(
    open.begin(), open.end(), [](const Part* aLeft, const Part* aRight) {
      return aLeft->use_->asked_ - aLeft->goal_ <
             aRight->use_->asked_ - aRight->goal_;
    });
  auto left = static_cast<CapShare>(open.size());
  for (Part* part : open) {
    CapShare needed = std::max<CapShare>(0, part->use_->asked_ - part->goal_);
    CapShare given = std::min(needed, room / left);
    part->goal_ += given;
    room -= given;
    --left;
  }
  for (Part* part : open) {
    part->goal_ += room / static_cast<CapShare>(open.size());
  }
}

/// Returns true if every leader reports under the caps that are in force.
bool CapDivider::AreUsesKnown() const
{
  return std::all_of(
    services_.begin(), services_.end(), [&](const std::string& aService) {
      const Report* report = FreshReport(aService);
      return report != nullptr && report->content_.caps_ == capsDigest_;
    });
}

/// Divides one account's cap anew if a service needs more than it has.
void CapDivider::DivideAccount(const std::string& aAccount, CapTable& aNext)
{
  std::vector<Part> parts = PartsOf(aAccount);
  if (table_.shares_.count(aAccount) == 0) {
    for (const Part& part : parts) {
      aNext.shares_[aAccount][part.service_] =
        kWholeCap / static_cast<CapShare>(parts.size());
    }
    return;
  }
  bool isShort = std::any_of(parts.begin(), parts.end(), [](const Part& aPart) {
    return aPart.use_ != nullptr && aPart.use_->asked_ > aPart.share_;
  });
  if (isShort) {
    SetGoals(parts);
  }
  CapShare free = kWholeCap;
  CapShare wanted = 0;
  for (Part& part : parts) {
    part.next_ = part.share_;
    bool isLess = part.use_ != nullptr && part.goal_ < part.share_;
    if (isLess) {
      part.next_ =
        std::min(part.share_,
                 std::max({ part.use_->limit_, part.use_->used_, part.goal_ }));
    }
    std::optional<CapShare> ceiling;
    if (isLess) {
      ceiling = part.goal_;
    }
    SetCeiling(part.service_, aAccount, ceiling);
    free -= part.next_;
    wanted += std::max<CapShare>(0, part.goal_ - part.share_);
  }
  Millis now = clock_.Now();
  if (!isShort) {
    shortSince_.erase(aAccount);
  }
  bool hasWaited = isShort && wanted > 0 &&
                   now - shortSince_.try_emplace(aAccount, now).first->second >=
                     kMaxRaiseDelay;
  bool isWorthwhile =
    wanted >= kMinRaise || hasWaited ||
    std::any_of(parts.begin(), parts.end(), [](const Part& aPart) {
      return (aPart.share_ == 0 && aPart.goal_ > 0) ||
             (aPart.use_ != nullptr && aPart.use_->used_ > aPart.share_);
    });
  if (!isWorthwhile || free <= 0) {
    return;
  }
  for (Part& part : parts) {
    if (part.goal_ > part.share_) {
      CapShare raise = part.goal_ - part.share_;
      part.next_ += std::min(raise, ScaleShare(free, raise, wanted));
    }
    if (part.next_ < part.share_) {
      lowered_.insert(part.service_);
    }
    aNext.shares_[aAccount][part.service_] = part.next_;
  }
}

/// Notes in the next table that leaders may apply the account's cap, if what
/// runs is within it, whatever else starts within the shares. The reports are
/// of the same time as the shares they refer to, as only those of the current
/// table count.
void CapDivider::SettleAccount(const std::string& aAccount,
                               CapTable& aNext) const
{
  if (!areUsesKnown_) {
    return;
  }
  CapShare most = 0;
  for (const Part& part : PartsOf(aAccount)) {
    const CapShares& next = aNext.shares_[aAccount];
    auto share = next.find(part.service_);
    CapShare used = part.use_ == nullptr ? 0 : part.use_->used_;
    most += std::max(used, share == next.end() ? 0 : share->second);
  }
  if (most <= kWholeCap) {
    aNext.settledCaps_[aAccount] = caps_.at(aAccount);
  }
}

std::optional<CapTableWrite> CapDivider::Decide()
{
  if (needsTable_ || written_ || accounts_.empty()) {
    return std::nullopt;
  }
  bool mayWrite = clock_.Now() >= nextWriteAt_;
  lowered_.clear();
  CapTable next = table_;
  areUsesKnown_ = AreUsesKnown();
  for (const std::string& account : accounts_) {
    DivideAccount(account, next);
    SettleAccount(account, next);
  }
  if (!mayWrite || (next == table_ && !mayChangeLate_)) {
    return std::nullopt;
  }
  CapTableWrite write;
  write.table_ = EncodeCapTable(next);
  write.replaces_ = revision_;
  for (const std::string& service : lowered_) {
    write.leaders_.emplace_back(service, reports_.at(service).content_.leader_);
  }
  written_ = std::move(next);
  nextWriteAt_ = clock_.Now() + kWriteInterval;
  Count("cap_tables_written");
  LogDecision("caps-divided",
              { { "replaces", std::to_string(revision_) },
                { "lowered", std::to_string(lowered_.size()) } });
  return write;
}

void CapDivider::OnWritten(std::optional<Revision> aRevision)
{
  if (!aRevision) {
    mayChangeLate_ = true;
    needsTable_ = true;
    written_.reset();
    return;
  }
  mayChangeLate_ = false;
  table_ = std::move(*written_);
  written_.reset();
  revision_ = *aRevision;
  untold_ = services_;
}

} // namespace coltsfootshed
