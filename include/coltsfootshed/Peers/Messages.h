/// \file
/// Messages that the peers task takes.
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

/// Names a hand-over within the process that starts or takes it.
using HandoverId = std::uint64_t;

/// The requests task's own load, for the next report.
struct OwnLoads
{
  ServiceLoads loads_;
  std::vector<QuietVm> quiet_;
};

/// The data centre's records that this process holds.
struct RecordsHeld
{
  std::uint64_t revision_ = 0;
  std::string records_; ///< as in the platform
};

/// VMs that this process has just seen leaving; peers are told at once.
struct MarksSeen
{
  std::vector<LeavingMark> marks_;
};

/// The configuration now in force in this process.
struct ConfigHeld
{
  Head head_;
  std::shared_ptr<const Sections> sections_;
};

/// The VM list that this process holds, whole.
struct VmsHeld
{
  VmListPage page_;
};

/// Hand a request over to a node.
struct HandoverWanted
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

/// This process is stopping: it asks peers for no more work.
struct PeersStopping
{};

/// Ends the task.
struct PeersQuit
{};

using PeersMessage = std::variant<OwnLoads,
                                  MarksSeen,
                                  ConfigHeld,
                                  VmsHeld,
                                  RecordsHeld,
                                  HandoverWanted,
                                  HandoverServed,
                                  PeersStopping,
                                  PeersQuit>;
using PeersMailbox = Mailbox<PeersMessage>;

} // namespace coltsfootshed

#endif
