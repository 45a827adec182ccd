// JSON form in which entry VMs exchange pool reports.
#include "coltsfootshed/Pools/PoolPlanner.h"

#include <nlohmann/json.hpp>

namespace coltsfootshed {

using Json = nlohmann::json;

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
    byName[row.at(0)] = { row.at(1), row.at(2), 0 };
  }
  return byName;
}

std::string EncodeReport(const PoolReport& aReport)
{
  Json targets = Json::array();
  for (const TargetUse& use : aReport.targets_) {
    targets.push_back(
      { use.target_, use.runs_, use.longRunning_, use.vacating_ });
  }
  Json json = {
    { "service", aReport.service_ },
    { "used", { aReport.used_.cpu_, aReport.used_.memory_ } },
    { "lasting", { aReport.longRunning_.cpu_, aReport.longRunning_.memory_ } },
    { "waiting", { aReport.waiting_.cpu_, aReport.waiting_.memory_ } },
    { "labels", RowsOf(aReport.byLabel_) },
    { "racks", RowsOf(aReport.byRack_) },
    { "arriving", aReport.arrivingCpu_ },
    { "least", aReport.minVms_ },
    { "targets", targets }
  };
  return json.dump();
}

Result<PoolReport> DecodeReport(std::string_view aText)
{
  try {
    Json json = Json::parse(aText);
    PoolReport report;
    report.service_ = json.at("service");
    report.used_.cpu_ = json.at("used").at(0);
    report.used_.memory_ = json.at("used").at(1);
    report.longRunning_.cpu_ = json.at("lasting").at(0);
    report.longRunning_.memory_ = json.at("lasting").at(1);
    report.waiting_.cpu_ = json.at("waiting").at(0);
    report.waiting_.memory_ = json.at("waiting").at(1);
    report.byLabel_ = ReadRows(json.at("labels"));
    report.byRack_ = ReadRows(json.at("racks"));
    report.arrivingCpu_ = json.at("arriving");
    report.minVms_ = json.at("least");
    for (const Json& row : json.at("targets")) {
      report.targets_.push_back({ row.at(0), row.at(1), row.at(2), row.at(3) });
    }
    return report;
  } catch (const Json::exception& failure) {
    return Fail("decode pool report", "", failure.what());
  }
}

} // namespace coltsfootshed
