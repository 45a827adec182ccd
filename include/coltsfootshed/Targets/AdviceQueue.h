/// \file
/// Sends the questions of one process to the advice service.
///
/// Answers bursts of steps that need advice: the service handles the questions
/// of one entry VM in turn, so that each question beyond the first only waits
/// there, and one that is given up keeps those behind it waiting all the same.
/// Few questions are sent at a time, no answer is given up for being late, and
/// what nobody needs any more is not sent.
#ifndef COLTSFOOTSHED_TARGETS_ADVICEQUEUE_H
#define COLTSFOOTSHED_TARGETS_ADVICEQUEUE_H

#include "coltsfootshed/Support/Clock.h"
#include "coltsfootshed/Support/Timer.h"
#include "coltsfootshed/Targets/Target.h"

#include <deque>
#include <map>
#include <vector>

namespace coltsfootshed {

class AdviceQueue
{
public:
  struct Question
  {
    std::string step_;
    std::vector<std::string> targets_;
    /// Asked when the question could be sent. If it returns false, the question
    /// ends without an answer.
    std::function<bool()> isWanted_;
    /// Runs if no answer has come for long. The asker may ask again; an answer
    /// may still come.
    std::function<void()> onLate_;
    /// Runs once, never from within Ask(). aWasLate: after onLate_.
    std::function<void(const Advice& aAdvice, bool aWasLate)> onEnd_;
  };

  /// aCalls must outlive the queue.
  AdviceQueue(event_base* aBase, const Clock& aClock, AdviceCalls& aCalls);

  void Ask(Question aQuestion);
  /// Sends, and ends, what is due. The queue's timer calls it.
  void Step();

private:
  struct Call
  {
    Question question_;
    Millis sentAt_{ 0 };
    bool isLate_ = false;
    Millis endsBy_{ Millis::max() }; ///< without an answer until then
  };
  using Callbacks = std::vector<std::function<void()>>;

  std::size_t Pending() const;
  void EndOvertaken(Callbacks& aCallbacks);
  void NoteLateness(Callbacks& aCallbacks);
  void Send(Callbacks& aCallbacks);
  void OnAnswer(std::uint64_t aCall, const Advice& aAdvice);
  void OnAdvice(const Call& aCall, std::uint64_t aNumber);
  void OnFailure(const Call& aCall);
  void StartTimer();

  const Clock& clock_;
  AdviceCalls& calls_;
  std::deque<Question> waiting_;
  std::map<std::uint64_t, Call> inFlight_; ///< by number, in order of sending
  std::uint64_t lastCall_ = 0;
  /// When the last answer came, or when a call was sent while none was awaited,
  /// whichever is later.
  Millis progressAt_{ 0 };
  Millis patience_; ///< time without progress after which a call is late
  Millis pause_;    ///< after the next failure
  Millis pausedUntil_{ 0 };
  Timer timer_;
};

} // namespace coltsfootshed

#endif
