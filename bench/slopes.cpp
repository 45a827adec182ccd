/// \file
/// Measures how each role's processor time, message sizes and memory grow
/// with the size of the fleet, without other processes. Prints one table per
/// role; docs/CAPACITY.md uses these figures.

#include "Peers/Wire.h"
#include "coltsfootshed/Admission/ServiceQueue.h"
#include "coltsfootshed/Config/ActiveConfig.h"
#include "coltsfootshed/Fleet/FleetPlanner.h"
#include "coltsfootshed/Membership/PeerTable.h"
#include "coltsfootshed/Metrics/RequestMetrics.h"
#include "coltsfootshed/Platform/PlatformClient.h"
#include "coltsfootshed/Requests/Dispatcher.h"
#include "coltsfootshed/Routing/SlotShares.h"

#include <array>
#include <capnp/message.h>
#include <capnp/serialize.h>
#include <cstdio>
#include <ctime>
#include <functional>
#include <malloc.h>

using namespace coltsfootshed;

/// Fractions of the full fleet, whose size the constants below give.
static constexpr std::array<double, 4> kFleetFractions = { 0.25,
                                                           0.5,
                                                           0.75,
                                                           1.0 };
static constexpr int kWorkers = 6500;
static constexpr int kPools = 67;
static constexpr int kTenants = 240;
static constexpr int kDataCentres = 21;
static constexpr int kEntriesPerDataCentre = 3;

/// Returns the fraction of a number, at least 1.
static int FractionOf(int aWhole, double aFraction)
{
  return std::max(1, static_cast<int>(aWhole * aFraction));
}

/// Returns the processor time of one run of aWork in microseconds, averaged
/// over at least 100 ms.
static double CpuMicros(const std::function<void()>& aWork)
{
  constexpr double kMinSeconds = 0.1;
  std::clock_t start = std::clock();
  int runs = 0;
  double seconds = 0;
  while (seconds < kMinSeconds) {
    aWork();
    ++runs;
    seconds = double(std::clock() - start) / CLOCKS_PER_SEC;
  }
  return seconds * 1e6 / runs;
}

/// Returns the number of kilobytes that are allocated on the heap.
static double HeapKb()
{
  return double(mallinfo2().uordblks) / 1024.0;
}

static std::string VmName(int aIndex)
{
  return "dc" + std::to_string(aIndex % kDataCentres) + "-vm-" +
         std::to_string(aIndex);
}

static std::string MakeDocument(double aFraction)
{
  int pools = FractionOf(kPools, aFraction);
  int workers = FractionOf(kWorkers, aFraction);
  std::string text = "site = \"large\"\n";
  for (int pool = 0; pool < pools; ++pool) {
    std::string name = "pool" + std::to_string(pool);
    text += "[pools." + name + "]\nmax_unavailable = 3\nvms = [\n";
    for (int vm = pool; vm < workers; vm += pools) {
      text += "  \"" + VmName(vm) + "\",\n";
    }
    text += "]\n[services." + name + "]\npool = \"" + name + "\"\n";
  }
  for (int tenant = 0; tenant < FractionOf(kTenants, aFraction); ++tenant) {
    text += "[tenants.team" + std::to_string(tenant) + "]\nweight = 2\n";
  }
  return text;
}

static void MeasureConfiguration()
{
  std::printf("\nconfiguration\n%8s %10s %10s %12s %12s %10s %10s\n",
              "workers",
              "doc KB",
              "head KB",
              "parse ms",
              "change KB",
              "adopt ms",
              "held KB");
  for (double fraction : kFleetFractions) {
    std::string text = MakeDocument(fraction);
    double before = HeapKb();
    ActiveConfig active;
    Head head;
    Sections sections = BuildSections(text, head);
    head.version_ = 1;
    active.Adopt(head, sections).value();
    double held = HeapKb() - before;
    std::string edited = text;
    edited.replace(
      edited.find("max_unavailable = 3"), 19, "max_unavailable = 2");
    Head next;
    Sections nextSections = BuildSections(edited, next);
    std::size_t changed = next.ToJson().size();
    for (const auto& [digest, piece] : nextSections) {
      changed += sections.contains(digest) ? 0 : piece.size();
    }
    double parse = CpuMicros([&] { (void)ReadDocument(text); });
    double adopt = CpuMicros([&] {
      ActiveConfig fresh;
      (void)fresh.Adopt(head, sections);
    });
    std::printf("%8d %10.0f %10.1f %12.1f %12.1f %10.1f %10.0f\n",
                FractionOf(kWorkers, fraction),
                double(text.size()) / 1024,
                double(head.ToJson().size()) / 1024,
                parse / 1000,
                double(changed) / 1024,
                adopt / 1000,
                held);
  }
}

