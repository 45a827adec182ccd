/// \file
/// Conversion between messages to peers and their Cap'n Proto form.
#ifndef COLTSFOOTSHED_LIB_PEERS_WIRE_H
#define COLTSFOOTSHED_LIB_PEERS_WIRE_H

#include "Peers/Peer.capnp.h"
#include "coltsfootshed/Membership/PeerTable.h"
#include "coltsfootshed/Requests/Handover.h"
#include "coltsfootshed/Support/Error.h"

namespace coltsfootshed {

void WriteReport(const NodeReport& aReport, wire::Report::Builder aOut);
/// Fails if an address is invalid.
Result<NodeReport> ReadReport(wire::Report::Reader aIn);

void WriteHandover(const CheckedRequest& aRequest,
                   wire::Handover::Builder aOut);
/// Fails if the request class is unknown.
Result<CheckedRequest> ReadHandover(wire::Handover::Reader aIn);

void WriteAnswer(const RequestAnswer& aAnswer,
                 wire::HandoverAnswer::Builder aOut);
/// Fails if the outcome is unknown.
Result<RequestAnswer> ReadAnswer(wire::HandoverAnswer::Reader aIn);

} // namespace coltsfootshed

#endif
