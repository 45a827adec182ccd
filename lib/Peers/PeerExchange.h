/// \file
/// The peers task's state and event handlers on its kj loop.
#ifndef COLTSFOOTSHED_LIB_PEERS_PEEREXCHANGE_H
#define COLTSFOOTSHED_LIB_PEERS_PEEREXCHANGE_H

#include "Peers/PeerLink.h"
#include "coltsfootshed/Requests/RequestsTask.h"

#include <functional>
#include <kj/async-io.h>
#include <kj/async-unix.h>
#include <map>
#include <memory>
#include <string>

namespace coltsfootshed {

class PeerExchange final : private kj::TaskSet::ErrorHandler
{
public:
  PeerExchange(const Settings& aSettings,
               const Clock& aClock,
               Mailboxes& aMailboxes,
               kj::AsyncIoContext& aIo);

  /// Resolves when PeersQuit has arrived.
  kj::Promise<void> Run();

  /// This node's report for a peer.
  void FillReport(wire::Report::Builder aOut);
  /// Takes a peer's report.
  void OnReport(wire::Report::Reader aReport);
  std::string HeadJson() const { return held_.head_.ToJson(); }
  const ConfigHeld& Held() const { return held_; }
  const VmListPage& Vms() const { return vms_; }
  const RecordsHeld& Records() const { return records_; }
  /// Passes a handed-over request to the requests task.
  kj::Promise<RequestAnswer> Serve(CheckedRequest aRequest);

private:
  using Contacts = std::map<Endpoint, PeerContact>;

  void taskFailed(kj::Exception&& aException) override;
  kj::Promise<void> Listen();
  kj::Promise<void> MailLoop();
  kj::Promise<void> TickLoop();
  void Tick();
  void SendReports();
  void Connect(PeerContact& aContact);
  void DropIfDisconnected(PeerContact& aContact);
  void Exchange(PeerContact& aContact);
  void ExchangeAtOnce();
  void OnLinkFailed(const Endpoint& aEndpoint, PeerLink& aLink, bool aSilent);
  void LearnAddresses(const NodeReport& aReport);
  void FetchConfig(const Endpoint& aEndpoint);
  void FetchVms(const Endpoint& aEndpoint);
  void FetchRecords(const Endpoint& aEndpoint);
  PeerContact* ContactOf(std::string_view aNode);
  wire::Peer::Client* PeerAt(const Endpoint& aEndpoint);
  void EndHandover(HandoverEnded aNews);

  void Handle(OwnLoads& aMessage);
  void Handle(MarksSeen& aMessage);
  void Handle(ConfigHeld& aMessage);
  void Handle(VmsHeld& aMessage);
  void Handle(RecordsHeld& aMessage);
  void Handle(HandoverWanted& aMessage);
  void Handle(HandoverServed& aMessage);
  void Handle(PeersStopping& aMessage);
  void Handle(PeersQuit& aMessage);

  Settings settings_;
  Mailboxes& mailboxes_;
  kj::AsyncIoContext& io_;
  kj::Timer& timer_;
  kj::UnixEventPort::FdObserver mailObserver_;
  PeerTable peers_;
  VmTable marks_; ///< only its leaving marks are used
  NodeReport own_;
  ConfigHeld held_;
  VmListPage vms_;
  Contacts contacts_;
  unsigned ticks_ = 0;
  std::size_t nextRemote_ = 0;
  std::size_t nextKnown_ = 0;
  std::uint64_t fetchingVersion_ = 0;
  bool fetchingVms_ = false;
  RecordsHeld records_;
  bool fetchingRecords_ = false;
  HandoverId lastServed_ = 0;
  std::map<HandoverId, kj::Own<kj::PromiseFulfiller<RequestAnswer>>> serving_;
  kj::Own<kj::PromiseFulfiller<void>> quit_;
  kj::TaskSet tasks_;
};

} // namespace coltsfootshed

#endif
