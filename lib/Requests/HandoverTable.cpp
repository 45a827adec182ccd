#include "coltsfootshed/Requests/HandoverTable.h"

#include <utility>

namespace coltsfootshed {

/// How long a node gets no hand-overs after one could not be sent to it.
static constexpr Millis kUnreachablePause{ 250 };

HandoverTable::HandoverTable(const Clock& aClock)
  : clock_(aClock)
{
}

HandoverId HandoverTable::Begin(RequestId aRequest, const std::string& aNode)
{
  HandoverId id = ++lastHandover_;
  entries_.emplace(id, Entry{ aRequest, aNode });
  ++countByNode_[aNode];
  return id;
}

std::optional<RequestId> HandoverTable::RequestOf(HandoverId aId) const
{
  auto found = entries_.find(aId);
  if (found == entries_.end()) {
    return std::nullopt;
  }
  return found->second.request_;
}

const std::string& HandoverTable::NodeOf(HandoverId aId) const
{
  return entries_.at(aId).node_;
}

void HandoverTable::End(HandoverId aId)
{
  auto found = entries_.find(aId);
  if (found == entries_.end()) {
    return;
  }
  auto count = countByNode_.find(found->second.node_);
  --count->second;
  if (count->second == 0) {
    countByNode_.erase(count);
  }
  entries_.erase(found);
}

void HandoverTable::Pause(const std::string& aNode)
{
  pausedUntil_[aNode] = clock_.Now() + kUnreachablePause;
}

std::optional<std::string> HandoverTable::FindNode(
  const PeerTable& aPeers,
  std::string_view aService,
  std::set<std::string, std::less<>> aTried) const
{
  for (const auto& [node, until] : pausedUntil_) {
    if (clock_.Now() < until) {
      aTried.insert(node);
    }
  }
  return aPeers.FindNodeWithSpareSlots(aService, countByNode_, aTried);
}

} // namespace coltsfootshed
