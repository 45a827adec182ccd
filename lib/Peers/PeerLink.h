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

/// Lives on after it was replaced until its last call has ended.
struct PeerLink : public kj::Refcounted
{
  explicit PeerLink(kj::Own<kj::AsyncIoStream> aStream)
    : stream_(kj::mv(aStream))
    , client_(*stream_)
    , peer_(client_.bootstrap().castAs<wire::Peer>())
    , watch_(client_.onDisconnect()
               .then([this] { disconnected_ = true; })
               .eagerlyEvaluate(nullptr))
  {
  }

  kj::Own<kj::AsyncIoStream> stream_;
  capnp::TwoPartyClient client_;
  wire::Peer::Client peer_;
  std::set<HandoverId> handovers_; ///< under way
  bool exchanging_ = false;        ///< a report awaits its answer
  bool disconnected_ = false;      ///< the other end has gone
  kj::Promise<void> watch_;
};

/// An address that this process keeps a link to.
struct PeerContact
{
  Endpoint endpoint_;
  std::string node_;       ///< empty until its first report
  std::string dataCentre_; ///< empty until its first report
  kj::Maybe<kj::Own<PeerLink>> link_;
  bool connecting_ = false;
};

} // namespace coltsfootshed

#endif
