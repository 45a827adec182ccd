#include "Peers/Wire.h"

#include <algorithm>
#include <limits>

namespace coltsfootshed {

static std::string TextOf(capnp::Text::Reader aText)
{
  return { aText.cStr(), aText.size() };
}

/// Clamps a number to the range of the wire field.
static std::uint32_t ToUInt32(std::int64_t aNumber)
{
  constexpr std::int64_t kMax = std::numeric_limits<std::uint32_t>::max();
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>(aNumber, 0, kMax));
}

static void WriteAddress(const NodeAddress& aAddress,
                         wire::NodeAddress::Builder aOut)
{
  aOut.setNode(aAddress.node_);
  aOut.setDataCentre(aAddress.dataCentre_);
  aOut.setEndpoint(aAddress.endpoint_.Text());
}

static Result<NodeAddress> ReadAddress(wire::NodeAddress::Reader aIn)
{
  auto endpoint = ParseEndpoint(TextOf(aIn.getEndpoint()));
  if (!endpoint) {
    return Fail("read peer report", TextOf(aIn.getNode()), "invalid address");
  }
  return NodeAddress{ TextOf(aIn.getNode()),
                      TextOf(aIn.getDataCentre()),
                      *endpoint };
}

void WriteReport(const NodeReport& aReport, wire::Report::Builder aOut)
{
  WriteAddress(aReport.self_, aOut.initSelf());
  aOut.setVersion(aReport.version_);
  aOut.setVmRevision(aReport.vmRevision_);
  aOut.setStopping(aReport.stopping_);
  auto demands = aOut.initDemands(aReport.loads_.size());
  unsigned index = 0;
  for (const auto& [service, load] : aReport.loads_) {
    auto item = demands[index++];
    item.setService(service);
    item.setDemand(ToUInt32(load.demand_));
    item.setSpare(ToUInt32(load.spare_));
  }
  auto marks = aOut.initMarks(aReport.marks_.size());
  for (unsigned i = 0; i < marks.size(); ++i) {
    marks[i].setVm(aReport.marks_[i].vm_);
    marks[i].setRevision(aReport.marks_[i].revision_);
  }
  aOut.setFleetRevision(aReport.fleetRevision_);
  auto quiet = aOut.initQuiet(aReport.quiet_.size());
  for (unsigned i = 0; i < quiet.size(); ++i) {
    quiet[i].setVm(aReport.quiet_[i].vm_);
    quiet[i].setFence(aReport.quiet_[i].fence_);
  }
  auto known = aOut.initKnown(aReport.known_.size());
  for (unsigned i = 0; i < known.size(); ++i) {
    WriteAddress(aReport.known_[i], known[i]);
  }
}

Result<NodeReport> ReadReport(wire::Report::Reader aIn)
{
  auto self = ReadAddress(aIn.getSelf());
  if (!self) {
    return tl::unexpected(self.error());
  }
  NodeReport out;
  out.self_ = *self;
  out.version_ = aIn.getVersion();
  out.vmRevision_ = aIn.getVmRevision();
  out.stopping_ = aIn.getStopping();
  for (auto item : aIn.getDemands()) {
    out.loads_[TextOf(item.getService())] = { item.getDemand(),
                                              item.getSpare() };
  }
  for (auto item : aIn.getMarks()) {
    out.marks_.push_back({ TextOf(item.getVm()), item.getRevision() });
  }
  out.fleetRevision_ = aIn.getFleetRevision();
  for (auto item : aIn.getQuiet()) {
    out.quiet_.push_back({ TextOf(item.getVm()), item.getFence() });
  }
  for (auto item : aIn.getKnown()) {
    auto address = ReadAddress(item);
    if (!address) {
      return tl::unexpected(address.error());
    }
    out.known_.push_back(*address);
  }
  return out;
}

static void WriteHeaders(const Headers& aHeaders,
                         capnp::List<wire::Header>::Builder aOut)
{
  for (unsigned i = 0; i < aOut.size(); ++i) {
    aOut[i].setName(aHeaders[i].first);
    aOut[i].setValue(aHeaders[i].second);
  }
}

static Headers ReadHeaders(capnp::List<wire::Header>::Reader aIn)
{
  Headers out;
  for (auto item : aIn) {
    out.emplace_back(TextOf(item.getName()), TextOf(item.getValue()));
  }
  return out;
}

static capnp::Data::Reader BytesOf(std::string_view aText)
{
  return { reinterpret_cast<const kj::byte*>(aText.data()), aText.size() };
}

static std::string TextOfData(capnp::Data::Reader aData)
{
  return { reinterpret_cast<const char*>(aData.begin()), aData.size() };
}

void WriteHandover(const CheckedRequest& aRequest, wire::Handover::Builder aOut)
{
  const RequestTerms& terms = aRequest.terms_;
  aOut.setService(terms.service_);
  aOut.setRequestClass(static_cast<std::uint8_t>(terms.class_));
  aOut.setTenant(terms.tenant_);
  aOut.setIdempotent(terms.idempotent_);
  aOut.setDeadlineMs(ToUInt32(terms.timeLeft_.count()));
  aOut.setRequestId(terms.requestId_);
  const HttpRequest& content = aRequest.content_;
  aOut.setMethod(content.method_);
  aOut.setTarget(content.target_);
  WriteHeaders(content.headers_, aOut.initHeaders(content.headers_.size()));
  aOut.setBody(BytesOf(content.body_));
}

Result<CheckedRequest> ReadHandover(wire::Handover::Reader aIn)
{
  if (aIn.getRequestClass() >= kClassCount) {
    return Fail("read hand-over", "", "unknown class");
  }
  CheckedRequest out;
  out.terms_.service_ = TextOf(aIn.getService());
  out.terms_.class_ = static_cast<RequestClass>(aIn.getRequestClass());
  out.terms_.tenant_ = TextOf(aIn.getTenant());
  out.terms_.idempotent_ = aIn.getIdempotent();
  out.terms_.timeLeft_ = Millis(aIn.getDeadlineMs());
  out.terms_.requestId_ = TextOf(aIn.getRequestId());
  out.content_.method_ = TextOf(aIn.getMethod());
  out.content_.target_ = TextOf(aIn.getTarget());
  out.content_.headers_ = ReadHeaders(aIn.getHeaders());
  out.content_.body_ = TextOfData(aIn.getBody());
  return out;
}

void WriteAnswer(const RequestAnswer& aAnswer,
                 wire::HandoverAnswer::Builder aOut)
{
  aOut.setOutcome(static_cast<std::uint8_t>(aAnswer.outcome_));
  const HttpAnswer& answer = aAnswer.answer_;
  aOut.setCode(static_cast<std::uint16_t>(answer.code_));
  WriteHeaders(answer.headers_, aOut.initHeaders(answer.headers_.size()));
  aOut.setBody(BytesOf(answer.body_));
}

Result<RequestAnswer> ReadAnswer(wire::HandoverAnswer::Reader aIn)
{
  if (aIn.getOutcome() > static_cast<std::uint8_t>(Outcome::Unknown)) {
    return Fail("read hand-over answer", "", "unknown outcome");
  }
  RequestAnswer out;
  out.outcome_ = static_cast<Outcome>(aIn.getOutcome());
  out.answer_.code_ = aIn.getCode();
  out.answer_.headers_ = ReadHeaders(aIn.getHeaders());
  out.answer_.body_ = TextOfData(aIn.getBody());
  return out;
}

} // namespace coltsfootshed
