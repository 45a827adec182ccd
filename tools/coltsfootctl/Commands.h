/// \file
/// The commands of the operators' tool.
#ifndef COLTSFOOTSHED_TOOLS_COLTSFOOTCTL_COMMANDS_H
#define COLTSFOOTSHED_TOOLS_COLTSFOOTCTL_COMMANDS_H

#include "coltsfootshed/Settings/Settings.h"

#include <string>
#include <vector>

namespace coltsfootshed {

inline constexpr int kExitOk = 0;
inline constexpr int kExitFailed = 1;
inline constexpr int kExitBadInput = 2;
inline constexpr int kExitConflict = 3;
inline constexpr int kExitUndecided = 4;

/// Values of the command-line options.
struct CommandContext
{
  Endpoint server_;
  std::string token_;
  std::string author_;
  long long fromVersion_ = -1; ///< -1: the version in force at the server
  bool wait_ = false;
  bool json_ = false;
};

/// Usage, commands and exit codes for --help.
const char* CommandSummary();
/// Runs the command in aWords, the arguments that are not options. Returns the
/// exit code.
int RunCommand(const CommandContext& aContext,
               const std::vector<std::string>& aWords);

} // namespace coltsfootshed

#endif
