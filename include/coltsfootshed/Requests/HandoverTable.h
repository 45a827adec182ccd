/// \file
/// Hand-overs under way, and the choice of the node for the next.
#ifndef COLTSFOOTSHED_REQUESTS_HANDOVERTABLE_H
#define COLTSFOOTSHED_REQUESTS_HANDOVERTABLE_H

#include "coltsfootshed/Admission/TenantQueue.h"
#include "coltsfootshed/Membership/PeerTable.h"
#include "coltsfootshed/Peers/Messages.h"
#include "coltsfootshed/Support/Clock.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>

namespace coltsfootshed {

class HandoverTable
{
public:
  explicit HandoverTable(const Clock& aClock);

  /// Records a hand-over to aNode and returns its new id.
  HandoverId Begin(RequestId aRequest, const std::string& aNode);
  /// The request of a hand-over, or nothing if it is no longer under way.
  std::optional<RequestId> RequestOf(HandoverId aId) const;
  /// The node of a hand-over that is under way.
  const std::string& NodeOf(HandoverId aId) const;
  /// Removes a hand-over; what is reported of it later is ignored.
  void End(HandoverId aId);
  /// Excludes a node from FindNode() for a short time, because a hand-over
  /// could not be sent to it.
  void Pause(const std::string& aNode);
  /// The node of another data centre that has the most spare slots for a
  /// service, after subtracting the hand-overs under way to it, and is neither
  /// paused nor in aTried. Nothing if no such node has any.
  std::optional<std::string> FindNode(
    const PeerTable& aPeers,
    std::string_view aService,
    std::set<std::string, std::less<>> aTried) const;

private:
  struct Entry
  {
    RequestId request_ = 0;
    std::string node_;
  };

  const Clock& clock_;
  HandoverId lastHandover_ = 0;
  std::unordered_map<HandoverId, Entry> entries_;
  std::map<std::string, std::int64_t, std::less<>> countByNode_;
  std::map<std::string, Millis, std::less<>> pausedUntil_;
};

} // namespace coltsfootshed

#endif
