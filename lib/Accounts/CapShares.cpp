#include "coltsfootshed/Accounts/CapShares.h"

#include "coltsfootshed/Support/JsonReader.h"

#include <algorithm>

namespace coltsfootshed {

/// A use may exceed a lowered cap many times over.
static constexpr IntegerRange kAnyShare{ 0, kMaxExactInteger };

/// Earlier versions know shares in ten-thousandths only. Each share is sent as
/// such a number, which they read, and the rest of it.
static constexpr CapShare kCoarseUnit = kWholeCap / 10000;

CapShare ScaleShare(CapShare aShare,
                    std::int64_t aNumerator,
                    std::int64_t aDenominator)
{
  __extension__ using Wide = __int128;
  Wide scaled = static_cast<Wide>(aShare) * aNumerator / aDenominator;
  return static_cast<CapShare>(std::min<Wide>(scaled, kMaxExactInteger));
}

static std::int64_t CoarseUp(CapShare aShare)
{
  return (aShare + kCoarseUnit - 1) / kCoarseUnit;
}

/// Returns shares as they are, for fields that earlier versions do not have.
static Json ExactOf(const CapShares& aShares)
{
  Json exact = Json::object();
  for (const auto& [name, share] : aShares) {
    exact[name] = share;
  }
  return exact;
}

static Json CoarseOf(const CapShares& aShares)
{
  Json coarse = Json::object();
  for (const auto& [name, share] : aShares) {
    coarse[name] = share / kCoarseUnit;
  }
  return coarse;
}

static Json RestsOf(const CapShares& aShares)
{
  Json rests = Json::object();
  for (const auto& [name, share] : aShares) {
    if (share % kCoarseUnit != 0) {
      rests[name] = share % kCoarseUnit;
    }
  }
  return rests;
}

/// Reads the field aName of aParent, and the rests in aRestsName. Shares that
/// an earlier version has written have no rests.
static CapShares SharesFrom(const Json& aParent,
                            const char* aName,
                            const char* aRestsName)
{
  static constexpr IntegerRange kCoarse{ 0, kMaxExactInteger / kCoarseUnit };
  static constexpr IntegerRange kRest{ 0, kCoarseUnit - 1 };
  CapShares shares;
  for (const auto& [name, share] : aParent.at(aName).items()) {
    shares[name] = IntegerOf(share, kCoarse) * kCoarseUnit;
  }
  if (auto rests = aParent.find(aRestsName); rests != aParent.end()) {
    for (const auto& [name, rest] : rests->items()) {
      shares[name] += IntegerOf(rest, kRest);
    }
  }
  return shares;
}

Json ToJson(const CapOrder& aOrder)
{
  Json json = { { "number", aOrder.number_ },
                { "table", aOrder.table_ },
                { "settled", aOrder.settledCaps_ },
                { "unsettled", aOrder.unsettled_ },
                { "ceilings", CoarseOf(aOrder.ceilings_) },
                { "ceiling_rests", RestsOf(aOrder.ceilings_) },
                { "attainable", ExactOf(aOrder.attainable_) } };
  if (aOrder.shares_) {
    json["shares"] = CoarseOf(*aOrder.shares_);
    json["share_rests"] = RestsOf(*aOrder.shares_);
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
  order.ceilings_ = SharesFrom(aJson, "ceilings", "ceiling_rests");
  if (auto found = aJson.find("attainable"); found != aJson.end()) {
    for (const auto& [account, share] : found->items()) {
      order.attainable_[account] = IntegerOf(share, kAnyShare);
    }
  }
  if (aJson.contains("shares")) {
    order.shares_ = SharesFrom(aJson, "shares", "share_rests");
  }
  return order;
}

Json ToJson(const CapReport& aReport)
{
  Json rows = Json::array();
  for (const AccountUse& use : aReport.accounts_) {
    rows.push_back({ use.account_,
                     use.limit_ / kCoarseUnit,
                     CoarseUp(use.used_),
                     CoarseUp(use.asked_),
                     use.limit_,
                     use.used_,
                     use.asked_,
                     use.lasting_,
                     use.needed_,
                     use.starts_ });
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
    auto share = [&](std::size_t aColumn) {
      constexpr std::size_t kExactColumns = 3; ///< after the coarse ones
      bool isExact = row.size() > aColumn + kExactColumns;
      return isExact ? IntegerOf(row.at(aColumn + kExactColumns), kAnyShare)
                     : IntegerOf(row.at(aColumn), kSmallCount) * kCoarseUnit;
    };
    AccountUse use{ row.at(0), share(1), share(2), share(3) };
    // Earlier versions do not say which runs last, so that any may.
    use.lasting_ = use.used_;
    constexpr std::size_t kUnitColumns = 7;
    if (row.size() > kUnitColumns) {
      use.lasting_ = IntegerOf(row.at(kUnitColumns), kAnyShare);
      use.needed_ = IntegerOf(row.at(kUnitColumns + 1), kAnyShare);
      use.starts_ = static_cast<std::uint64_t>(
        IntegerOf(row.at(kUnitColumns + 2), kAnyCount));
    }
    report.accounts_.push_back(std::move(use));
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
  Json rests = Json::object();
  for (const auto& [account, byService] : aTable.shares_) {
    shares[account] = CoarseOf(byService);
    rests[account] = RestsOf(byService);
  }
  Json settled = Json::object();
  for (const auto& [account, cap] : aTable.settledCaps_) {
    settled[account] = { cap.cpu_, cap.memory_, cap.gpu_ };
  }
  Json table = { { "settled", settled },
                 { "shares", shares },
                 { "share_rests", rests } };
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
    const Json& shares = aJson.at("shares");
    const Json rests = aJson.value("share_rests", Json::object());
    for (const auto& [account, byService] : shares.items()) {
      Json both = { { "shares", byService },
                    { "rests", rests.value(account, Json::object()) } };
      table.shares_[account] = SharesFrom(both, "shares", "rests");
    }
    return table;
  };
  return ReadJson<CapTable>(
    aText, kOwnDocument, "read the shares of caps", "", read);
}

} // namespace coltsfootshed
