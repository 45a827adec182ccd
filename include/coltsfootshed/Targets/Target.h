/// \file
/// What targets report, and the orders that they accept.
#ifndef COLTSFOOTSHED_TARGETS_TARGET_H
#define COLTSFOOTSHED_TARGETS_TARGET_H

#include "coltsfootshed/Jobs/Job.h"
#include "coltsfootshed/Settings/Settings.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace coltsfootshed {

/// Fencing token: a newer leadership has a higher one, and a target rejects
/// orders with a lower one than it has seen.
using Fence = std::uint64_t;
/// A time on a target's own clock, in ms.
using TargetTime = std::int64_t;

/// A target as the registry lists it.
struct TargetInfo
{
  std::string id_;
  std::string service_;
  Endpoint address_;
  std::string dataCentre_;
  bool draining_ = false;
  Resources capacity_;
  std::vector<std::string> labels_; ///< its kind and its rack
  std::string vm_;                  ///< the VM on which it runs
  /// Start time of this incarnation of the target, since 1970, in the unit of
  /// the platform: only compared. A target that restarts has a new one. 0: not
  /// known.
  std::int64_t startedAt_ = 0;
};

/// A run that a target executes.
struct ReportedRun
{
  TaskName task_;
  RunNumber run_ = 0;
  std::string checkpoint_;
  /// Used for long-running tasks only: 100 once the startup has finished.
  int percent_ = 0;
  /// Over the last half second: tail of the response times in ms if the task
  /// serves requests, else the CPU use in thousandths of a core.
  std::int64_t recentMetric_ = 0;
};

enum class RunEnd
{
  Done,
  Failed,
  Stopped,
  LeaseExpired,
  GangMemberEnded, ///< another member of its gang ended
  GangIncomplete   ///< the other members of its gang did not start
};

/// A run that has ended on a target.
struct EndedRun
{
  std::uint64_t number_ = 0; ///< rises with each end, per incarnation
  TaskName task_;
  RunNumber run_ = 0;
  RunEnd runEnd_ = RunEnd::Done;
  std::string checkpoint_;
};

/// Renews the leases of all runs on a target and asks what runs and ended
/// there; the answer may wait for an end.
struct HoldOrder
{
  Fence fence_ = 0;
  /// Incarnation that acknowledged_ and leaseUntil_ are for, see TargetInfo.
  /// Another one gets neither of them and is only asked. Needed with either.
  std::int64_t startedAt_ = 0;
  /// Highest EndedRun::number_ that was received; the target may drop ends up
  /// to it.
  std::uint64_t acknowledged_ = 0;
  std::optional<TargetTime> leaseUntil_; ///< empty: renews nothing
  Millis wait_{ 0 };             ///< longest wait for an end before the answer
  bool freshConnection_ = false; ///< must not reuse a connection
  /// A status query, sent while another hold waits for its answer. It renews
  /// nothing.
  bool isProbe_ = false;
};

struct StartOrder
{
  TaskName task_;
  RunNumber run_ = 0;
  std::string payload_;
  TargetTime leaseUntil_ = 0;
  Fence fence_ = 0;
  /// Incarnation to start on, see TargetInfo. No other one gets the order.
  std::int64_t startedAt_ = 0;
  std::string checkpoint_;
  std::string ticket_; ///< from the advice service; empty: none
};

struct StopOrder
{
  TaskName task_;
  RunNumber run_ = 0;
  Fence fence_ = 0;
};

/// Sets the speed of a run, in percent of full speed.
struct PaceOrder
{
  TaskName task_;
  RunNumber run_ = 0;
  int percent_ = 100;
  Fence fence_ = 0;
};

enum class OrderEnd
{
  Done,
  FenceTooLow,
  RunTooLow, ///< the same or a later run was stopped or ended there
  TooLate,   ///< its lease has expired by the target's clock
  NoRoom,
  TicketInvalid,
  Unhealthy,   ///< the target refused and did nothing
  Malformed,   ///< the target cannot read the order; nothing was done
  WrongTarget, ///< another incarnation or target answers
  NotSent,
  NoAnswer ///< may have been carried out, or may still be
};

std::string_view NameOf(OrderEnd aEnd);

struct OrderAnswer
{
  OrderEnd end_ = OrderEnd::NoAnswer;
  std::optional<TargetTime> clock_; ///< the target's time, if it says it
};

struct HoldAnswer
{
  OrderEnd end_ = OrderEnd::NoAnswer;
  TargetTime clock_ = 0;       ///< the target's time at the answer
  std::int64_t startedAt_ = 0; ///< see TargetInfo
  std::vector<ReportedRun> running_;
  std::vector<EndedRun> ended_;
};

/// The calls that a target accepts. Each callback runs once, never from within
/// the call.
class TargetCalls
{
public:
  virtual ~TargetCalls() = default;

  virtual void Hold(const TargetInfo& aTarget,
                    const HoldOrder& aOrder,
                    std::function<void(HoldAnswer)> aOnEnd) = 0;
  virtual void Start(const TargetInfo& aTarget,
                     const StartOrder& aOrder,
                     std::function<void(OrderAnswer)> aOnEnd) = 0;
  virtual void Stop(const TargetInfo& aTarget,
                    const StopOrder& aOrder,
                    std::function<void(OrderAnswer)> aOnEnd) = 0;
  virtual void Pace(const TargetInfo& aTarget,
                    const PaceOrder& aOrder,
                    std::function<void(OrderAnswer)> aOnEnd) = 0;
};

/// Answer of the advice service: which targets may run a step.
struct Advice
{
  bool answered_ = false; ///< false: no usable answer; the rest is empty
  Millis validFor_{ 0 };
  /// Ids of the targets, each with its ticket.
  std::vector<std::pair<std::string, std::string>> granted_;
};

/// The calls that the advice service accepts.
class AdviceCalls
{
public:
  virtual ~AdviceCalls() = default;
  /// Asks which of the targets, given by id, may run a step. aOnEnd runs once,
  /// never from within the call.
  virtual void Ask(const std::string& aStep,
                   const std::vector<std::string>& aTargets,
                   std::function<void(Advice)> aOnEnd) = 0;
};

} // namespace coltsfootshed

#endif
