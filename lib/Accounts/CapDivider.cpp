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

/// How long a service keeps its turn without starting the unit, from when it
/// could: it may not find room for it after all.
static constexpr Millis kMaxUnusedTurn{ 1000 };
/// How long it keeps its turn without a report.
static constexpr Millis kMaxSilentTurn{ 1000 };
/// Most by which a sum of shares that were rounded down is less than the share
/// of the sum.
static constexpr CapShare kRounding = 2;

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
  std::erase_if(turns_, [&](const auto& aEntry) {
    return accounts_.count(aEntry.first) == 0;
  });
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
  if (auto found = attainable_.find(aService); found != attainable_.end()) {
    order.attainable_ = found->second;
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

CapShare CapDivider::AttainableFor(std::span<const Part> aParts,
                                   const Part& aPart)
{
  CapShare attainable = kWholeCap;
  for (const Part& other : aParts) {
    attainable -= &other == &aPart ? 0 : other.Fixed();
  }
  return std::max<CapShare>(0, attainable);
}

void CapDivider::SetAttainable(const std::string& aAccount,
                               std::span<const Part> aParts)
{
  for (const Part& part : aParts) {
    CapShares& attainable = attainable_[part.service_];
    CapShare most = AttainableFor(aParts, part);
    bool asks = part.use_ != nullptr && part.use_->asked_ > part.share_;
    if (asks && most < kWholeCap) {
      attainable[aAccount] = most;
    } else {
      attainable.erase(aAccount);
    }
  }
}

/// Returns true if the service has started a unit since it got the share for
/// the one that was next, or has not done so although it could, or can no
/// longer get the share.
bool CapDivider::HasTurnEnded(std::span<const Part> aParts,
                              const Part& aPart,
                              Turn& aTurn) const
{
  const AccountUse& use = *aPart.use_;
  if (use.needed_ > 0) {
    aTurn.needed_ = use.needed_;
  }
  if (use.limit_ < aTurn.needed_) {
    return use.needed_ == 0 || aTurn.needed_ > AttainableFor(aParts, aPart);
  }
  if (!aTurn.startsAtGrant_ || use.starts_ < *aTurn.startsAtGrant_) {
    aTurn.startsAtGrant_ = use.starts_;
  }
  CapShare unit = use.needed_ - use.lasting_;
  bool couldStart =
    use.needed_ == 0 || use.used_ + unit <= use.limit_ + kRounding;
  if (couldStart && !aTurn.readySince_) {
    aTurn.readySince_ = clock_.Now();
  }
  return use.asked_ <= use.used_ || use.starts_ > *aTurn.startsAtGrant_ ||
         (aTurn.readySince_ &&
          clock_.Now() - *aTurn.readySince_ >= kMaxUnusedTurn);
}

CapDivider::Part* CapDivider::TurnOf(const std::string& aAccount,
                                     std::vector<Part>& aParts)
{
  Turns& turns = turns_[aAccount];
  if (turns.current_) {
    Turn& turn = *turns.current_;
    auto part =
      std::find_if(aParts.begin(), aParts.end(), [&](const Part& aPart) {
        return aPart.service_ == turn.service_;
      });
    // After each write there are no reports under the new table for a while. A
    // service that has lost its leader keeps its place.
    bool reports = part != aParts.end() && part->use_ != nullptr;
    if (reports) {
      turn.reportedAt_ = clock_.Now();
    }
    bool mayReport =
      part != aParts.end() && clock_.Now() - turn.reportedAt_ <= kMaxSilentTurn;
    if (reports ? !HasTurnEnded(aParts, *part, turn) : mayReport) {
      return &*part;
    }
    bool hadShare = turn.startsAtGrant_.has_value();
    if (hadShare) {
      turns.endedAt_[turn.service_] = clock_.Now();
    }
    LogDecision("cap-turn-ended",
                { { "account", aAccount },
                  { "service", turn.service_ },
                  { "had_share", hadShare ? "1" : "0" } });
    turns.current_.reset();
  }
  Part* next = nullptr;
  Millis nextEndedAt{ 0 };
  for (Part& part : aParts) {
    if (part.Needed() <= part.share_ ||
        part.Needed() > AttainableFor(aParts, part)) {
      continue;
    }
    auto ended = turns.endedAt_.find(part.service_);
    Millis endedAt =
      ended == turns.endedAt_.end() ? Millis::min() : ended->second;
    if (next == nullptr || endedAt < nextEndedAt) {
      next = &part;
      nextEndedAt = endedAt;
    }
  }
  if (next == nullptr) {
    return nullptr;
  }
  turns.current_ = Turn{ next->service_, next->Needed(), clock_.Now() };
  LogDecision("cap-turn",
              { { "account", aAccount },
                { "service", next->service_ },
                { "share", std::to_string(next->share_) },
                { "needed", std::to_string(next->Needed()) },
                { "used", std::to_string(next->use_->used_) } });
  return next;
}

/// Sets what each service should have. Nothing is taken from runs that do not
/// end by themselves, nor from a service whose leader does not report. Of the
/// rest, in this order: the service whose turn it is gets the share for its
/// next unit; services keep what they use; those that lack the share for their
/// next unit get it, as far as it is there whole; then all that is asked for,
/// or as much as brings those that lack something to the same level; and an
/// equal part of what is left.
void CapDivider::SetGoals(const Turns& aTurns,
                          const Part* aTurn,
                          std::vector<Part>& aParts) const
{
  CapShare room = kWholeCap;
  std::vector<Part*> open;
  for (Part& part : aParts) {
    part.goal_ = part.Fixed();
    room -= part.goal_;
    if (part.use_ != nullptr) {
      open.push_back(&part);
    }
  }
  room = std::max<CapShare>(0, room);
  auto raise = [&](Part& aPart, CapShare aBy) {
    CapShare given = std::clamp<CapShare>(aBy, 0, room);
    aPart.goal_ += given;
    room -= given;
  };
  CapShare running = 0;
  for (Part* part : open) {
    if (part == aTurn) {
      raise(*part, aTurns.current_->needed_ - part->goal_);
    }
    running += std::max<CapShare>(0, part->use_->used_ - part->goal_);
  }
  CapShare roomForRunning = std::min(room, running);
  for (Part* part : open) {
    CapShare runs = std::max<CapShare>(0, part->use_->used_ - part->goal_);
    raise(*part, runs == 0 ? 0 : ScaleShare(roomForRunning, runs, running));
  }
  // Services whose last turn is the longest ago come first.
  auto lastTurn = [&](const Part* aPart) {
    auto ended = aTurns.endedAt_.find(aPart->service_);
    return ended == aTurns.endedAt_.end() ? Millis::min() : ended->second;
  };
  std::stable_sort(
    open.begin(), open.end(), [&](const Part* aLeft, const Part* aRight) {
      return lastTurn(aLeft) < lastTurn(aRight);
    });
  for (Part* part : open) {
    CapShare missing = part->Needed() - part->goal_;
    if (missing <= room) {
      raise(*part, missing);
    }
  }
  // First what is asked for, from the smallest need on, then the rest.
  std::stable_sort(
    open.begin(), open.end(), [](const Part* aLeft, const Part* aRight) {
      return aLeft->use_->asked_ - aLeft->goal_ <
             aRight->use_->asked_ - aRight->goal_;
    });
  auto left = static_cast<CapShare>(open.size());
  for (Part* part : open) {
    raise(*part, std::min(part->use_->asked_ - part->goal_, room / left));
    --left;
  }
  CapShare rest = open.empty() ? 0 : room / static_cast<CapShare>(open.size());
  for (Part* part : open) {
    raise(*part, rest);
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
  const Part* turn = nullptr;
  if (isShort) {
    turn = TurnOf(aAccount, parts);
    SetGoals(turns_[aAccount], turn, parts);
  }
  SetAttainable(aAccount, parts);
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
  // What is there goes to the service whose turn it is before the others.
  CapShare turnRaise =
    turn == nullptr ? 0 : std::max<CapShare>(0, turn->goal_ - turn->share_);
  CapShare freeForTurn = std::min(free, turnRaise);
  for (Part& part : parts) {
    CapShare raise = std::max<CapShare>(0, part.goal_ - part.share_);
    if (&part == turn) {
      part.next_ += freeForTurn;
    } else if (raise > 0) {
      part.next_ += std::min(
        raise, ScaleShare(free - freeForTurn, raise, wanted - turnRaise));
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
