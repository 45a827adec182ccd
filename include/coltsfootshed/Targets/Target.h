/// \file
/// What targets say of themselves, and the orders that they take.
#ifndef COLTSFOOTSHED_TARGETS_TARGET_H
#define COLTSFOOTSHED_TARGETS_TARGET_H

#include "coltsfootshed/Jobs/Job.h"
#include "coltsfootshed/Settings/Settings.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace coltsfootshed {

/// Token that orders by age of leadership: a target ignores lower ones.
using Fence = std::uint64_t;
/// Milliseconds on a target's own clock.
using TargetClock = std::int64_t;

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
  std::string vm_;                  ///< the VM on which it lives
  std::int64_t born_ = 0;           ///< start of this life, since 1970
};

/// One row of what runs on a target.
struct RunningRow
{
  TaskName task_;
  RunNumber run_ = 0;
  std::string checkpoint_;
  int percent_ = 0; ///< 100: at work
  /// Tail of response times in ms if the task serves, else thousandths of a
  /// core in use; over the last half second.
  std::int64_t recent_ = 0;
};

enum class RunEnd
{
  Done,
  Failed,
  Stopped,
  Lapsed, ///< its lease ran out
  Broken, ///< another member of its gang ended
  Alone   ///< the other members of its gang did not come
};

/// One row of what has ended on a target, in the order of number_.
struct EndedRow
{
  std::uint64_t number_ = 0;
  TaskName task_;
  RunNumber run_ = 0;
  RunEnd how_ = RunEnd::Done;
  std::string checkpoint_;
};

struct HoldOrder
{
  Fence fence_ = 0;
  std::uint64_t acknowledged_ = 0; ///< ends up to here may be forgotten
  std::optional<TargetClock> leaseUntil_;
  Millis wait_{ 0 }; ///< for an end, before the answer
  bool freshConnection_ = false;
  /// Asked beside a hold that waits: renews nothing.
  bool isLook_ = false;
};

struct StartOrder
{
  TaskName task_;
  RunNumber run_ = 0;
  std::string payload_;
  TargetClock leaseUntil_ = 0;
  Fence fence_ = 0;
  std::string checkpoint_;
  std::string ticket_; ///< of the advice service; empty: none
};

struct StopOrder
{
  TaskName task_;
  RunNumber run_ = 0;
  Fence fence_ = 0;
};

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
  RunTooLow, ///< a run as high was stopped or ended there
  TooLate,   ///< its lease time has passed on the target's clock
  NoRoom,
  TicketInvalid,
  Unhealthy,   ///< the target refused and did nothing
  Malformed,   ///< the target cannot read the order; nothing was done
  WrongTarget, ///< another life or id answers there
  NotSent,
  NoAnswer ///< may have been carried out, or may be later
};

std::string_view NameOf(OrderEnd aEnd);

struct OrderAnswer
{
  OrderEnd end_ = OrderEnd::NoAnswer;
  std::optional<TargetClock> clock_;
};

struct HoldAnswer
{
  OrderEnd end_ = OrderEnd::NoAnswer;
  TargetClock clock_ = 0;
  std::int64_t born_ = 0;
  std::vector<RunningRow> running_;
  std::vector<EndedRow> ended_;
};

/// The calls that a target takes. Callbacks run once, later.
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

/// Which targets may run a step, by id, each with its ticket.
struct Advice
{
  bool answered_ = false;
  Millis validFor_{ 0 };
  std::vector<std::pair<std::string, std::string>> granted_;
};

class AdviceCalls
{
public:
  virtual ~AdviceCalls() = default;
  virtual void Ask(const std::string& aStep,
                   const std::vector<std::string>& aTargets,
                   std::function<void(Advice)> aOnEnd) = 0;
};

} // namespace coltsfootshed

#endif
