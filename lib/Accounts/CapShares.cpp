#include "coltsfootshed/Accounts/CapShares.h"

#include "coltsfootshed/Support/JsonReader.h"

namespace coltsfootshed {

/// A use may exceed a lowered cap many times over.
static constexpr IntegerRange kAnyShare{ 0, kMaxExactInteger };

static CapShares SharesFrom(const Json& aJson)
{
  CapShares shares;
  for (const auto& [name, share] : aJson.items()) {
    shares[name] = IntegerOf(share, kAnyShare);
  }
  return shares;
}

Json ToJson(const CapOrder& aOrder)
{
  Json json = { { "number", aOrder.number_ },
                { "table", aOrder.table_ },
                { "settled", aOrder.settledCaps_ },
                { "unsettled", aOrder.unsettled_ },
                { "ceilings", aOrder.ceilings_ } };
  if (aOrder.shares_) {
    json["shares"] = *aOrder.shares_;
  }
  return json;
}

CapOrder CapOrderFrom(const Json& aJson)
{
  CapOrder order;
  order.number_ =
    static_cast<std::uint64_t>(IntegerOf(aJson.at("number"), kAnyCount));
  order.table_ = static_cast<Revision>(IntegerOf(aJson.at("table"), kAnyCount));
  order.settledCaps_ = aJson.at("settled");
  order.unsettled_ = aJson.at("unsettled").get<std::vector<std::string>>();
  order.ceilings_ = SharesFrom(aJson.at("ceilings"));
  if (auto shares = aJson.find("shares"); shares != aJson.end()) {
    order.shares_ = SharesFrom(*shares);
  }
  return order;
}

Json ToJson(const CapReport& aReport)
{
  Json rows = Json::array();
  for (const AccountUse& use : aReport.accounts_) {
    rows.push_back({ use.account_, use.limit_, use.used_, use.asked_ });
  }
  return { { "leader", aReport.leader_ },
           { "table", aReport.table_ },
           { "caps", aReport.caps_ },
           { "accounts", rows } };
}

CapReport CapReportFrom(const Json& aJson)
{
  CapReport report;
  report.leader_ = static_cast<Fence>(IntegerOf(aJson.at("leader"), kAnyCount));
  report.table_ =
    static_cast<Revision>(IntegerOf(aJson.at("table"), kAnyCount));
  report.caps_ = aJson.at("caps");
  for (const Json& row : aJson.at("accounts")) {
    report.accounts_.push_back({ row.at(0),
                                 IntegerOf(row.at(1), kAnyShare),
                                 IntegerOf(row.at(2), kAnyShare),
                                 IntegerOf(row.at(3), kAnyShare) });
  }
  return report;
}

CapShares CapTable::SharesOf(std::string_view aService) const
{
  CapShares shares;
  for (const auto& [account, byService] : shares_) {
    if (auto share = byService.find(aService); share != byService.end()) {
      shares[account] = share->second;
    }
  }
  return shares;
}

std::string EncodeCapTable(const CapTable& aTable)
{
  Json shares = Json::object();
  for (const auto& [account, byService] : aTable.shares_) {
    shares[account] = byService;
  }
  Json settled = Json::object();
  for (const auto& [account, cap] : aTable.settledCaps_) {
    settled[account] = { cap.cpu_, cap.memory_, cap.gpu_ };
  }
  Json table = { { "settled", settled }, { "shares", shares } };
  return table.dump();
}

Result<CapTable> DecodeCapTable(std::string_view aText)
{
  auto read = [](const Json& aJson) {
    CapTable table;
    for (const auto& [account, cap] : aJson.at("settled").items()) {
      table.settledCaps_[account] = { IntegerOf(cap.at(0), kAnyCount),
                                      IntegerOf(cap.at(1), kAnyCount),
                                      IntegerOf(cap.at(2), kAnyCount) };
    }
    for (const auto& [account, byService] : aJson.at("shares").items()) {
      table.shares_[account] = SharesFrom(byService);
    }
    return table;
  };
  return ReadJson<CapTable>(
    aText, kOwnDocument, "read the shares of caps", "", read);
}

} // namespace coltsfootshed
