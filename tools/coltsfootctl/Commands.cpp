#include "Commands.h"

#include "coltsfootshed/Admin/AdminClient.h"
#include "coltsfootshed/Config/Document.h"
#include "coltsfootshed/Support/File.h"
#include "coltsfootshed/Support/Nearest.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <set>
#include <thread>

namespace coltsfootshed {

using Json = nlohmann::json;

static constexpr Millis kInForceTimeout{ 30000 };
static constexpr Millis kPollInterval{ 100 };

const char* CommandSummary()
{
  return "[OPTION...] COMMAND\n"
         "Commands:\n"
         "  config check FILE   check a document without submitting it\n"
         "  config submit FILE  submit a document edited from version --from\n"
         "  config show         print the document in force\n"
         "  status              print the state of one entry VM\n"
         "  vms                 print the VMs of its data centre\n"
         "  waves               print the progress of waves there\n"
         "  top                 print latency histograms per tenant and class\n"
         "Exit codes: 0 ok, 1 failed, 2 bad input, 3 conflict, 4 undecided";
}

/// Prints aError and returns the exit code.
static int PrintError(const Error& aError)
{
  std::fprintf(stderr, "%s\n", aError.Text().c_str());
  return kExitFailed;
}

static AdminClient MakeClient(const CommandContext& aContext)
{
  return { aContext.server_, aContext.token_ };
}

static int CheckConfig(const CommandContext& aContext, const std::string& aPath)
{
  auto text = ReadFile(aPath);
  if (!text) {
    std::fprintf(stderr, "%s: cannot be read\n", aPath.c_str());
    return kExitBadInput;
  }
  auto document = ReadDocument(*text);
  if (document) {
    std::printf(aContext.json_ ? "{\"faults\":[]}\n" : "ok\n");
    return kExitOk;
  }
  Json faults = Json::array();
  for (const Fault& fault : document.error()) {
    faults.push_back({ { "line", fault.line_ },
                       { "field", fault.field_ },
                       { "expected", fault.expected_ } });
    if (!aContext.json_) {
      std::fprintf(stderr, "%s: %s\n", aPath.c_str(), fault.Text().c_str());
    }
  }
  if (aContext.json_) {
    std::printf("%s\n", Json{ { "faults", faults } }.dump().c_str());
  }
  return kExitBadInput;
}

static Result<std::uint64_t> CurrentVersion(const AdminClient& aClient)
{
  auto answer = aClient.Call("GET", "/v1/config", "");
  if (!answer) {
    return tl::unexpected(answer.error());
  }
  auto field = FindHeader(answer->headers_, "Config-Version");
  return std::stoull(std::string(field.value_or("0")));
}

/// Waits until the server and each live peer that it reports have aVersion or a
/// later version in force. Returns the exit code.
static int WaitUntilInForce(const AdminClient& aClient, std::uint64_t aVersion)
{
  for (Millis waited(0); waited < kInForceTimeout; waited += kPollInterval) {
    auto answer = aClient.Call("GET", "/v1/status", "");
    Json status =
      answer ? Json::parse(answer->body_, nullptr, false) : Json::object();
    if (status.is_object() && status.value("version", 0ULL) >= aVersion) {
      const Json& peers = status["requests"]["live_peers"];
      bool all =
        std::all_of(peers.begin(), peers.end(), [&](const Json& aPeer) {
          return aPeer.value("version", 0ULL) >= aVersion;
        });
      if (all) {
        std::printf("in force on %zu entry VMs\n", peers.size() + 1);
        return kExitOk;
      }
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  std::fprintf(stderr, "not in force everywhere after 30 s\n");
  return kExitFailed;
}

/// Replaces each character that could be special in a query by an underscore.
static std::string SanitizeForQuery(const std::string& aText)
{
  std::string out;
  for (char character : aText) {
    bool isAllowed = std::isalnum(static_cast<unsigned char>(character)) != 0 ||
                     character == '-' || character == '.' || character == '_';
    out += isAllowed ? character : '_';
  }
  return out;
}

static int SubmitConfig(const CommandContext& aContext,
                        const std::string& aPath)
{
  int checked = CheckConfig(aContext, aPath);
  if (checked != kExitOk) {
    return checked;
  }
  AdminClient client = MakeClient(aContext);
  auto from = static_cast<std::uint64_t>(aContext.fromVersion_);
  if (aContext.fromVersion_ < 0) {
    auto current = CurrentVersion(client);
    if (!current) {
      return PrintError(current.error());
    }
    from = *current;
  }
  auto answer = client.Call("POST",
                            "/v1/config?from=" + std::to_string(from) +
                              "&author=" + SanitizeForQuery(aContext.author_),
                            *ReadFile(aPath));
  if (!answer) {
    return PrintError(answer.error());
  }
  std::printf("%s", answer->body_.c_str());
  switch (answer->code_) {
    case 200:
      break;
    case 409:
      std::fprintf(stderr,
                   "another change was accepted since version %llu\n",
                   static_cast<unsigned long long>(from));
      return kExitConflict;
    case 504:
      std::fprintf(stderr,
                   "the platform gave no answer; run config show, and submit "
                   "again from the same version\n");
      return kExitUndecided;
    default:
      return kExitFailed;
  }
  if (!aContext.wait_) {
    return kExitOk;
  }
  Json json = Json::parse(answer->body_);
  return WaitUntilInForce(client, json.value("version", 0ULL));
}

/// Prints the body of the answer to a GET of aPath. Returns the exit code.
static int PrintAnswer(const CommandContext& aContext, const char* aPath)
{
  auto answer = MakeClient(aContext).Call("GET", aPath, "");
  if (!answer) {
    return PrintError(answer.error());
  }
  std::printf("%s", answer->body_.c_str());
  return answer->code_ == 200 ? kExitOk : kExitFailed;
}

static int ShowConfig(const CommandContext& aContext, const std::string&)
{
  return PrintAnswer(aContext, "/v1/config");
}

static int ShowStatus(const CommandContext& aContext, const std::string&)
{
  if (aContext.json_) {
    return PrintAnswer(aContext, "/v1/status");
  }
  auto answer = MakeClient(aContext).Call("GET", "/v1/status", "");
  if (!answer) {
    return PrintError(answer.error());
  }
  Json status = Json::parse(answer->body_, nullptr, false);
  if (!status.is_object()) {
    return kExitFailed;
  }
  std::printf("node %s in %s, config version %llu, last platform answer "
              "%lld ms ago, %zu live peers\n",
              status["node"].get<std::string>().c_str(),
              status["data_centre"].get<std::string>().c_str(),
              status["version"].get<unsigned long long>(),
              status["platform_age_ms"].get<long long>(),
              status["requests"]["live_peers"].size());
  std::printf("%-16s %6s %8s %8s\n", "service", "slots", "running", "waiting");
  for (const auto& [name, item] : status["requests"]["services"].items()) {
    std::printf("%-16s %6lld %8lld %8lld\n",
                name.c_str(),
                item["slots"].get<long long>(),
                item["running"].get<long long>(),
                item["waiting"].get<long long>());
  }
  return kExitOk;
}

/// The answer of /v1/fleet, or nothing if there is none or it is not a JSON
/// object. Prints an error only if the call fails.
static std::optional<Json> FetchFleet(const CommandContext& aContext)
{
  auto answer = MakeClient(aContext).Call("GET", "/v1/fleet", "");
  if (!answer) {
    PrintError(answer.error());
    return std::nullopt;
  }
  Json fleet = Json::parse(answer->body_, nullptr, false);
  if (!fleet.is_object()) {
    return std::nullopt;
  }
  return fleet;
}

static int ShowVms(const CommandContext& aContext, const std::string&)
{
  if (aContext.json_) {
    return PrintAnswer(aContext, "/v1/fleet");
  }
  auto fleet = FetchFleet(aContext);
  if (!fleet) {
    return kExitFailed;
  }
  std::printf("%-24s %-16s %-10s %s\n", "vm", "pool", "state", "operation");
  for (const auto& [name, item] : (*fleet)["records"]["vms"].items()) {
    std::printf("%-24s %-16s %-10s %s\n",
                name.c_str(),
                item["pool"].get<std::string>().c_str(),
                item["state"].get<std::string>().c_str(),
                item["operation"].get<std::string>().c_str());
  }
  return kExitOk;
}

static int ShowWaves(const CommandContext& aContext, const std::string&)
{
  auto fleet = FetchFleet(aContext);
  if (!fleet) {
    return kExitFailed;
  }
  const Json& vms = (*fleet)["records"]["vms"];
  std::printf("%-24s %-8s %6s %8s\n", "wave", "paused", "done", "running");
  for (const auto& [wave, item] : (*fleet)["waves"].items()) {
    int done = 0;
    int running = 0;
    for (const auto& [name, vm] : vms.items()) {
      auto in = vm["waves"].get<std::set<std::string>>();
      done += in.contains(wave) ? 1 : 0;
      running += vm["operation"] == "wave/" + wave ? 1 : 0;
    }
    std::printf("%-24s %-8s %6d %8d\n",
                wave.c_str(),
                item["paused"].get<bool>() ? "yes" : "no",
                done,
                running);
  }
  return kExitOk;
}

/// Prints a bar for each bucket that is not empty. A bucket is a pair of its
/// upper bound in milliseconds, which the last bucket lacks, and its count.
static void PrintHistogram(const Json& aBuckets)
{
  constexpr std::size_t kWidth = 50;
  std::uint64_t largestCount = 1;
  for (const Json& bucket : aBuckets) {
    largestCount = std::max(largestCount, bucket[1].get<std::uint64_t>());
  }
  for (const Json& bucket : aBuckets) {
    auto count = bucket[1].get<std::uint64_t>();
    if (count == 0) {
      continue;
    }
    std::string bar(std::max<std::size_t>(1, count * kWidth / largestCount),
                    '#');
    std::string bound =
      bucket[0].is_number()
        ? std::to_string(std::llround(bucket[0].get<double>()))
        : "more";
    std::printf("  < %8s ms %10llu %s\n",
                bound.c_str(),
                static_cast<unsigned long long>(count),
                bar.c_str());
  }
}

static int ShowTop(const CommandContext& aContext, const std::string&)
{
  if (aContext.json_) {
    return PrintAnswer(aContext, "/v1/histograms");
  }
  auto answer = MakeClient(aContext).Call("GET", "/v1/histograms", "");
  if (!answer) {
    return PrintError(answer.error());
  }
  Json all = Json::parse(answer->body_, nullptr, false);
  for (const Json& series : all) {
    std::string tenant = series["tenant"].get<std::string>();
    std::printf("tenant %s, class %s, outcomes %s, whole time:\n",
                tenant.empty() ? "(none)" : tenant.c_str(),
                series["class"].get<std::string>().c_str(),
                series["outcomes"].dump().c_str());
    PrintHistogram(series["whole"]);
  }
  return kExitOk;
}

namespace {

struct Command
{
  const char* name_;
  bool takesFile_;
  int (*run_)(const CommandContext&, const std::string&);
};

} // namespace

static constexpr std::array<Command, 7> kCommands = {
  { { "config check", true, &CheckConfig },
    { "config submit", true, &SubmitConfig },
    { "config show", false, &ShowConfig },
    { "status", false, &ShowStatus },
    { "vms", false, &ShowVms },
    { "waves", false, &ShowWaves },
    { "top", false, &ShowTop } }
};

static int PrintUnknownCommand(const std::string& aName)
{
  std::set<std::string, std::less<>> known;
  for (const Command& command : kCommands) {
    known.insert(command.name_);
  }
  std::string nearest = Nearest(aName, known);
  std::string hint =
    nearest.empty() ? "; see --help" : "; did you mean \"" + nearest + "\"?";
  std::fprintf(stderr, "no command \"%s\"%s\n", aName.c_str(), hint.c_str());
  return kExitBadInput;
}

int RunCommand(const CommandContext& aContext,
               const std::vector<std::string>& aWords)
{
  std::string name = aWords.empty() ? "" : aWords.front();
  std::size_t nameWords = std::min<std::size_t>(1, aWords.size());
  if (name == "config" && aWords.size() > 1) {
    name += " " + aWords[1];
    nameWords = 2;
  }
  for (const Command& command : kCommands) {
    if (name != command.name_) {
      continue;
    }
    std::size_t expected = nameWords + (command.takesFile_ ? 1 : 0);
    if (aWords.size() != expected) {
      std::fprintf(stderr,
                   "%s: expected %s\n",
                   command.name_,
                   command.takesFile_ ? "one FILE" : "no argument");
      return kExitBadInput;
    }
    return command.run_(aContext, command.takesFile_ ? aWords.back() : "");
  }
  return PrintUnknownCommand(name);
}

} // namespace coltsfootshed
