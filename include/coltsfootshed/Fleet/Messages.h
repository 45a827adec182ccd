/// \file
/// Messages to the fleet task.
#ifndef COLTSFOOTSHED_FLEET_MESSAGES_H
#define COLTSFOOTSHED_FLEET_MESSAGES_H

#include "coltsfootshed/Config/Version.h"
#include "coltsfootshed/Membership/PeerTable.h"
#include "coltsfootshed/Support/Mailbox.h"

#include <cstdint>
#include <string>
#include <variant>

namespace coltsfootshed {

/// A peer's configuration.
struct PeerConfig
{
  Head head_;
  Sections sections_;
};

/// A peer's VM list of this data centre.
struct PeerVms
{
  VmListPage page_;
};

/// A peer's copy of the fleet records of this data centre.
struct PeerRecords
{
  std::uint64_t revision_ = 0;
  std::string records_; ///< as FleetState::ToJson() returns them
};

/// Out-of-service VMs on which this process has no request in flight.
struct OwnQuietVms
{
  std::vector<QuietVm> quiet_;
};

/// A peer's report has arrived.
struct PeerReportArrived
{
  NodeReport report_;
};

/// The requests task's answer to the ViewRequested message with this ticket.
struct ViewReady
{
  std::uint64_t ticket_ = 0;
  std::string text_;
};

/// A signal has requested a stop.
struct StopRequested
{};

/// The requests task has no requests left to serve.
struct RequestsDrained
{};

using FleetMessage = std::variant<PeerConfig,
                                  PeerVms,
                                  PeerRecords,
                                  OwnQuietVms,
                                  PeerReportArrived,
                                  ViewReady,
                                  StopRequested,
                                  RequestsDrained>;
using FleetMailbox = Mailbox<FleetMessage>;

} // namespace coltsfootshed

#endif
