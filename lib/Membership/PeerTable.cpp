#include "coltsfootshed/Membership/PeerTable.h"

#include "coltsfootshed/Support/Digest.h"

#include <algorithm>
#include <utility>

namespace coltsfootshed {

static constexpr std::size_t kWatchersPerDataCentre = 2;

PeerTable::PeerTable(const Clock& aClock, NodeAddress aSelf)
  : clock_(aClock)
  , self_(std::move(aSelf))
{
}

void PeerTable::Merge(const NodeReport& aReport)
{
  for (const NodeAddress& address : aReport.known_) {
    if (address.node_ == self_.node_) {
      continue;
    }
    Entry fresh;
    fresh.report_.self_ = address;
    fresh.heardAt_ = clock_.Now();
    entries_.try_emplace(address.node_, std::move(fresh));
  }
  if (aReport.self_.node_ == self_.node_) {
    return;
  }
  entries_[aReport.self_.node_] = { aReport, clock_.Now(), true };
}

void PeerTable::Forget()
{
  std::erase_if(entries_, [this](const auto& aItem) {
    return clock_.Now() - aItem.second.heardAt_ > kForgetAfter;
  });
}

bool PeerTable::IsFresh(const Entry& aEntry) const
{
  return aEntry.hasReport_ && clock_.Now() - aEntry.heardAt_ < kReportLifetime;
}

bool PeerTable::IsLive(std::string_view aNode) const
{
  auto found = entries_.find(aNode);
  return found != entries_.end() && IsFresh(found->second);
}

std::vector<const NodeReport*> PeerTable::LiveReports() const
{
  std::vector<const NodeReport*> reports;
  for (const auto& [node, entry] : entries_) {
    if (IsFresh(entry)) {
      reports.push_back(&entry.report_);
    }
  }
  return reports;
}

std::vector<NodeAddress> PeerTable::KnownAddresses() const
{
  std::vector<NodeAddress> addresses;
  for (const auto& [node, entry] : entries_) {
    addresses.push_back(entry.report_.self_);
  }
  return addresses;
}

Demands PeerTable::LocalDemands(std::string_view aService,
                                std::int64_t aOwnDemand) const
{
  Demands demands{ { self_.node_, aOwnDemand } };
  for (const NodeReport* report : LiveReports()) {
    bool local = report->self_.dataCentre_ == self_.dataCentre_;
    if (!local || report->stopping_) {
      continue;
    }
    auto load = report->loads_.find(aService);
    bool known = load != report->loads_.end();
    demands[report->self_.node_] = known ? load->second.demand_ : 0;
  }
  return demands;
}

bool PeerTable::IsQuietOnAllNodes(const QuietVm& aVm) const
{
  for (const auto& [node, entry] : entries_) {
    const NodeReport& report = entry.report_;
    bool hasStopped = report.stopping_ && !IsFresh(entry);
    if (report.self_.dataCentre_ != self_.dataCentre_ || hasStopped) {
      continue;
    }
    auto found = std::find(report.quiet_.begin(), report.quiet_.end(), aVm);
    if (found == report.quiet_.end()) {
      return false;
    }
  }
  return true;
}

bool PeerTable::IsWatcher() const
{
  std::uint64_t own = Hash64(self_.node_);
  std::size_t lower = 0;
  for (const NodeReport* report : LiveReports()) {
    bool local = report->self_.dataCentre_ == self_.dataCentre_;
    if (local && Hash64(report->self_.node_) < own) {
      ++lower;
    }
  }
  return lower < kWatchersPerDataCentre;
}

std::optional<std::string> PeerTable::FindNodeWithSpareSlots(
  std::string_view aService,
  const std::map<std::string, std::int64_t, std::less<>>& aUsed,
  const std::set<std::string, std::less<>>& aTried) const
{
  std::optional<std::string> best;
  std::int64_t bestSpare = 0;
  for (const NodeReport* report : LiveReports()) {
    const std::string& node = report->self_.node_;
    bool local = report->self_.dataCentre_ == self_.dataCentre_;
    auto load = report->loads_.find(aService);
    if (local || report->stopping_ || aTried.contains(node) ||
        load == report->loads_.end()) {
      continue;
    }
    auto used = aUsed.find(node);
    std::int64_t spare =
      load->second.spare_ - (used == aUsed.end() ? 0 : used->second);
    if (spare > bestSpare) {
      best = node;
      bestSpare = spare;
    }
  }
  return best;
}

} // namespace coltsfootshed
