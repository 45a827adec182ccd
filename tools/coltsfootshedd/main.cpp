/// \file
/// The daemon of an entry VM: reads its settings and runs the three tasks that
/// serve requests or, with --platform, the node that schedules jobs.

#include "Documents.h"
#include "PlatformNode.h"
#include "coltsfootshed/Fleet/FleetTask.h"
#include "coltsfootshed/Peers/PeersTask.h"
#include "coltsfootshed/Requests/RequestsTask.h"
#include "coltsfootshed/Support/File.h"
#include "coltsfootshed/Support/OptionText.h"

#include <csignal>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <popt.h>
#include <pthread.h>
#include <spdlog/pattern_formatter.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>
#include <thread>

using namespace coltsfootshed;

static constexpr int kExitOk = 0;
static constexpr int kExitFailed = 1;
static constexpr int kExitBadInput = 2;

namespace {

struct Options
{
  std::string settingsPath_;
  bool onPlatform_ = false; ///< schedule jobs, with the platform's settings
  bool checkOnly_ = false;
  bool showVersion_ = false;
};

} // namespace

static std::optional<Options> ReadOptions(int aCount, const char** aArguments)
{
  char* settings = nullptr;
  int onPlatform = 0;
  int check = 0;
  int version = 0;
  poptOption table[] = {
    { "settings", 's', POPT_ARG_STRING, &settings, 0, "settings file", "FILE" },
    { "platform",
      'p',
      POPT_ARG_NONE,
      &onPlatform,
      0,
      "schedule jobs on the platform; its settings file is named by "
      "COLTSFOOTSHED_NODE_FILE or --settings",
      nullptr },
    { "check",
      0,
      POPT_ARG_NONE,
      &check,
      0,
      "only check the settings",
      nullptr },
    { "version", 0, POPT_ARG_NONE, &version, 0, "print the version", nullptr },
    POPT_AUTOHELP POPT_TABLEEND
  };
  poptContext context =
    poptGetContext("coltsfootshedd", aCount, aArguments, table, 0);
  int end = poptGetNextOpt(context);
  std::string badOption = end < -1 ? poptBadOption(context, 0) : "";
  poptFreeContext(context);
  if (end < -1) {
    std::fprintf(stderr, "%s: %s\n", badOption.c_str(), poptStrerror(end));
    return std::nullopt;
  }
  Options options;
  options.settingsPath_ = TakeOptionText(settings);
  options.onPlatform_ = onPlatform != 0;
  options.checkOnly_ = check != 0;
  options.showVersion_ = version != 0;
  return options;
}

/// Reads a settings file and parses it with aRead. Returns nothing after faults
/// were printed to standard error.
template<typename Read>
static auto LoadSettings(const std::string& aPath, const Read& aRead)
  -> std::optional<typename decltype(aRead(std::string_view()))::value_type>
{
  auto text = ReadFile(aPath);
  if (!text) {
    std::fprintf(stderr, "%s: cannot be read\n", aPath.c_str());
    return std::nullopt;
  }
  auto settings = aRead(*text);
  if (settings) {
    return *settings;
  }
  for (const Fault& fault : settings.error()) {
    std::fprintf(stderr, "%s: %s\n", aPath.c_str(), fault.Text().c_str());
  }
  return std::nullopt;
}

/// The admin token, empty if the settings name no token file, or nothing after
/// printing an error if the file cannot be read.
static std::optional<std::string> LoadToken(const Settings& aSettings)
{
  if (aSettings.adminTokenFile_.empty()) {
    return "";
  }
  auto token = ReadTokenFile(aSettings.adminTokenFile_);
  if (!token) {
    std::fprintf(stderr,
                 "%s: admin_token_file cannot be read\n",
                 aSettings.adminTokenFile_.c_str());
  }
  return token;
}

namespace {

/// Formats the text of a log line as a JSON string.
class JsonTextFormatter final : public spdlog::custom_flag_formatter
{
public:
  void format(const spdlog::details::log_msg& aMessage,
              const std::tm&,
              spdlog::memory_buf_t& aOut) override
  {
    std::string_view text(aMessage.payload.data(), aMessage.payload.size());
    std::string quoted = nlohmann::json(text).dump();
    aOut.append(quoted.data(), quoted.data() + quoted.size());
  }
  std::unique_ptr<custom_flag_formatter> clone() const override
  {
    return std::make_unique<JsonTextFormatter>();
  }
};

} // namespace

