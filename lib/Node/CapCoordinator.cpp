#include "coltsfootshed/Node/CapCoordinator.h"

#include "coltsfootshed/Observe/DecisionLog.h"
#include "coltsfootshed/Store/FencedWrite.h"

namespace coltsfootshed {

CapCoordinator::CapCoordinator(const Clock& aClock,
                               KeyValueStore& aStore,
                               Fence aFence,
                               std::function<void(const std::string&)> aTell)
  : store_(aStore)
  , fence_(aFence)
  , tell_(std::move(aTell))
  , divider_(aClock)
{
}

void CapCoordinator::SetConfig(const JobsConfig& aConfig)
{
  divider_.SetAccounts(aConfig.accounts_);
  divider_.SetServices(aConfig.ServedServices());
}

std::optional<CapOrder> CapCoordinator::OrderFor(const std::string& aService)
{
  if (!divider_.IsOn() || divider_.NeedsTable()) {
    return std::nullopt;
  }
  return divider_.OrderFor(aService);
}

void CapCoordinator::SetReport(const std::string& aService,
                               const CapReport& aReport)
{
  divider_.SetReport(aService, aReport);
}

void CapCoordinator::Step()
{
  if (!divider_.IsOn() || callInFlight_) {
    return;
  }
  if (divider_.NeedsTable()) {
    LoadTable();
    return;
  }
  if (auto write = divider_.Decide()) {
    Write(*write);
  }
  TellLeaders();
}

void CapCoordinator::TellLeaders()
{
  for (const std::string& service : divider_.Untold()) {
    tell_(service);
  }
}

void CapCoordinator::LoadTable()
{
  callInFlight_ = true;
  store_.Get(keys::CapShares(),
             guard_([this](const Result<std::optional<StoreItem>>& aItem) {
               callInFlight_ = false;
               if (!aItem) {
                 return; // the next step retries
               }
               if (!aItem->has_value()) {
                 divider_.LoadTable({}, 0);
                 return;
               }
               auto table = DecodeCapTable((*aItem)->value_);
               if (!table) {
                 // Dividing without the shares that leaders have could exceed
                 // the caps.
                 LogStateChange("cap-shares-unreadable",
                                { { "error", table.error().Text() } });
                 return;
               }
               divider_.LoadTable(std::move(*table), (*aItem)->revision_);
             }));
}

void CapCoordinator::Write(const CapTableWrite& aWrite)
{
  Transaction transaction = FencedTransaction(keys::kPoolsDuty, fence_);
  transaction.conditions_.push_back({ keys::CapShares(), aWrite.replaces_ });
  for (const auto& [service, fence] : aWrite.leaders_) {
    transaction.conditions_.push_back({ keys::Leader(service), fence });
  }
  transaction.puts_.push_back({ keys::CapShares(), aWrite.table_ });
  callInFlight_ = true;
  store_.Commit(transaction, guard_([this](const CommitResult& aResult) {
                  callInFlight_ = false;
                  if (aResult.end_ == CommitEnd::Committed) {
                    divider_.OnWritten(aResult.revision_);
                    TellLeaders();
                    return;
                  }
                  LogStateChange("cap-shares-not-written",
                                 { { "reason", aResult.reason_ } });
                  divider_.OnWritten(std::nullopt);
                }));
}

} // namespace coltsfootshed
