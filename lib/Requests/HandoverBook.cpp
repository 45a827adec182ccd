#include "coltsfootshed/Requests/HandoverBook.h"

#include <utility>

namespace coltsfootshed {

/// A node without a link gets no hand-overs for this long.
static constexpr Millis kUnreachablePause{ 250 };

HandoverBook::HandoverBook(const Clock& aClock)
  : clock_(aClock)
{
}

HandoverId HandoverBook::Begin(RequestId aRequest, const std::string& aNode)
{
  HandoverId id = ++last_;
  entries_.emplace(id, Entry{ aRequest, aNode });
  ++countByNode_[aNode];
  return id;
}

std::optional<RequestId> HandoverBook::RequestOf(HandoverId aId) const
{
  auto found = entries_.find(aId);
  if (found == entries_.end()) {
    return std::nullopt;
  }
  return found->second.request_;
}

const std::string& HandoverBook::NodeOf(HandoverId aId) const
{
  return entries_.at(aId).node_;
}

void HandoverBook::End(HandoverId aId)
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

void HandoverBook::Pause(const std::string& aNode)
{
  pausedUntil_[aNode] = clock_.Now() + kUnreachablePause;
}

std::optional<std::string> HandoverBook::FindNode(
  const PeerTable& aPeers,
  std::string_view aService,
  std::set<std::string, std::less<>> aTried) const
{
  for (const auto& [node, until] : pausedUntil_) {
    if (clock_.Now() < until) {
      aTried.insert(node);
    }
  }
  return aPeers.FindSpare(aService, countByNode_, aTried);
}

} // namespace coltsfootshed
