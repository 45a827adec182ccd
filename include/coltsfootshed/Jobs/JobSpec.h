/// \file
/// A client's description of a job: steps, each of equal tasks.
#ifndef COLTSFOOTSHED_JOBS_JOBSPEC_H
#define COLTSFOOTSHED_JOBS_JOBSPEC_H

#include "coltsfootshed/Support/Clock.h"
#include "coltsfootshed/Support/Error.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace coltsfootshed {

/// Processor, memory and accelerators that a task needs or a target has.
struct Resources
{
  std::int64_t cpu_ = 0;    ///< thousandths of a core
  std::int64_t memory_ = 0; ///< MiB
  std::int64_t gpu_ = 0;    ///< devices

  Resources& operator+=(const Resources& aOther);
  Resources& operator-=(const Resources& aOther);
  /// Returns true if no amount exceeds that of aRoom. An amount of 0 always
  /// fits, even if aRoom is negative.
  bool FitsInto(const Resources& aRoom) const;
  bool operator==(const Resources&) const = default;
};

struct StepSpec
{
  int tasks_ = 1;
  Resources taskResources_;  ///< that one task needs
  Millis estimate_{ 0 };     ///< client's estimate of a task's duration
  std::vector<int> after_;   ///< indices of steps that must be done first
  bool gang_ = false;        ///< all tasks run at once, under one run number
  bool sameRack_ = false;    ///< tasks are slow on more than one rack
  bool speculative_ = false; ///< runs of a task may overlap; the first counts
  bool checkpoints_ = false; ///< tasks save checkpoints to resume from
  bool longRunning_ = false; ///< restarted until cancelled
  bool bestEffort_ = false;  ///< uses only processor time that is idle
  std::string label_;        ///< that the target must carry; empty: any
  std::string dataRack_;     ///< where tasks run fast; empty: anywhere
  std::string image_;    ///< tasks of one image share an estimate of duration
  int maxPerTarget_ = 0; ///< 0: no limit
  Millis latencyObjective_{ 0 }; ///< for requests that a task serves; 0: none
  /// Maximum number of tasks of a long-running step that may be down at once
  /// while targets are emptied. At 0 or below none is stopped; -1: not given.
  int maxUnavailableTasks_ = -1;
};

struct JobSpec
{
  std::string payload_; ///< opaque text, sent to targets with each start
  std::vector<StepSpec> steps_;
  int occurrences_ = 0;  ///< 0: not periodic, runs once without delay
  Millis firstDue_{ 0 }; ///< since 1970
  Millis interval_{ 0 };
};

/// An accepted job, as stored.
struct JobRecord
{
  std::string id_;      ///< 16 hexadecimal digits
  std::string queue_;   ///< name of the queue that accepted it
  std::string service_; ///< whose pool's targets run it
  JobSpec spec_;
  int priority_ = 0; ///< 0 is the most urgent
  int maxAttempts_ = 1;
  /// The completion objective is stretch_ times the critical path, plus
  /// objectiveBase_.
  double stretch_ = 1;
  Millis objectiveBase_{ 0 };
  Millis acceptedAt_{ 0 };    ///< since 1970
  bool needsTickets_ = false; ///< starts need a ticket of the advice service
  std::string account_;       ///< client account; empty: none
};

/// Returns true for 16 hexadecimal digits.
bool IsJobId(std::string_view aText);

/// Returns the stored form of a record.
std::string EncodeRecord(const JobRecord& aRecord);
Result<JobRecord> DecodeRecord(std::string_view aText);

} // namespace coltsfootshed

#endif
