/// \file
/// Messages to the peers task.
#ifndef COLTSFOOTSHED_PEERS_MESSAGES_H
#define COLTSFOOTSHED_PEERS_MESSAGES_H

#include "coltsfootshed/Config/Version.h"
#include "coltsfootshed/Membership/PeerTable.h"
#include "coltsfootshed/Requests/Handover.h"
#include "coltsfootshed/Support/Mailbox.h"

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace coltsfootshed {

/// Identifies a hand-over within the process that starts it or serves it.
using HandoverId = std::uint64_t;

/// Load and quiet VMs of this process's requests task, for the next report.
struct OwnLoads
{
  ServiceLoads loads_;
  std::vector<QuietVm> quiet_;
};

/// The fleet records of the data centre, as this process has read them.
struct FleetRecordsSnapshot
{
  std::uint64_t revision_ = 0;
  std::string records_; ///< JSON, as stored in the platform
};

/// VMs that this process has just seen leaving. Peers are told immediately.
struct LeavingMarksSeen
{
  std::vector<LeavingMark> marks_;
};

/// The configuration now in force in this process.
struct ConfigSnapshot
{
  Head head_;
  std::shared_ptr<const Sections> sections_;
};

/// The complete VM list of the data centre, as this process knows it.
struct VmListSnapshot
{
  VmListPage page_;
};

/// Asks to hand a request over to a node.
struct HandoverRequested
{
  HandoverId id_ = 0;
  std::string node_;
  CheckedRequest request_;
};

/// The answer to a request that was handed over to this process.
struct HandoverServed
{
  HandoverId id_ = 0;
  RequestAnswer answer_;
};

/// This process is stopping. Its reports tell the peers to hand it no more
/// requests.
struct PeersStopping
{};

/// Ends the task.
struct PeersQuit
{};

using PeersMessage = std::variant<OwnLoads,
                                  LeavingMarksSeen,
                                  ConfigSnapshot,
                                  VmListSnapshot,
                                  FleetRecordsSnapshot,
                                  HandoverRequested,
                                  HandoverServed,
                                  PeersStopping,
                                  PeersQuit>;
using PeersMailbox = Mailbox<PeersMessage>;

} // namespace coltsfootshed

#endif
