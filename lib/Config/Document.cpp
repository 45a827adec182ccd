#include "coltsfootshed/Config/Document.h"

#include <algorithm>
#include <array>

namespace coltsfootshed {

static constexpr std::array<std::string_view, kClassCount> kClassNames = {
  "urgent",
  "standard",
  "background"
};
/// The first choice is the default.
static constexpr std::array<std::string_view, kClassCount>
  kClassesDefaultFirst = { "standard", "urgent", "background" };

std::string_view ClassName(RequestClass aClass)
{
  return kClassNames.at(static_cast<std::size_t>(aClass));
}

std::optional<RequestClass> ClassFromName(std::string_view aName)
{
  for (std::size_t i = 0; i < kClassCount; ++i) {
    if (kClassNames.at(i) == aName) {
      return static_cast<RequestClass>(i);
    }
  }
  return std::nullopt;
}

static PoolSpec ReadPool(TableReader& aReader)
{
  PoolSpec pool;
  pool.vms_ = aReader.Texts("vms");
  pool.drain_ = aReader.Texts("drain");
  pool.maxUnavailable_ = aReader.Int("max_unavailable", { 0, 10000, 1 });
  pool.spare_ = aReader.Bool("spare", false);
  for (const std::string& vm : pool.drain_) {
    if (std::find(pool.vms_.begin(), pool.vms_.end(), vm) == pool.vms_.end()) {
      aReader.Report("drain", "members of the pool, and " + vm + " is not one");
    }
  }
  auto drained = static_cast<std::int64_t>(pool.drain_.size());
  if (drained > pool.maxUnavailable_) {
    aReader.Report("drain", "at most max_unavailable members");
  }
  auto size = static_cast<std::int64_t>(pool.vms_.size());
  if (!pool.vms_.empty() && pool.maxUnavailable_ > size) {
    aReader.Report("max_unavailable", "at most the pool's number of VMs");
  }
  return pool;
}

static ServiceSpec ReadService(TableReader& aReader)
{
  ServiceSpec service;
  service.pool_ = aReader.RequiredText("pool");
  std::string className = aReader.Choice("class", kClassesDefaultFirst);
  service.class_ = ClassFromName(className).value_or(RequestClass::Standard);
  service.idempotent_ = aReader.OptionalBool("idempotent");
  service.slots_ = aReader.Int("slots", { 1, 1024, 8 });
  service.connections_ = aReader.Int("connections", { 1, 4096, 64 });
  service.queueLimit_ = aReader.Int("queue_limit", { 1, 100000, 256 });
  service.deadline_ = Millis(aReader.Int("deadline_ms", { 1, 600000, 10000 }));
  service.usualResponseTime_ =
    Millis(aReader.Int("usual_ms", { 1, 600000, 1000 }));
  service.retryRatio_ = aReader.Fraction("retry_ratio", 0.1);
  service.probePath_ = aReader.Text("probe_path", "/healthz");
  if (service.connections_ < service.slots_) {
    aReader.Report("connections", "at least as many connections as slots");
  }
  if (!service.probePath_.starts_with('/')) {
    aReader.Report("probe_path", "a path that starts with /");
  }
  return service;
}

static TenantSpec ReadTenant(TableReader& aReader)
{
  TenantSpec tenant;
  tenant.weight_ = aReader.Int("weight", { 1, 1000, 1 });
  return tenant;
}

static WaveSpec ReadWave(TableReader& aReader)
{
  WaveSpec wave;
  wave.pools_ = aReader.Texts("pools");
  wave.racks_ = aReader.Texts("racks");
  wave.paused_ = aReader.Bool("paused", false);
  return wave;
}

/// Reads every table under aKey with aRead.
template<typename Spec>
static std::map<std::string, Spec, std::less<>> ReadAll(
  TableReader& aRoot,
  std::string_view aKey,
  std::vector<Fault>& aFaults,
  Spec (*aRead)(TableReader&))
{
  std::map<std::string, Spec, std::less<>> specs;
  for (const auto& [name, table] : aRoot.Tables(aKey)) {
    TableReader reader(*table, aRoot.PathOf(aKey) + "." + name, aFaults);
    specs.emplace(name, aRead(reader));
    reader.Finish();
  }
  return specs;
}

static void CheckPoolNames(const toml::table& aRoot,
                           const Document& aDocument,
                           std::vector<Fault>& aFaults)
{
  for (const auto& [name, service] : aDocument.services_) {
    if (aDocument.pools_.contains(service.pool_)) {
      continue;
    }
    const toml::node* node = aRoot["services"][name]["pool"].node();
    std::uint32_t line = node == nullptr ? 0 : node->source().begin.line;
    aFaults.push_back(
      { line, "services." + name + ".pool", "the name of a pool" });
  }
}

static void CheckWavePools(const toml::table& aRoot,
                           const Document& aDocument,
                           std::vector<Fault>& aFaults)
{
  for (const auto& [name, wave] : aDocument.waves_) {
    for (const std::string& pool : wave.pools_) {
      if (aDocument.pools_.contains(pool)) {
        continue;
      }
      const toml::node* node = aRoot["waves"][name]["pools"].node();
      aFaults.push_back({ node->source().begin.line,
                          "waves." + name + ".pools",
                          "names of pools, and " + pool + " is not one" });
    }
  }
}

static void CheckOnePoolPerVm(const toml::table& aRoot,
                              const Document& aDocument,
                              std::vector<Fault>& aFaults)
{
  std::map<std::string, std::string> owner;
  for (const auto& [name, pool] : aDocument.pools_) {
    for (const std::string& vm : pool.vms_) {
      auto [entry, added] = owner.emplace(vm, name);
      if (added) {
        continue;
      }
      const toml::node* node = aRoot["pools"][name]["vms"].node();
      aFaults.push_back({ node->source().begin.line,
                          "pools." + name + ".vms",
                          "each VM in one pool once, and " + vm +
                            " is already in pools." + entry->second });
    }
  }
}

tl::expected<Document, std::vector<Fault>> ReadDocument(std::string_view aText)
{
  std::vector<Fault> faults;
  auto parsed = ParseToml(aText, "document", faults);
  if (!parsed) {
    return tl::unexpected(faults);
  }
  const toml::table& root = *parsed;
  TableReader reader(root, "", faults);
  Document document;
  document.site_ = reader.RequiredText("site");
  document.reserveWeight_ = reader.Fraction("reserve_weight", 0.5);
  document.pools_ = ReadAll(reader, "pools", faults, &ReadPool);
  document.services_ = ReadAll(reader, "services", faults, &ReadService);
  document.tenants_ = ReadAll(reader, "tenants", faults, &ReadTenant);
  document.waves_ = ReadAll(reader, "waves", faults, &ReadWave);
  reader.Finish();
  CheckPoolNames(root, document, faults);
  CheckWavePools(root, document, faults);
  CheckOnePoolPerVm(root, document, faults);
  if (faults.empty()) {
    return document;
  }
  std::stable_sort(
    faults.begin(), faults.end(), [](const Fault& aLeft, const Fault& aRight) {
      return aLeft.line_ < aRight.line_;
    });
  return tl::unexpected(faults);
}

} // namespace coltsfootshed
