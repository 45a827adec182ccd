/// \file
/// The operators' tool: reads its command line and runs one command.

#include "Commands.h"
#include "coltsfootshed/Support/File.h"
#include "coltsfootshed/Support/OptionText.h"

#include <cstdio>
#include <cstdlib>
#include <popt.h>

using namespace coltsfootshed;

static constexpr const char* kDefaultServer = "127.0.0.1:7900";

namespace {

struct Options
{
  CommandContext context_;
  std::vector<std::string> words_;
  bool showVersion_ = false;
};

} // namespace

/// Fills aOut from the command line. Returns kExitOk, or the exit code of an
/// error that was printed.
static int ReadOptions(int aCount, const char** aArguments, Options& aOut)
{
  char* server = nullptr;
  char* token = nullptr;
  char* author = nullptr;
  int json = 0;
  int version = 0;
  int wait = 0;
  long long from = -1;
  poptOption table[] = {
    { "server", 's', POPT_ARG_STRING, &server, 0, "admin address", "IP:PORT" },
    { "token-file", 't', POPT_ARG_STRING, &token, 0, "bearer token", "FILE" },
    { "author", 'a', POPT_ARG_STRING, &author, 0, "who submits", "NAME" },
    { "from", 'f', POPT_ARG_LONGLONG, &from, 0, "edited from version", "N" },
    { "wait", 'w', POPT_ARG_NONE, &wait, 0, "wait until in force", nullptr },
    { "json", 'j', POPT_ARG_NONE, &json, 0, "print JSON", nullptr },
    { "version", 0, POPT_ARG_NONE, &version, 0, "print version", nullptr },
    POPT_AUTOHELP POPT_TABLEEND
  };
  poptContext context =
    poptGetContext("coltsfootctl", aCount, aArguments, table, 0);
  poptSetOtherOptionHelp(context, CommandSummary());
  int end = poptGetNextOpt(context);
  if (end < -1) {
    std::fprintf(
      stderr, "%s: %s\n", poptBadOption(context, 0), poptStrerror(end));
    return kExitBadInput;
  }
  while (const char* word = poptGetArg(context)) {
    aOut.words_.emplace_back(word);
  }
  poptFreeContext(context);
  std::string address = TakeOptionText(server, kDefaultServer);
  std::string tokenPath = TakeOptionText(token);
  const char* user = std::getenv("USER");
  aOut.context_.author_ =
    TakeOptionText(author, user != nullptr ? user : "unknown");
  auto endpoint = ParseEndpoint(address);
  if (!endpoint) {
    std::fprintf(
      stderr, "--server: expected IP:PORT, got %s\n", address.c_str());
    return kExitBadInput;
  }
  aOut.context_.server_ = *endpoint;
  if (!tokenPath.empty()) {
    auto text = ReadTokenFile(tokenPath);
    if (!text) {
      std::fprintf(stderr, "%s: cannot be read\n", tokenPath.c_str());
      return kExitBadInput;
    }
    aOut.context_.token_ = *text;
  }
  aOut.context_.fromVersion_ = from;
  aOut.context_.wait_ = wait != 0;
  aOut.context_.json_ = json != 0;
  aOut.showVersion_ = version != 0;
  return kExitOk;
}

int main(int aCount, char** aArguments)
{
  Options options;
  int code = ReadOptions(aCount, const_cast<const char**>(aArguments), options);
  if (code != kExitOk) {
    return code;
  }
  if (options.showVersion_) {
    std::printf("coltsfootctl %s\n", COLTSFOOTSHED_VERSION);
    return kExitOk;
  }
  return RunCommand(options.context_, options.words_);
}
