/// \file
/// The task that serves callers: it owns their connections, the connections
/// to targets and every request under way.
#ifndef COLTSFOOTSHED_REQUESTS_REQUESTSTASK_H
#define COLTSFOOTSHED_REQUESTS_REQUESTSTASK_H

#include "coltsfootshed/Fleet/Messages.h"
#include "coltsfootshed/Http/Server.h"
#include "coltsfootshed/Requests/AttemptRunner.h"
#include "coltsfootshed/Requests/Dispatcher.h"
#include "coltsfootshed/Requests/Messages.h"
#include "coltsfootshed/Support/MailboxEvent.h"

#include <memory>
#include <optional>

namespace coltsfootshed {

/// Mailboxes of the daemon's three tasks.
struct Mailboxes
{
  RequestsMailbox requests_;
  PeersMailbox peers_;
  FleetMailbox fleet_;
};

class RequestsTask final : private PeerClient
{
public:
  RequestsTask(const Settings& aSettings,
               const Clock& aClock,
               Mailboxes& aMailboxes);
  ~RequestsTask() override;

  Result<void> Listen();
  /// Serves until a stop was requested and every accepted request has ended.
  void Run();

private:
  void HandOver(HandoverId aId,
                const std::string& aNode,
                const CheckedRequest& aRequest) override;
  void AnnounceLeaving(const LeavingMark& aMark) override;

  void OnRequest(const std::shared_ptr<ServerExchange>& aExchange);
  void OnTick();
  /// Closes the listener once the stop grace has passed, then ends the task
  /// once it has been idle for a while.
  void OnStopTick();
  void ArmDeadline();
  /// Reports loads and quiet VMs to the peers task, and quiet VMs to the fleet
  /// task if they have changed.
  void ReportLoadsAndQuietVms();
  void Accept(CheckedRequest aRequest,
              const std::shared_ptr<ServerExchange>& aExchange);

  void Handle(DocumentInForce aMessage);
  void Handle(const VmsRead& aMessage);
  void Handle(RecordsInForce aMessage);
  void Handle(const PeerReported& aMessage);
  void Handle(HandoverArrived aMessage);
  void Handle(HandoverEnded aMessage);
  void Handle(const ViewRequested& aMessage);
  void Handle(RequestsStopping aMessage);

  Settings settings_;
  const Clock& clock_;
  Mailboxes& mailboxes_;
  event_base* base_;
  std::unique_ptr<AttemptRunner> targets_;
  std::unique_ptr<Dispatcher> dispatcher_;
  std::unique_ptr<HttpServer> server_;
  std::unique_ptr<MailboxEvent<RequestsMessage>> mail_;
  std::unique_ptr<Timer> tick_;
  std::unique_ptr<Timer> deadlineTimer_;
  std::optional<Millis> armedDeadline_;
  std::unique_ptr<Timer> stopTick_;
  std::vector<QuietVm> reportedQuiet_;
  Millis stopRequestedAt_{ 0 };
  Millis idleSince_{ 0 };
  bool stopping_ = false;
};

} // namespace coltsfootshed

#endif
