#include "Accounts/CapWorld.h"

#include <algorithm>

namespace coltsfootshed {

static constexpr std::int64_t kCap = 100000;
static const char* const kAccounts[] = { "a", "b" };

CapWorld::CapWorld(CapMutant aMutant)
  : mutant_(aMutant)
{
  std::vector<AccountConfig> accounts;
  for (const char* name : kAccounts) {
    AccountConfig account;
    account.name_ = name;
    account.cap_ = { kCap, 0, 0 };
    accounts.push_back(account);
  }
  configs_.push_back(std::move(accounts));
  for (std::size_t i = 0; i < kServices; ++i) {
    services_.push_back({ "s" + std::to_string(i) });
    AddLeader(services_.back());
  }
  AddManager();
}

void CapWorld::AddManager()
{
  managers_.push_back(
    std::make_unique<Manager>(Manager{ ++revision_, CapDivider(clock_) }));
  CapDivider& divider = managers_.back()->divider_;
  managers_.back()->config_ = configs_.size() - 1;
  divider.SetAccounts(configs_.back());
  std::set<std::string> names;
  for (const Service& service : services_) {
    names.insert(service.name_);
  }
  divider.SetServices(names);
  constexpr std::size_t kMaxManagers = 2;
  if (managers_.size() > kMaxManagers) {
    managers_.erase(managers_.begin());
  }
}

void CapWorld::NoteUnconfirmed(Service& aService)
{
  std::map<std::string, Resources, std::less<>> unconfirmed;
  for (const Run& run : aService.runs_) {
    if (!run.known_) {
      unconfirmed[kAccounts[run.account_]] += run.takes_;
    }
  }
  if (mutant_ == CapMutant::UnconfirmedForgotten) {
    unconfirmed.clear();
  }
  aService.usage_->SetUnconfirmed(std::move(unconfirmed));
}

void CapWorld::AddLeader(Service& aService)
{
  aService.leader_ = ++revision_;
  aService.usage_ = std::make_unique<CapUsage>(clock_);
  aService.config_ = configs_.size() - 1;
  aService.usage_->SetAccounts(configs_.back());
  if (!table_.empty()) {
    CapTable table = *DecodeCapTable(table_);
    aService.usage_->LoadShares(
      tableRevision_, table.SharesOf(aService.name_), table.settledCaps_);
  }
  for (Run& run : aService.runs_) {
    run.known_ = run.takes_.cpu_ % 2 == 0;
    if (run.known_) {
      aService.usage_->AddRun(kAccounts[run.account_], run.takes_, run.lasts_);
    }
  }
  aService.targetsAnswered_ = false;
  NoteUnconfirmed(aService);
}

CapWorld::Manager* CapWorld::PickManager(unsigned aPick)
{
  return managers_[aPick % 4 == 0 ? 0 : managers_.size() - 1].get();
}

void CapWorld::Ask(unsigned aPick)
{
  Service& service = services_[aPick % kServices];
  service.waiting_[kAccounts[aPick % 2]] = { kCap * (aPick % 5) / 4, 0, 0 };
}

/// Checks that a start did not bring an account over the highest cap that may
/// be in force somewhere.
void CapWorld::CheckStart(std::size_t aAccount)
{
  std::size_t oldest = configs_.size() - 1;
  std::int64_t running = 0;
  for (const Service& service : services_) {
    oldest = std::min(oldest, service.config_);
    for (const Run& run : service.runs_) {
      running += run.account_ == aAccount ? run.takes_.cpu_ : 0;
    }
  }
  std::int64_t cap = 0;
  for (std::size_t i = oldest; i < configs_.size(); ++i) {
    cap = std::max(cap, configs_[i][aAccount].cap_.cpu_);
  }
  if (running > cap && violation_.empty()) {
    violation_ = std::string("account ") + kAccounts[aAccount] + " runs " +
                 std::to_string(running) + " of " + std::to_string(cap);
  }
}

void CapWorld::Start(unsigned aPick)
{
  Service& service = services_[aPick % kServices];
  std::size_t account = aPick / 8 % 2;
  Resources takes{ 1000 + 997 * static_cast<std::int64_t>(aPick % 31), 0, 0 };
  bool lasts = aPick % 7 == 0;
  if (aPick % 3 == 0) {
    service.usage_->ForgetNext();
  }
  if (service.usage_->MayStart(kAccounts[account], takes)) {
    service.usage_->AddRun(kAccounts[account], takes, lasts);
    service.usage_->CountStart(kAccounts[account]);
    service.runs_.push_back({ account, takes, true, lasts });
    CheckStart(account);
  } else if (service.usage_->CouldBeNext(kAccounts[account], takes)) {
    service.usage_->SetNext(kAccounts[account], takes);
  }
}

void CapWorld::End(unsigned aPick)
{
  Service& service = services_[aPick % kServices];
  if (service.runs_.empty()) {
    return;
  }
  auto run = service.runs_.begin() +
             static_cast<std::ptrdiff_t>(aPick / 4 % service.runs_.size());
  if (run->known_) {
    service.usage_->RemoveRun(
      kAccounts[run->account_], run->takes_, run->lasts_);
  }
  if (mutant_ == CapMutant::RunsForgotten && aPick % 16 == 0) {
    run->known_ = false;
    return;
  }
  service.runs_.erase(run);
}

/// A manager has at most one request to a leader in flight; a second one is
/// sent if the first is given up.
void CapWorld::SendOrder(unsigned aPick)
{
  Manager& manager = *PickManager(aPick);
  std::size_t service = aPick / 4 % kServices;
  if (manager.divider_.NeedsTable()) {
    return;
  }
  orders_.push_back({ service,
                      manager.fence_,
                      manager.divider_.OrderFor(services_[service].name_) });
}

CapReport CapWorld::ReportOf(const Service& aService) const
{
  CapReport report = aService.usage_->Report(aService.waiting_);
  report.leader_ = aService.leader_;
  if (mutant_ == CapMutant::LimitsNotKept) {
    for (AccountUse& use : report.accounts_) {
      use.limit_ = use.used_;
    }
  }
  return report;
}

void CapWorld::Apply(const Order& aOrder)
{
  Service& service = services_[aOrder.service_];
  CapOrder order = aOrder.content_;
  if (mutant_ == CapMutant::OrdersReordered) {
    order.number_ = ++revision_;
    order.table_ = tableRevision_;
  }
  if (mutant_ == CapMutant::LoweringIgnored) {
    order.settledCaps_ = DigestOfCaps(configs_[service.config_]);
    order.unsettled_.clear();
  }
  service.usage_->Apply(aOrder.manager_, order);
  reports_.emplace_back(aOrder, ReportOf(service));
}

void CapWorld::DeliverOrder(unsigned)
{
  if (!orders_.empty()) {
    Order order = std::move(orders_.front());
    orders_.erase(orders_.begin());
    Apply(order);
  }
}

void CapWorld::DeliverLateOrder(unsigned aPick)
{
  if (lateOrders_.empty()) {
    return;
  }
  auto at = lateOrders_.begin() +
            static_cast<std::ptrdiff_t>(aPick % lateOrders_.size());
  Apply(*at);
  reports_.pop_back(); // nobody waits for the answer any more
  lateOrders_.erase(at);
}

void CapWorld::DeliverReport(unsigned)
{
  if (reports_.empty()) {
    return;
  }
  auto [order, report] = std::move(reports_.front());
  reports_.erase(reports_.begin());
  for (auto& manager : managers_) {
    if (manager->fence_ == order.manager_) {
      manager->divider_.SetReport(services_[order.service_].name_, report);
    }
  }
}

/// Calls that are given up; their orders may still be carried out.
void CapWorld::LoseMessages(unsigned aPick)
{
  if (aPick % 2 == 0) {
    lateOrders_.insert(lateOrders_.end(), orders_.begin(), orders_.end());
  }
  orders_.clear();
  reports_.clear();
}

void CapWorld::Divide(unsigned aPick)
{
  Manager& manager = *PickManager(aPick);
  if (!manager.write_) {
    manager.write_ = manager.divider_.Decide();
  }
}

bool CapWorld::CarryOut(const Write& aWrite, bool aIsLate)
{
  bool mayWrite = aWrite.manager_ == managers_.back()->fence_ ||
                  mutant_ == CapMutant::ManagersNotFenced;
  mayWrite &= aWrite.content_.replaces_ == tableRevision_ ||
              (aIsLate && mutant_ == CapMutant::LateWritesUnchecked);
  for (const auto& [name, fence] : aWrite.content_.leaders_) {
    for (const Service& service : services_) {
      mayWrite &= service.name_ != name || service.leader_ == fence ||
                  mutant_ == CapMutant::LeadersMayChange;
    }
  }
  if (mayWrite) {
    table_ = aWrite.content_.table_;
    tableRevision_ = ++revision_;
  }
  return mayWrite;
}

void CapWorld::AnswerWrite(unsigned aPick)
{
  Manager& manager = *PickManager(aPick);
  if (manager.write_) {
    bool done = CarryOut({ manager.fence_, *manager.write_ }, false);
    manager.write_.reset();
    manager.divider_.OnWritten(done ? std::optional(tableRevision_)
                                    : std::nullopt);
  }
}

/// The write is not carried out, at least not now.
void CapWorld::LoseWrite(unsigned aPick)
{
  Manager& manager = *PickManager(aPick);
  if (manager.write_) {
    lateWrites_.push_back({ manager.fence_, *manager.write_ });
    manager.write_.reset();
    manager.divider_.OnWritten(std::nullopt);
  }
}

void CapWorld::LoseWriteAnswer(unsigned aPick)
{
  Manager& manager = *PickManager(aPick);
  if (manager.write_) {
    CarryOut({ manager.fence_, *manager.write_ }, false);
    manager.write_.reset();
    manager.divider_.OnWritten(std::nullopt);
  }
}

void CapWorld::CarryOutLateWrite(unsigned aPick)
{
  if (lateWrites_.empty()) {
    return;
  }
  auto at = lateWrites_.begin() +
            static_cast<std::ptrdiff_t>(aPick % lateWrites_.size());
  CarryOut(*at, true);
  lateWrites_.erase(at);
}

void CapWorld::ReadTable(unsigned aPick)
{
  Manager& manager = *PickManager(aPick);
  if (manager.divider_.NeedsTable()) {
    manager.divider_.LoadTable(
      table_.empty() ? CapTable() : *DecodeCapTable(table_), tableRevision_);
  }
}

void CapWorld::ChangeLeader(unsigned aPick)
{
  AddLeader(services_[aPick % kServices]);
}

/// The leader learns what runs on the targets that had not answered.
void CapWorld::TargetsAnswer(unsigned aPick)
{
  Service& service = services_[aPick % kServices];
  for (Run& run : service.runs_) {
    if (!run.known_ && mutant_ != CapMutant::RunsForgotten) {
      service.usage_->AddRun(kAccounts[run.account_], run.takes_, run.lasts_);
      run.known_ = true;
    }
  }
  service.targetsAnswered_ = true;
  service.usage_->SetUnconfirmed({});
}

void CapWorld::ChangeManager(unsigned)
{
  AddManager();
}

void CapWorld::ChangeCap(unsigned aPick)
{
  auto accounts = configs_.back();
  accounts[aPick % 2].cap_.cpu_ = kCap * (1 + aPick % 7) / 4;
  configs_.push_back(std::move(accounts));
}

/// A leader or manager learns of the newest configuration.
void CapWorld::Configure(unsigned aPick)
{
  if (aPick % (kServices + 1) < kServices) {
    Service& service = services_[aPick % (kServices + 1)];
    service.config_ = configs_.size() - 1;
    service.usage_->SetAccounts(configs_.back());
  } else {
    Manager& manager = *PickManager(aPick / 4);
    manager.config_ = configs_.size() - 1;
    manager.divider_.SetAccounts(configs_.back());
  }
}

void CapWorld::PassTime(unsigned aPick)
{
  clock_.Advance(Millis(10 + aPick % 200));
}

bool CapWorld::CanAllStart(std::int64_t aCap,
                           const std::vector<std::int64_t>& aNeeds,
                           Millis aTime)
{
  EndTrouble();
  // The cap is in force before anything is asked for.
  configs_.back()[0].cap_.cpu_ = aCap;
  for (Service& service : services_) {
    service.usage_->SetAccounts(configs_.back());
  }
  managers_.back()->divider_.SetAccounts(configs_.back());
  RunCalmly(Millis(2000));
  for (std::size_t i = 0; i < kServices; ++i) {
    services_[i].waiting_[kAccounts[0]] = { aNeeds[i], 0, 0 };
  }
  RunCalmly(aTime);
  bool canAll = true;
  for (std::size_t i = 0; i < kServices; ++i) {
    Resources task{ aNeeds[i], 0, 0 };
    canAll &= services_[i].usage_->MayStart(kAccounts[0], task);
  }
  return canAll;
}

void CapWorld::EndTrouble()
{
  lateOrders_.clear();
  lateWrites_.clear();
  orders_.clear();
  reports_.clear();
  for (unsigned i = 0; i < kServices; ++i) {
    services_[i].runs_.clear();
    AddLeader(services_[i]);
    TargetsAnswer(i);
    services_[i].waiting_.clear();
  }
  AddManager();
  AddManager();
}

void CapWorld::RunCalmly(Millis aTime)
{
  static constexpr Millis kRound{ 100 };
  for (Millis passed{ 0 }; passed < aTime; passed += kRound) {
    ReadTable(1);
    for (unsigned i = 0; i < kServices; ++i) {
      SendOrder(4 * i + 1);
      DeliverOrder(0);
      DeliverReport(0);
    }
    Divide(1);
    AnswerWrite(1);
    clock_.Advance(kRound);
  }
}

CapShare CapWorld::ShareAfter(Millis aTime)
{
  EndTrouble();
  std::int64_t cap = configs_.back()[0].cap_.cpu_;
  services_[0].waiting_[kAccounts[0]] = { cap, 0, 0 };
  RunCalmly(aTime);
  std::int64_t used = 0;
  Resources task{ cap / 1000, 0, 0 };
  while (services_[0].usage_->MayStart(kAccounts[0], task)) {
    services_[0].usage_->AddRun(kAccounts[0], task, false);
    used += task.cpu_;
  }
  return used * kWholeCap / cap;
}

} // namespace coltsfootshed
