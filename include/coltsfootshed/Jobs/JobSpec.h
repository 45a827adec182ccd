/// \file
/// What a client asks for: a job of steps, each of equal tasks.
#ifndef COLTSFOOTSHED_JOBS_JOBSPEC_H
#define COLTSFOOTSHED_JOBS_JOBSPEC_H

#include "coltsfootshed/Support/Clock.h"
#include "coltsfootshed/Support/Error.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace coltsfootshed {

/// Processor, memory and accelerators that a task takes or a target has.
struct Resources
{
  std::int64_t cpu_ = 0;    ///< thousandths of a core
  std::int64_t memory_ = 0; ///< MiB
  std::int64_t gpu_ = 0;    ///< devices

  Resources& operator+=(const Resources& aOther);
  Resources& operator-=(const Resources& aOther);
  bool FitsInto(const Resources& aRoom) const;
  bool operator==(const Resources&) const = default;
};

struct StepSpec
{
  int tasks_ = 1;
  Resources each_;         ///< of one task
  Millis estimate_{ 0 };   ///< client's rough guess of a task's duration
  std::vector<int> after_; ///< steps that must be done first, from 0
  bool gang_ = false;      ///< tasks only work together, under one run number
  bool sameRack_ = false;  ///< slow if spread over more than one rack
  bool copies_ = false;    ///< runs of one task may overlap; the first counts
  bool checkpoints_ = false;
  bool lasting_ = false;      ///< runs until cancelled, restarted when it ends
  bool fills_ = false;        ///< its processor share comes from what is unused
  std::string label_;         ///< target must carry it; empty: any
  std::string dataRack_;      ///< fast only there; empty: anywhere
  std::string image_;         ///< tasks of one image behave alike
  int maxPerTarget_ = 0;      ///< 0: no limit
  Millis latencyTarget_{ 0 }; ///< of a serving task's own users; 0: none
  int mayMiss_ = -1;          ///< tasks that orders may take away at once; -1:
                              ///< no bound was asked for
};

struct JobSpec
{
  std::string payload_; ///< opaque text handed to targets with each start
  std::vector<StepSpec> steps_;
  int occurrences_ = 0;  ///< 0: runs once, at once
  Millis firstDue_{ 0 }; ///< since 1970
  Millis interval_{ 0 };
};

/// An accepted job, as stored.
struct JobRecord
{
  std::string id_;      ///< 16 hexadecimal digits
  std::string queue_;   ///< name of the route it came by
  std::string service_; ///< pool whose targets run it
  JobSpec spec_;
  int priority_ = 0; ///< 0 comes first
  int maxAttempts_ = 1;
  double stretch_ = 1;     ///< objective over the longest chain of work
  Millis aim_{ 0 };        ///< added to the objective
  Millis acceptedAt_{ 0 }; ///< since 1970
  bool advised_ = false;   ///< needs tickets of the advice service
};

/// True for 16 hexadecimal digits.
bool IsJobId(std::string_view aText);

/// Stored form of a record.
std::string EncodeRecord(const JobRecord& aRecord);
Result<JobRecord> DecodeRecord(std::string_view aText);

} // namespace coltsfootshed

#endif
