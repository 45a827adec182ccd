/// \file
/// State and event handlers of the peers task, which run on its kj event loop.
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

/// Keeps a link to every known entry VM, exchanges reports with them, fetches
/// what a peer has in a newer version, and carries hand-overs.
class PeerExchange final : private kj::TaskSet::ErrorHandler
{
public:
  PeerExchange(const Settings& aSettings,
               const Clock& aClock,
               Mailboxes& aMailboxes,
               kj::AsyncIoContext& aIo);

  /// Resolves when PeersQuit has arrived.
  kj::Promise<void> Run();

  /// Writes this node's report for a peer.
  void FillReport(wire::Report::Builder aOut);
  /// Merges a peer's report and fetches what the peer has in a newer version.
  void OnReport(wire::Report::Reader aReport);
  std::string HeadJson() const { return config_.head_.ToJson(); }
  const ConfigSnapshot& Config() const { return config_; }
  const VmListPage& VmList() const { return vmList_; }
  const FleetRecordsSnapshot& Records() const { return records_; }
  /// Passes a request that a peer handed over to the requests task. Resolves to
  /// its answer.
  kj::Promise<RequestAnswer> Serve(CheckedRequest aRequest);

private:
  using Contacts = std::map<Endpoint, PeerContact>;

  void taskFailed(kj::Exception&& aException) override;
  kj::Promise<void> Listen();
  kj::Promise<void> MailboxLoop();
  kj::Promise<void> TickLoop();
  /// Reconnects broken links and sends the reports that are due.
  void Tick();
  void SendReports();
  void Connect(PeerContact& aContact);
  /// Drops a link that the other end has closed.
  void DropIfDisconnected(PeerContact& aContact);
  /// Sends this node's report and takes the peer's. Does nothing without a link
  /// or while an earlier report is unanswered.
  void Exchange(PeerContact& aContact);
  /// Exchanges reports with all nodes of this data centre and one node of each
  /// other data centre, without waiting for the next interval.
  void ExchangeAtOnce();
  /// Drops a link whose report failed, or was not answered in time (aSilent).
  /// The hand-overs on a silent link stay open, as they may still be answered;
  /// the requests task is told and decides whether to try another node.
  void OnLinkFailed(const Endpoint& aEndpoint, PeerLink& aLink, bool aSilent);
  void LearnAddresses(const NodeReport& aReport);
  void FetchConfig(const Endpoint& aEndpoint);
  void FetchVms(const Endpoint& aEndpoint);
  void FetchRecords(const Endpoint& aEndpoint);
  /// Returns null if the node is not known.
  PeerContact* ContactOf(std::string_view aNode);
  /// Returns null if there is no link to the address.
  wire::Peer::Client* PeerAt(const Endpoint& aEndpoint);
  void EndHandover(HandoverEnded aEnded);

  void Handle(OwnLoads& aMessage);
  void Handle(LeavingMarksSeen& aMessage);
  void Handle(ConfigSnapshot& aMessage);
  void Handle(VmListSnapshot& aMessage);
  void Handle(FleetRecordsSnapshot& aMessage);
  void Handle(HandoverRequested& aMessage);
  void Handle(HandoverServed& aMessage);
  void Handle(PeersStopping& aMessage);
  void Handle(PeersQuit& aMessage);

  Settings settings_;
  Mailboxes& mailboxes_;
  kj::AsyncIoContext& io_;
  kj::Timer& timer_;
  kj::UnixEventPort::FdObserver mailboxObserver_;
  PeerTable peers_;
  VmTable leavingMarks_; ///< used for its leaving marks only
  NodeReport ownReport_;
  ConfigSnapshot config_;
  VmListPage vmList_;
  Contacts contacts_;
  unsigned ticks_ = 0;
  std::size_t nextRemoteContact_ = 0;
  std::size_t nextKnownAddress_ = 0;
  /// Lowest configuration version that the pending fetch can bring, 0 if none
  /// is pending.
  std::uint64_t fetchingVersion_ = 0;
  bool fetchingVms_ = false;
  FleetRecordsSnapshot records_;
  bool fetchingRecords_ = false;
  HandoverId lastServedId_ = 0;
  /// Hand-overs from peers that the requests task has not answered yet.
  std::map<HandoverId, kj::Own<kj::PromiseFulfiller<RequestAnswer>>>
    servedHandovers_;
  kj::Own<kj::PromiseFulfiller<void>> quitFulfiller_;
  kj::TaskSet tasks_;
};

} // namespace coltsfootshed

#endif
