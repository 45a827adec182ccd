/// \file
/// One connection to another entry VM.
#ifndef COLTSFOOTSHED_LIB_PEERS_PEERLINK_H
#define COLTSFOOTSHED_LIB_PEERS_PEERLINK_H

#include "Peers/Peer.capnp.h"
#include "coltsfootshed/Peers/Messages.h"

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>
#include <kj/refcount.h>
#include <set>

namespace coltsfootshed {

/// A connection to a peer. A link that has been replaced stays alive until its
/// last call has ended.
struct PeerLink : public kj::Refcounted
{
  explicit PeerLink(kj::Own<kj::AsyncIoStream> aStream)
    : stream_(kj::mv(aStream))
    , client_(*stream_)
    , peer_(client_.bootstrap().castAs<wire::Peer>())
    , disconnectWatch_(client_.onDisconnect()
                         .then([this] { disconnected_ = true; })
                         .eagerlyEvaluate(nullptr))
  {
  }

  kj::Own<kj::AsyncIoStream> stream_;
  capnp::TwoPartyClient client_;
  wire::Peer::Client peer_;
  std::set<HandoverId> handovers_; ///< sent on this link, not yet answered
  bool exchanging_ = false;        ///< a report awaits its answer
  bool disconnected_ = false;      ///< the other end has closed
  kj::Promise<void> disconnectWatch_;
};

/// A peer's address and the link to it, which is reconnected when it breaks.
struct PeerContact
{
  Endpoint endpoint_;
  std::string node_;                  ///< empty until a report names it
  std::string dataCentre_;            ///< empty until a report names it
  kj::Maybe<kj::Own<PeerLink>> link_; ///< null while not connected
  bool connecting_ = false;
};

} // namespace coltsfootshed

#endif
