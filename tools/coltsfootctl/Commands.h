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
/// Another change was accepted since the version that was edited.
inline constexpr int kExitConflict = 3;
/// The submission may or may not have been accepted.
inline constexpr int kExitUndecided = 4;

/// Values of the command-line options.
struct CommandContext
{
  Endpoint server_;
  std::string token_;
  std::string author_;
  long long fromVersion_ = -1; ///< that was edited; -1: the one in force
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
