#include "coltsfootshed/Platform/PlatformClient.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace coltsfootshed {

static constexpr Millis kCallTimeout{ 2000 };
static constexpr double kCallsPerSecond = 10.0;
static constexpr double kCallBurst = 50.0;
static constexpr std::size_t kMaxIdleConnections = 4;

PlatformClient::PlatformClient(event_base* aBase,
                               const Clock& aClock,
                               const Endpoint& aPlatform)
  : platform_(aPlatform)
  , rateLimiter_(aClock, kCallsPerSecond, kCallBurst)
  , httpClient_(aBase, aClock, kMaxIdleConnections)
{
}

void PlatformClient::Call(const HttpRequest& aRequest,
                          Millis aTimeout,
                          HttpClient::OnEnd aOnEnd)
{
  if (!rateLimiter_.TryTake()) {
    aOnEnd({ CallEnd::NotSent, {} });
    return;
  }
  ++calls_;
  httpClient_.Call(
    platform_, aRequest, aTimeout, Reuse::Any, std::move(aOnEnd));
}

/// Returns the revision from the answer's header, or 0 if it has none.
static std::uint64_t RevisionOf(const HttpAnswer& aAnswer)
{
  auto field = FindHeader(aAnswer.headers_, "Revision");
  return field ? std::strtoull(std::string(*field).c_str(), nullptr, 10) : 0;
}

void PlatformClient::ReadValue(std::string_view aOperation,
                               const std::string& aTarget,
                               Millis aTimeout,
                               OnValue aOnValue)
{
  auto onEnd = [operation = std::string(aOperation),
                peer = platform_.Text(),
                onValue = std::move(aOnValue)](CallResult aResult) {
    if (aResult.end_ != CallEnd::Answered) {
      onValue(Fail(operation, peer, "no answer"));
      return;
    }
    HttpAnswer& answer = aResult.answer_;
    if (answer.code_ == 404) {
      onValue(StoredValue{});
      return;
    }
    if (answer.code_ != 200) {
      onValue(Fail(operation, peer, "status " + std::to_string(answer.code_)));
      return;
    }
    onValue(StoredValue{ RevisionOf(answer), std::move(answer.body_) });
  };
  Call({ "GET", aTarget, {}, "" }, aTimeout, std::move(onEnd));
}

void PlatformClient::Get(std::string_view aKey, OnValue aOnValue)
{
  ReadValue("read platform key",
            "/kv/" + std::string(aKey),
            kCallTimeout,
            std::move(aOnValue));
}

void PlatformClient::Watch(std::string_view aKey,
                           std::uint64_t aRevision,
                           Millis aWait,
                           OnValue aOnValue)
{
  std::string target = "/kv/" + std::string(aKey) +
                       "?after=" + std::to_string(aRevision) +
                       "&wait_ms=" + std::to_string(aWait.count());
  ReadValue(
    "watch platform key", target, aWait + kCallTimeout, std::move(aOnValue));
}

void PlatformClient::Put(std::string_view aKey,
                         std::string aValue,
                         std::uint64_t aRevision,
                         OnWrite aOnWrite)
{
  std::string target =
    "/kv/" + std::string(aKey) + "?revision=" + std::to_string(aRevision);
  auto onEnd = [onWrite = std::move(aOnWrite)](const CallResult& aResult) {
    if (aResult.end_ != CallEnd::Answered) {
      onWrite(WriteResult::NoAnswer);
      return;
    }
    switch (aResult.answer_.code_) {
      case 200:
        onWrite(WriteResult::Written);
        return;
      case 409:
        onWrite(WriteResult::Mismatch);
        return;
      default:
        onWrite(WriteResult::NoAnswer);
    }
  };
  Call(
    { "PUT", target, {}, std::move(aValue) }, kCallTimeout, std::move(onEnd));
}

void PlatformClient::ListVms(std::string_view aDataCentre,
                             std::uint64_t aSince,
                             OnVms aOnVms)
{
  std::string target = "/vms?data_centre=" + std::string(aDataCentre) +
                       "&since=" + std::to_string(aSince);
  auto onEnd = [peer = platform_.Text(),
                onVms = std::move(aOnVms)](const CallResult& aResult) {
    bool answered =
      aResult.end_ == CallEnd::Answered && aResult.answer_.code_ == 200;
    if (!answered) {
      onVms(Fail("list VMs", peer, "no usable answer"));
      return;
    }
    onVms(VmsFromJson(aResult.answer_.body_));
  };
  Call({ "GET", target, {}, "" }, kCallTimeout, std::move(onEnd));
}

void PlatformClient::HoldLease(std::string_view aName,
                               std::string_view aHolder,
                               Millis aDuration,
                               OnHeld aOnHeld)
{
  std::string target = "/lease/" + std::string(aName) +
                       "?holder=" + std::string(aHolder) +
                       "&ttl_ms=" + std::to_string(aDuration.count());
  Call({ "POST", target, {}, "" },
       kCallTimeout,
       [onHeld = std::move(aOnHeld)](const CallResult& aResult) {
         onHeld(aResult.end_ == CallEnd::Answered &&
                aResult.answer_.code_ == 200);
       });
}

void PlatformClient::Reboot(std::string_view aVm,
                            std::string_view aRebootId,
                            std::function<void()> aOnEnd)
{
  std::string target =
    "/reboot/" + std::string(aVm) + "?operation=" + std::string(aRebootId);
  Call({ "POST", target, {}, "" },
       kCallTimeout,
       [onEnd = std::move(aOnEnd)](const CallResult&) { onEnd(); });
}

std::string VmsToJson(std::uint64_t aRevision,
                      std::span<const VmRecord> aRecords)
{
  nlohmann::json vms = nlohmann::json::array();
  for (const VmRecord& record : aRecords) {
    vms.push_back({ { "name", record.name_ },
                    { "data_centre", record.dataCentre_ },
                    { "rack", record.rack_ },
                    { "address", record.endpoint_.Text() },
                    { "leaving", record.leaving_ },
                    { "rebooted", record.lastRebootOperation_ },
                    { "revision", record.revision_ } });
  }
  return nlohmann::json{ { "revision", aRevision }, { "vms", vms } }.dump();
}

Result<VmListPage> VmsFromJson(std::string_view aJson)
{
  try {
    nlohmann::json json = nlohmann::json::parse(aJson);
    VmListPage page;
    json.at("revision").get_to(page.revision_);
    for (const nlohmann::json& item : json.at("vms")) {
      VmRecord record;
      item.at("name").get_to(record.name_);
      item.at("data_centre").get_to(record.dataCentre_);
      item.at("rack").get_to(record.rack_);
      item.at("leaving").get_to(record.leaving_);
      record.lastRebootOperation_ = item.value("rebooted", "");
      item.at("revision").get_to(record.revision_);
      auto endpoint = ParseEndpoint(item.at("address").get<std::string>());
      if (!endpoint) {
        return Fail(
          "read VM list", "", "invalid address of VM " + record.name_);
      }
      record.endpoint_ = *endpoint;
      page.vms_.push_back(std::move(record));
    }
    return page;
  } catch (const nlohmann::json::exception& error) {
    return Fail("read VM list", "", error.what());
  }
}

} // namespace coltsfootshed
