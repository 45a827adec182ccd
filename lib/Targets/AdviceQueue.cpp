#include "coltsfootshed/Targets/AdviceQueue.h"

#include "coltsfootshed/Observe/DecisionLog.h"

#include <algorithm>

namespace coltsfootshed {

/// Calls whose answers are awaited: one that the service handles, and one
/// behind it, so that it need not wait for the next.
static constexpr std::size_t kMaxPending = 2;
/// Shortest time without an answer after which a call counts as late.
static constexpr Millis kMinPatience{ 3000 };
/// The service answers in turn. A call is lost if the answer to a later one
/// came this long before.
static constexpr Millis kOvertakenGrace{ 1000 };
/// Pauses after a call that failed or was refused.
static constexpr Millis kMinPause{ 250 };
static constexpr Millis kMaxPause{ 2000 };

AdviceQueue::AdviceQueue(event_base* aBase,
                         const Clock& aClock,
                         AdviceCalls& aCalls)
  : clock_(aClock)
  , calls_(aCalls)
  , patience_(kMinPatience)
  , pause_(kMinPause)
  , timer_(aBase, [this] { Step(); })
{
}

void AdviceQueue::Ask(Question aQuestion)
{
  waiting_.push_back(std::move(aQuestion));
  timer_.Start(Millis(0));
}

/// Returns how many calls are awaited that are not late.
std::size_t AdviceQueue::Pending() const
{
  return static_cast<std::size_t>(
    std::count_if(inFlight_.begin(), inFlight_.end(), [](const auto& aEntry) {
      return !aEntry.second.isLate_;
    }));
}

void AdviceQueue::Step()
{
  // Callbacks may ask again, so they run when the state is settled.
  Callbacks callbacks;
  EndOvertaken(callbacks);
  NoteLateness(callbacks);
  Send(callbacks);
  StartTimer();
  for (const auto& callback : callbacks) {
    callback();
  }
}

void AdviceQueue::EndOvertaken(Callbacks& aCallbacks)
{
  Millis now = clock_.Now();
  for (auto at = inFlight_.begin(); at != inFlight_.end();) {
    if (now < at->second.endsBy_) {
      ++at;
      continue;
    }
    LogStateChange(
      "advice-lost",
      { { "step", at->second.question_.step_ },
        { "age_ms", std::to_string((now - at->second.sentAt_).count()) } });
    aCallbacks.emplace_back(
      [onEnd = std::move(at->second.question_.onEnd_),
       wasLate = at->second.isLate_] { onEnd(Advice(), wasLate); });
    at = inFlight_.erase(at);
  }
}

/// Lets another call be sent in place of the oldest one if the service has been
/// silent for long. The time doubles with each, so that a service which is slow
/// for a while finds few more calls.
void AdviceQueue::NoteLateness(Callbacks& aCallbacks)
{
  Millis now = clock_.Now();
  auto oldest =
    std::find_if(inFlight_.begin(), inFlight_.end(), [](const auto& aEntry) {
      return !aEntry.second.isLate_;
    });
  if (oldest == inFlight_.end() || now < progressAt_ + patience_) {
    return;
  }
  Call& call = oldest->second;
  call.isLate_ = true;
  patience_ *= 2;
  LogStateChange("advice-late",
                 { { "step", call.question_.step_ },
                   { "age_ms", std::to_string((now - call.sentAt_).count()) },
                   { "in_flight", std::to_string(inFlight_.size()) },
                   { "waiting", std::to_string(waiting_.size()) } });
  aCallbacks.push_back(call.question_.onLate_);
}

void AdviceQueue::Send(Callbacks& aCallbacks)
{
  Millis now = clock_.Now();
  while (!waiting_.empty() && Pending() < kMaxPending && now >= pausedUntil_) {
    Question question = std::move(waiting_.front());
    waiting_.pop_front();
    if (!question.isWanted_()) {
      Count("advice_not_needed");
      aCallbacks.emplace_back(
        [onEnd = std::move(question.onEnd_)] { onEnd(Advice(), false); });
      continue;
    }
    if (Pending() == 0) {
      progressAt_ = now;
    }
    std::uint64_t number = ++lastCall_;
    calls_.Ask(
      question.step_, question.targets_, [this, number](const Advice& aAdvice) {
        OnAnswer(number, aAdvice);
      });
    inFlight_[number] = { std::move(question), now };
  }
}

void AdviceQueue::OnAnswer(std::uint64_t aCall, const Advice& aAdvice)
{
  auto node = inFlight_.extract(aCall);
  if (node.empty()) {
    return; // ended as lost
  }
  const Call& call = node.mapped();
  if (aAdvice.answered_) {
    OnAdvice(call, aCall);
  } else {
    OnFailure(call);
  }
  call.question_.onEnd_(aAdvice, call.isLate_);
  Step();
}

void AdviceQueue::OnAdvice(const Call& aCall, std::uint64_t aNumber)
{
  Millis now = clock_.Now();
  patience_ =
    std::max(kMinPatience, 2 * (now - std::max(progressAt_, aCall.sentAt_)));
  progressAt_ = now;
  pause_ = kMinPause;
  pausedUntil_ = Millis(0);
  Observe("advice_ms", now - aCall.sentAt_);
  for (auto& [number, earlier] : inFlight_) {
    if (number < aNumber) {
      earlier.endsBy_ = std::min(earlier.endsBy_, now + kOvertakenGrace);
    }
  }
}

void AdviceQueue::OnFailure(const Call& aCall)
{
  Millis now = clock_.Now();
  pausedUntil_ = now + pause_;
  LogStateChange("advice-not-given",
                 { { "step", aCall.question_.step_ },
                   { "age_ms", std::to_string((now - aCall.sentAt_).count()) },
                   { "in_flight", std::to_string(inFlight_.size()) },
                   { "waiting", std::to_string(waiting_.size()) },
                   { "pause_ms", std::to_string(pause_.count()) } });
  pause_ = std::min(kMaxPause, 2 * pause_);
}

void AdviceQueue::StartTimer()
{
  Millis due = Millis::max();
  if (!waiting_.empty() && Pending() < kMaxPending) {
    due = pausedUntil_;
  }
  for (const auto& [number, call] : inFlight_) {
    due = std::min(due, call.endsBy_);
    if (!call.isLate_) {
      due = std::min(due, progressAt_ + patience_);
    }
  }
  if (due == Millis::max()) {
    timer_.Stop();
    return;
  }
  timer_.Start(due - clock_.Now());
}

} // namespace coltsfootshed