static NodeReport MakeReport(int aServices, int aLeavingMarks)
{
  NodeReport report;
  report.self_ = { "entry-dc1-1", "dc1", { "10.0.0.1", 7800 } };
  for (int i = 0; i < aServices; ++i) {
    report.loads_["pool" + std::to_string(i)] = { i, 100 - i };
  }
  for (int i = 0; i < aLeavingMarks; ++i) {
    report.marks_.push_back({ VmName(i), 12345 });
  }
  for (int i = 0; i < 4; ++i) {
    report.known_.push_back(report.self_);
  }
  return report;
}

static void MeasureExchange()
{
  std::printf("\npeers' exchange\n%8s %8s %12s %12s %12s\n",
              "services",
              "marks",
              "bytes",
              "encode us",
              "decode us");
  for (double fraction : kFleetFractions) {
    int services = FractionOf(kPools, fraction);
    int marks = FractionOf(20, fraction);
    NodeReport report = MakeReport(services, marks);
    capnp::MallocMessageBuilder message;
    WriteReport(report, message.initRoot<wire::Report>());
    std::size_t bytes =
      capnp::computeSerializedSizeInWords(message) * sizeof(capnp::word);
    double encode = CpuMicros([&] {
      capnp::MallocMessageBuilder fresh;
      WriteReport(report, fresh.initRoot<wire::Report>());
    });
    double decode = CpuMicros(
      [&] { (void)ReadReport(message.getRoot<wire::Report>().asReader()); });
    std::printf(
      "%8d %8d %12zu %12.1f %12.1f\n", services, marks, bytes, encode, decode);
  }
}

static void MeasureMembership()
{
  std::printf("\nmembership (VM list of one data centre; reports of peers)\n"
              "%8s %10s %12s %10s %10s %12s\n",
              "VMs",
              "list KB",
              "merge us",
              "held KB",
              "peers",
              "peers KB");
  for (double fraction : kFleetFractions) {
    int count = FractionOf(kWorkers / kDataCentres, fraction);
    std::vector<VmRecord> list;
    for (int i = 0; i < count; ++i) {
      VmRecord record;
      record.name_ = VmName(i);
      record.dataCentre_ = "dc1";
      record.rack_ = "rack-" + std::to_string(i / 4);
      record.endpoint_ = { "10.0.0.1", 8000 };
      record.revision_ = 1000 + i;
      list.push_back(record);
    }
    double before = HeapKb();
    VmTable table;
    table.MergeList(list);
    double held = HeapKb() - before;
    double merge = CpuMicros([&] { table.MergeList(list); });
    SteadyClock clock;
    int peers = FractionOf(kDataCentres * kEntriesPerDataCentre, fraction);
    before = HeapKb();
    PeerTable peerTable(clock, { "me", "dc1", { "10.0.0.1", 1 } });
    for (int i = 0; i < peers; ++i) {
      NodeReport report = MakeReport(kPools, 0);
      report.self_.node_ = "entry-" + std::to_string(i);
      peerTable.Merge(report);
    }
    std::printf("%8d %10.1f %12.1f %10.0f %10d %12.0f\n",
                count,
                double(VmsToJson(1, list).size()) / 1024,
                merge,
                held,
                peers,
                HeapKb() - before);
  }
}

namespace {

/// Clients for a dispatcher without requests, which never calls them.
class NullClients final
  : public TargetClient
  , public PeerClient
{
public:
  AttemptId Start(const AttemptTarget&,
                  const HttpRequest&,
                  Millis,
                  bool,
                  AttemptEvents) override
  {
    return 0;
  }
  void Abandon(AttemptId) override {}
  bool MayHaveSent(AttemptId) const override { return false; }
  void Probe(const AttemptTarget&, std::function<void(bool)>) override {}
  void CloseIdle(const Endpoint&) override {}
  void HandOver(HandoverId, const std::string&, const CheckedRequest&) override
  {
  }
  void AnnounceLeaving(const LeavingMark&) override {}
};

/// Reports every VM as healthy, and every drain and reboot as finished.
class HealthyVms final : public VmObserver
{
public:
  bool IsFailed(std::string_view) const override { return false; }
  bool IsQuiet(std::string_view, std::uint64_t) const override { return true; }
  bool IsRebooted(std::string_view, std::string_view) const override
  {
    return true;
  }
  bool IsAnswering(std::string_view) const override { return true; }
};

} // namespace

/// Measures one tick of the dispatcher. The requests task ticks ten times a
/// second, whether or not there are requests.
static void MeasureTick()
{
  std::printf("\nrequest path without requests (one tick)\n"
              "%8s %8s %12s %14s\n",
              "workers",
              "pools",
              "tick us",
              "%% of a core");
  for (double fraction : kFleetFractions) {
    SteadyClock clock;
    NullClients clients;
    Dispatcher dispatcher(
      clock, { "me", "dc1", { "10.0.0.1", 1 } }, clients, clients);
    dispatcher.SetDocument(std::make_shared<const Document>(
      ReadDocument(MakeDocument(fraction)).value()));
    std::vector<VmRecord> list;
    int workers = FractionOf(kWorkers, fraction);
    for (int i = 1; i < workers; i += kDataCentres) {
      VmRecord record;
      record.name_ = VmName(i);
      record.dataCentre_ = "dc1";
      record.endpoint_ = { "10.0.0.1", 8000 };
      record.revision_ = 1;
      list.push_back(record);
    }
    dispatcher.MergeVms(list);
    double micros = CpuMicros([&] { dispatcher.OnTick(); });
    std::printf("%8d %8d %12.0f %14.2f\n",
                workers,
                FractionOf(kPools, fraction),
                micros,
                micros * 10 / 1e6 * 100);
  }
}

