/// \file
/// Measures what the division of caps among services costs the pool manager, by
/// the number of accounts and services: processor time of a division in which
/// each account has moved its demand to another service, and bytes of the
/// table, of an order with all shares, and of a report.

#include "coltsfootshed/Accounts/CapDivider.h"

#include <cstdio>
#include <ctime>
#include <nlohmann/json.hpp>

using namespace coltsfootshed;

namespace {

class FixedClock final : public Clock
{
public:
  Millis Now() const override { return now_; }
  Millis now_{ 1000 };
};

double ProcessorMs()
{
  timespec time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) * 1000 +
         static_cast<double>(time.tv_nsec) / 1e6;
}

/// Returns the report of a service in which every account that is due there in
/// this round asks for its whole cap.
CapReport ReportOf(std::span<const AccountConfig> aAccounts,
                   int aService,
                   int aServices,
                   int aRound,
                   Revision aTable)
{
  CapReport report;
  report.leader_ = 1;
  report.table_ = aTable;
  report.caps_ = DigestOfCaps(aAccounts);
  for (std::size_t i = 0; i < aAccounts.size(); ++i) {
    bool asks = (static_cast<int>(i) + aRound) % aServices == aService;
    report.accounts_.push_back(
      { aAccounts[i].name_, asks ? kWholeCap : 0, 0, asks ? kWholeCap : 0 });
  }
  return report;
}

void Measure(int aAccounts, int aServices)
{
  FixedClock clock;
  CapDivider divider(clock);
  std::vector<AccountConfig> accounts;
  for (int i = 0; i < aAccounts; ++i) {
    AccountConfig account;
    account.name_ = "account-" + std::to_string(i);
    account.cap_ = { 100000, 400000, 0 };
    accounts.push_back(account);
  }
  std::set<std::string> services;
  for (int i = 0; i < aServices; ++i) {
    services.insert("service-" + std::to_string(i));
  }
  divider.SetAccounts(accounts);
  divider.SetServices(services);
  divider.LoadTable({}, 0);
  constexpr int kRounds = 10;
  double spentMs = 0;
  Revision revision = 0;
  std::size_t tableBytes = 0;
  std::size_t orderBytes = 0;
  std::size_t reportBytes = 0;
  for (int round = 0; round < kRounds; ++round) {
    int number = 0;
    for (const std::string& service : services) {
      CapReport report =
        ReportOf(accounts, number++, aServices, round, revision);
      reportBytes = ToJson(report).dump().size();
      divider.SetReport(service, report);
      orderBytes =
        std::max(orderBytes, ToJson(divider.OrderFor(service)).dump().size());
    }
    clock.now_ += Millis(250);
    double before = ProcessorMs();
    auto write = divider.Decide();
    spentMs += ProcessorMs() - before;
    if (write) {
      tableBytes = write->table_.size();
      divider.OnWritten(++revision);
    }
  }
  std::printf("| %d, %d | %.2f | %zu | %zu | %zu |\n",
              aAccounts,
              aServices,
              spentMs / kRounds,
              tableBytes,
              orderBytes,
              reportBytes);
}

} // namespace

int main()
{
  std::printf("| accounts, services | ms a division | table, bytes | order, "
              "bytes | report, bytes |\n| --- | --- | --- | --- | --- |\n");
  for (auto [accounts, services] : { std::pair(20, 4),
                                     std::pair(60, 17),
                                     std::pair(120, 34),
                                     std::pair(240, 67) }) {
    Measure(accounts, services);
  }
  return 0;
}
