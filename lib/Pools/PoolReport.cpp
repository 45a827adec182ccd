// JSON form in which entry VMs exchange pool reports.
#include "coltsfootshed/Pools/PoolPlanner.h"

#include "coltsfootshed/Support/JsonReader.h"

namespace coltsfootshed {

/// Amounts are sums over all targets of a service.
static constexpr IntegerRange kAmount{ -kMaxExactInteger, kMaxExactInteger };

static Json RowsOf(const std::map<std::string, Resources>& aByName)
{
  Json rows = Json::array();
  for (const auto& [name, amount] : aByName) {
    rows.push_back({ name, amount.cpu_, amount.memory_ });
  }
  return rows;
}

static std::map<std::string, Resources> ReadRows(const Json& aRows)
{
  std::map<std::string, Resources> byName;
  for (const Json& row : aRows) {
    byName[row.at(0)] = { IntegerOf(row.at(1), kAmount),
                          IntegerOf(row.at(2), kAmount),
                          0 };
  }
  return byName;
}

std::string EncodeReport(const PoolReport& aReport)
{
  Json targets = Json::array();
  Json emptyIn = Json::array();
  for (const TargetUse& use : aReport.targets_) {
    targets.push_back(
      { use.target_, use.runs_, use.longRunning_, use.vacating_ });
    emptyIn.push_back(use.emptyIn_.count());
  }
  Json json = {
    { "service", aReport.service_ },
    { "used", { aReport.used_.cpu_, aReport.used_.memory_ } },
    { "lasting", { aReport.longRunning_.cpu_, aReport.longRunning_.memory_ } },
    { "waiting", { aReport.waiting_.cpu_, aReport.waiting_.memory_ } },
    { "in_time", { aReport.inTime_.cpu_, aReport.inTime_.memory_ } },
    { "labels", RowsOf(aReport.byLabel_) },
    { "racks", RowsOf(aReport.byRack_) },
    { "arriving", aReport.arrivingCpu_ },
    { "least", aReport.minVms_ },
    { "targets", targets },
    { "empty_in_ms", emptyIn }
  };
  if (!aReport.unanswered_.empty()) {
    Json unanswered = Json::array();
    for (const RosterTarget& target : aReport.unanswered_) {
      unanswered.push_back({ target.target_, target.vm_ });
    }
    json["unanswered"] = unanswered;
  }
  if (aReport.caps_) {
    json["caps"] = ToJson(*aReport.caps_);
  }
  return json.dump();
}

/// Reads a pair of processor and memory.
static Resources ReadAmounts(const Json& aPair)
{
  return { IntegerOf(aPair.at(0), kAmount),
           IntegerOf(aPair.at(1), kAmount),
           0 };
}

static int ReadCount(const Json& aJson)
{
  return static_cast<int>(IntegerOf(aJson, kSmallCount));
}

Result<PoolReport> DecodeReport(std::string_view aText)
{
  auto read = [](const Json& aJson) {
    PoolReport report;
    report.service_ = aJson.at("service");
    report.used_ = ReadAmounts(aJson.at("used"));
    report.longRunning_ = ReadAmounts(aJson.at("lasting"));
    report.waiting_ = ReadAmounts(aJson.at("waiting"));
    // Earlier versions leave out what is in time; then all may be.
    if (auto inTime = aJson.find("in_time"); inTime != aJson.end()) {
      report.inTime_ = ReadAmounts(*inTime);
    } else {
      report.inTime_ = report.used_;
      report.inTime_ -= report.longRunning_;
      report.inTime_ += report.waiting_;
    }
    report.byLabel_ = ReadRows(aJson.at("labels"));
    report.byRack_ = ReadRows(aJson.at("racks"));
    report.arrivingCpu_ = aJson.at("arriving");
    report.minVms_ = ReadCount(aJson.at("least"));
    for (const Json& row : aJson.at("targets")) {
      // Earlier versions leave out whether the roster names the target.
      bool inRoster = row.size() > 4 && row.at(4).get<bool>();
      report.targets_.push_back({ row.at(0),
                                  ReadCount(row.at(1)),
                                  ReadCount(row.at(2)),
                                  row.at(3),
                                  inRoster });
    }
    // Earlier versions leave it out.
    if (auto emptyIn = aJson.find("empty_in_ms"); emptyIn != aJson.end()) {
      for (std::size_t i = 0; i < report.targets_.size(); ++i) {
        report.targets_[i].emptyIn_ =
          Millis(IntegerOf(emptyIn->at(i), kAmount));
      }
    }
    if (auto rows = aJson.find("unanswered"); rows != aJson.end()) {
      for (const Json& row : *rows) {
        report.unanswered_.push_back({ row.at(0), row.at(1) });
      }
    }
    if (auto caps = aJson.find("caps"); caps != aJson.end()) {
      report.caps_ = CapReportFrom(*caps);
    }
    return report;
  };
  return ReadJson<PoolReport>(
    aText, kOwnDocument, "decode a pool report", "", read);
}

} // namespace coltsfootshed
