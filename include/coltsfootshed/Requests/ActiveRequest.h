/// \file
/// One request from its arrival to its answer.
#ifndef COLTSFOOTSHED_REQUESTS_ACTIVEREQUEST_H
#define COLTSFOOTSHED_REQUESTS_ACTIVEREQUEST_H

#include "coltsfootshed/Admission/TenantQueue.h"
#include "coltsfootshed/Peers/Messages.h"
#include "coltsfootshed/Requests/Handover.h"
#include "coltsfootshed/Requests/TargetClient.h"
#include "coltsfootshed/Routing/RequestFlow.h"

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace coltsfootshed {

class ServiceState;

/// An attempt under way.
struct RunningAttempt
{
  AttemptId id_ = 0;
  std::string target_;
};

struct ActiveRequest
{
  RequestId id_ = 0;
  CheckedRequest request_;
  ServiceState* serviceState_ = nullptr;
  std::unique_ptr<RequestFlow> flow_;
  std::function<void(RequestAnswer)> onAnswer_;
  Millis arrived_{ 0 };
  Millis started_{ 0 };    ///< first attempt or hand-over, 0 if none yet
  Millis deadline_{ 0 };   ///< point in time
  bool holdsSlot_ = false; ///< counts as running in its service's queue
  bool isWaiting_ = false; ///< for its next attempt, in retries_ or the queue
  bool mayHandOver_ = false;
  bool overdue_ = false; ///< ended by its deadline
  std::vector<RunningAttempt> attempts_;
  HandoverId handover_ = 0; ///< hand-over under way, 0 if none
  std::set<std::string, std::less<>>
    tried_; ///< targets and nodes already tried
};

} // namespace coltsfootshed

#endif
