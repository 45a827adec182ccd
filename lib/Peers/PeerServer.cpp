#include "Peers/PeerServer.h"

#include "Peers/PeerExchange.h"
#include "Peers/Wire.h"
#include "coltsfootshed/Platform/PlatformClient.h"

#include <utility>

namespace coltsfootshed {

PeerServer::PeerServer(PeerExchange& aExchange)
  : exchange_(aExchange)
{
}

kj::Promise<void> PeerServer::exchange(ExchangeContext aContext)
{
  exchange_.OnReport(aContext.getParams().getReport());
  exchange_.FillReport(aContext.getResults().initReport());
  return kj::READY_NOW;
}

kj::Promise<void> PeerServer::fetchHead(FetchHeadContext aContext)
{
  aContext.getResults().setHead(exchange_.HeadJson());
  return kj::READY_NOW;
}

kj::Promise<void> PeerServer::fetchSections(FetchSectionsContext aContext)
{
  auto digests = aContext.getParams().getDigests();
  auto out = aContext.getResults().initSections(digests.size());
  const ConfigSnapshot& config = exchange_.Config();
  for (unsigned i = 0; i < digests.size(); ++i) {
    auto section = config.sections_->find(std::string_view(digests[i].cStr()));
    if (section != config.sections_->end()) {
      out.set(i, section->second);
    }
  }
  return kj::READY_NOW;
}

kj::Promise<void> PeerServer::fetchVms(FetchVmsContext aContext)
{
  std::uint64_t since = aContext.getParams().getSince();
  const VmListPage& list = exchange_.VmList();
  std::vector<VmRecord> changed;
  for (const VmRecord& record : list.vms_) {
    if (record.revision_ > since) {
      changed.push_back(record);
    }
  }
  aContext.getResults().setPage(VmsToJson(list.revision_, changed));
  return kj::READY_NOW;
}

kj::Promise<void> PeerServer::fetchRecords(FetchRecordsContext aContext)
{
  const FleetRecordsSnapshot& records = exchange_.Records();
  aContext.getResults().setRevision(records.revision_);
  aContext.getResults().setRecords(records.records_);
  return kj::READY_NOW;
}

kj::Promise<void> PeerServer::handOver(HandOverContext aContext)
{
  auto request = ReadHandover(aContext.getParams().getRequest());
  if (!request) {
    RequestAnswer refusal{ Outcome::NotRun, {} };
    WriteAnswer(refusal, aContext.getResults().initAnswer());
    return kj::READY_NOW;
  }
  return exchange_.Serve(std::move(*request))
    .then([aContext](const RequestAnswer& aAnswer) mutable {
      WriteAnswer(aAnswer, aContext.getResults().initAnswer());
    });
}

} // namespace coltsfootshed
