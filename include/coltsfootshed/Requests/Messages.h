/// \file
/// Messages that the requests task takes.
#ifndef COLTSFOOTSHED_REQUESTS_MESSAGES_H
#define COLTSFOOTSHED_REQUESTS_MESSAGES_H

#include "coltsfootshed/Config/Document.h"
#include "coltsfootshed/Fleet/FleetState.h"
#include "coltsfootshed/Membership/PeerTable.h"
#include "coltsfootshed/Peers/Messages.h"
#include "coltsfootshed/Requests/Handover.h"
#include "coltsfootshed/Support/Mailbox.h"

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace coltsfootshed {

/// A document to put in force.
struct DocumentInForce
{
  std::uint64_t version_ = 0;
  std::shared_ptr<const Document> document_;
};

/// Records from the platform's VM list, which may be outdated.
struct VmsRead
{
  std::vector<VmRecord> vms_;
};

/// Fleet records of the data centre that are newer than those sent before.
struct RecordsInForce
{
  FleetState fleet_;
};

/// A peer's report has arrived.
struct PeerReported
{
  NodeReport report_;
};

/// Another entry VM hands a request over to this one.
struct HandoverArrived
{
  HandoverId id_ = 0;
  CheckedRequest request_;
};

/// How a hand-over that this process started has ended.
enum class HandoverEnd
{
  NotSent,
  Broken,
  Silent, ///< its connection is silent; another end may follow
  Answered
};

/// A hand-over that this process started has ended or gone silent.
struct HandoverEnded
{
  HandoverId id_ = 0;
  HandoverEnd end_ = HandoverEnd::Broken;
  RequestAnswer answer_; ///< valid if Answered
};

/// Views of the requests task that an operator can ask for.
enum class RequestsView
{
  Status,    ///< JSON: services, targets, queues
  Metrics,   ///< Prometheus text
  Histograms ///< JSON: per tenant and class
};

/// Asks for a view; the answer goes to the fleet task.
struct ViewRequested
{
  std::uint64_t ticket_ = 0; ///< copied to the answer, ViewReady
  RequestsView view_ = RequestsView::Status;
};

/// Stops the task after it has answered all accepted requests.
struct RequestsStopping
{};

using RequestsMessage = std::variant<DocumentInForce,
                                     VmsRead,
                                     RecordsInForce,
                                     PeerReported,
                                     HandoverArrived,
                                     HandoverEnded,
                                     ViewRequested,
                                     RequestsStopping>;
using RequestsMailbox = Mailbox<RequestsMessage>;

} // namespace coltsfootshed

#endif
