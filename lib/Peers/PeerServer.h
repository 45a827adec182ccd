/// \file
/// Server side of the peer protocol.
#ifndef COLTSFOOTSHED_LIB_PEERS_PEERSERVER_H
#define COLTSFOOTSHED_LIB_PEERS_PEERSERVER_H

#include "Peers/Peer.capnp.h"

namespace coltsfootshed {

class PeerExchange;

/// Answers the calls of other entry VMs from the state of the peers task.
class PeerServer final : public wire::Peer::Server
{
public:
  explicit PeerServer(PeerExchange& aExchange);

  kj::Promise<void> exchange(ExchangeContext aContext) override;
  kj::Promise<void> fetchHead(FetchHeadContext aContext) override;
  kj::Promise<void> fetchSections(FetchSectionsContext aContext) override;
  kj::Promise<void> fetchVms(FetchVmsContext aContext) override;
  kj::Promise<void> fetchRecords(FetchRecordsContext aContext) override;
  kj::Promise<void> handOver(HandOverContext aContext) override;

private:
  PeerExchange& exchange_;
};

} // namespace coltsfootshed

#endif