static std::unique_ptr<spdlog::formatter> JsonFormatter(
  const std::string& aNode)
{
  auto formatter = std::make_unique<spdlog::pattern_formatter>();
  formatter->add_flag<JsonTextFormatter>('*').set_pattern(
    "{\"time\":\"%Y-%m-%dT%H:%M:%S.%e\",\"level\":\"%l\",\"node\":\"" + aNode +
    "\",\"text\":%*}");
  return formatter;
}

static void StartLog(const Settings& aSettings)
{
  auto logger = spdlog::stderr_logger_mt("coltsfootshedd");
  logger->set_level(spdlog::level::from_str(aSettings.logLevel_));
  logger->flush_on(spdlog::level::info);
  if (aSettings.logJson_) {
    logger->set_formatter(JsonFormatter(aSettings.node_));
  } else {
    logger->set_pattern(
      "time=%Y-%m-%dT%H:%M:%S.%e level=%l node=" + aSettings.node_ + " %v");
  }
  spdlog::set_default_logger(logger);
}

/// Blocks the stop signals in this thread and those that it starts, so that
/// only sigwait() takes them, and ignores SIGPIPE. Returns the stop signals.
static sigset_t BlockSignals()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  signal(SIGPIPE, SIG_IGN);
  return signals;
}

static int RunDaemon(const Settings& aSettings, std::string aToken)
{
  sigset_t signals = BlockSignals();
  SteadyClock clock;
  Mailboxes mailboxes;
  RequestsTask requests(aSettings, clock, mailboxes);
  FleetTask fleet(aSettings, std::move(aToken), clock, mailboxes);
  PeersTask peers(aSettings, clock, mailboxes);
  for (const Result<void>& listening : { requests.Listen(), fleet.Listen() }) {
    if (!listening) {
      spdlog::error("event=start_failed error=\"{}\"",
                    listening.error().Text());
      return kExitFailed;
    }
  }
  std::thread requestsThread([&] { requests.Run(); });
  std::thread peersThread([&] { peers.Run(); });
  std::thread fleetThread([&] { fleet.Run(); });
  spdlog::info("event=started callers={} peers={} admin={}",
               aSettings.callers_.Text(),
               aSettings.peers_.Text(),
               aSettings.admin_.Text());
  std::thread signalThread([&] {
    int signal = 0;
    while (sigwait(&signals, &signal) == 0 && signal != 0) {
      mailboxes.fleet_.Post(StopRequested{});
    }
  });
  signalThread.detach();
  requestsThread.join();
  peersThread.join();
  fleetThread.join();
  spdlog::info("event=stopped");
  return kExitOk;
}

static int RunOnPlatform(const Options& aOptions)
{
  std::string path = aOptions.settingsPath_;
  if (path.empty()) {
    const char* environmentPath = std::getenv(platform::kSettingsVariable);
    path = environmentPath == nullptr ? "" : environmentPath;
  }
  auto settings = LoadSettings(path, platform::ReadNodeSettings);
  if (!settings) {
    return kExitBadInput;
  }
  if (aOptions.checkOnly_) {
    std::printf("%s: ok\n", path.c_str());
    return kExitOk;
  }
  return platform::RunPlatformNode(*settings);
}

int main(int aCount, char** aArguments)
{
  auto options = ReadOptions(aCount, const_cast<const char**>(aArguments));
  if (!options) {
    return kExitBadInput;
  }
  if (options->showVersion_) {
    std::printf("coltsfootshedd %s\n", COLTSFOOTSHED_VERSION);
    return kExitOk;
  }
  if (options->onPlatform_) {
    return RunOnPlatform(*options);
  }
  if (options->settingsPath_.empty()) {
    std::fprintf(stderr, "--settings FILE is needed\n");
    return kExitBadInput;
  }
  auto settings = LoadSettings(options->settingsPath_, ReadSettings);
  if (!settings) {
    return kExitBadInput;
  }
  auto token = LoadToken(*settings);
  if (!token) {
    return kExitBadInput;
  }
  if (options->checkOnly_) {
    std::printf("%s: ok\n", options->settingsPath_.c_str());
    return kExitOk;
  }
  StartLog(*settings);
  int code = RunDaemon(*settings, std::move(*token));
  // The thread that waits for signals is detached and never ends, so the
  // process exits without returning from main.
  std::fflush(nullptr);
  std::_Exit(code);
}
