/// \file
/// The name of a task in calls to targets: JOB.OCCURRENCE.STEP.INDEX.
#ifndef COLTSFOOTSHED_JOBS_TASKNAME_H
#define COLTSFOOTSHED_JOBS_TASKNAME_H

#include <compare>
#include <optional>
#include <string>
#include <string_view>

namespace coltsfootshed {

struct TaskName
{
  std::string job_;
  int occurrence_ = 0; ///< 0 for a job that is not periodic
  int step_ = 0;
  int index_ = 0; ///< of the task in its step, from 0

  // The linter mistakes the generated comparison with 0 for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const TaskName&) const = default;
  std::string Text() const;
  /// Returns the name without the index.
  std::string StepText() const;
};

/// Parses TaskName::Text()'s output.
std::optional<TaskName> ParseTaskName(std::string_view aText);

} // namespace coltsfootshed

#endif