/// Measures one read of the fleet records and one planning step of a fleet
/// controller that has nothing to do.
static void MeasureFleetController()
{
  std::printf("\nsteward (one data centre)\n%8s %12s %12s %12s\n",
              "VMs",
              "records KB",
              "parse us",
              "plan us");
  for (double fraction : kFleetFractions) {
    int workers = FractionOf(kWorkers, fraction);
    Document document = ReadDocument(MakeDocument(fraction)).value();
    FleetState fleet;
    LocalVms local;
    int pools = FractionOf(kPools, fraction);
    for (int i = 1; i < workers; i += kDataCentres) {
      FleetVm& entry = fleet.vms_[VmName(i)];
      entry.pool_ = "pool" + std::to_string(i % pools);
      entry.fence_ = i;
      local[VmName(i)] = "rack";
    }
    std::string text = fleet.ToJson();
    HealthyVms observer;
    double parse = CpuMicros([&] { (void)FleetFromJson(text); });
    double plan = CpuMicros([&] {
      FleetPlanner planner(document, "dc1", observer, local);
      (void)planner.Next(fleet, {});
    });
    std::printf("%8zu %12.1f %12.0f %12.0f\n",
                fleet.vms_.size(),
                double(text.size()) / 1024,
                parse,
                plan);
  }
}

static void MeasureShares()
{
  std::printf("\nslot shares (one service, 3 entry VMs)\n%8s %12s\n",
              "targets",
              "compute us");
  for (int targets : { 5, 20, 80, 310 }) {
    Demands demands = { { "a", 10 }, { "b", 500 }, { "c", 90 } };
    double micros =
      CpuMicros([&] { (void)SlotsPerTarget(demands, "b", targets, 8); });
    std::printf("%8d %12.2f\n", targets, micros);
  }
}

static void MeasureAdmission()
{
  std::printf("\nadmission (offer, take and finish of one request)\n"
              "%8s %10s %12s %14s\n",
              "waiting",
              "tenants",
              "micros",
              "bytes waiting");
  for (int waiting : { 64, 256, 1024, 4096 }) {
    SteadyClock clock;
    double before = HeapKb();
    ServiceQueue queue(clock, 1000000);
    queue.SetSlots(8);
    RequestId last = 0;
    auto offer = [&] {
      Millis now = clock.Now();
      ++last;
      queue.Offer({ last,
                    RequestClass::Standard,
                    "team" + std::to_string(last % kTenants),
                    1,
                    now,
                    now + Millis(600000),
                    false });
    };
    for (int i = 0; i < waiting; ++i) {
      offer();
    }
    double bytes = (HeapKb() - before) * 1024 / waiting;
    std::vector<RequestId> dropped;
    double micros = CpuMicros([&] {
      offer();
      auto next = queue.TakeNext(dropped);
      queue.OnFinished(next->class_, Millis(5));
    });
    std::printf("%8d %10d %12.2f %14.0f\n", waiting, kTenants, micros, bytes);
  }
}

static void MeasureMetrics()
{
  std::printf("\nmetrics\n%8s %8s %12s %12s %12s %12s\n",
              "tenants",
              "series",
              "count ns",
              "held KB",
              "scrape ms",
              "scrape KB");
  for (double fraction : kFleetFractions) {
    int tenants = FractionOf(kTenants, fraction);
    double before = HeapKb();
    RequestMetrics metrics;
    for (int i = 0; i < tenants * int(kClassCount); ++i) {
      metrics.Count("team" + std::to_string(i / int(kClassCount)),
                    static_cast<RequestClass>(i % int(kClassCount)),
                    Outcome::Answered,
                    { Millis(1), Millis(5), Millis(6) });
    }
    double held = HeapKb() - before;
    double count = CpuMicros([&] {
      metrics.Count("team1",
                    RequestClass::Urgent,
                    Outcome::Answered,
                    { Millis(1), Millis(5), Millis(6) });
    });
    double scrape = CpuMicros([&] { (void)metrics.ToPrometheus(); });
    std::printf("%8d %8zu %12.0f %12.0f %12.1f %12.0f\n",
                tenants,
                metrics.SeriesCount(),
                count * 1000,
                held,
                scrape / 1000,
                double(metrics.ToPrometheus().size()) / 1024);
  }
}

int main()
{
  MeasureConfiguration();
  MeasureExchange();
  MeasureMembership();
  MeasureTick();
  MeasureFleetController();
  MeasureShares();
  MeasureAdmission();
  MeasureMetrics();
  return 0;
}
