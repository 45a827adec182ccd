/// \file
/// Writes one submitted configuration document to the platform.
#ifndef COLTSFOOTSHED_FLEET_SUBMISSION_H
#define COLTSFOOTSHED_FLEET_SUBMISSION_H

#include "coltsfootshed/Config/SubmitFlow.h"
#include "coltsfootshed/Platform/PlatformClient.h"
#include "coltsfootshed/Support/Timer.h"

#include <functional>
#include <memory>
#include <string>

namespace coltsfootshed {

/// How a submission ended.
struct SubmissionEnd
{
  SubmitResult result_ = SubmitResult::Undecided;
  Head head_;         ///< the submitted head
  Sections sections_; ///< its sections
};

/// Writes the sections, then the head by compare-and-swap. A step that gets no
/// answer is retried a limited number of times.
class Submission
{
public:
  using OnEnd = std::function<void(const SubmissionEnd&)>;

  /// aHead holds the submission's ID and author; its sections are taken from
  /// aText. aFromVersion is the version that aText was edited from. aOnEnd must
  /// not destroy the submission.
  Submission(event_base* aBase,
             PlatformClient& aPlatform,
             Head aHead,
             std::string_view aText,
             std::uint64_t aFromVersion,
             OnEnd aOnEnd);

  void Start();

private:
  void WriteNextSection();
  void OnSectionWritten(WriteResult aResult);
  void Continue();
  void OnHeadRead(const Result<StoredValue>& aValue);
  void End(SubmitResult aResult);

  PlatformClient& platform_;
  SubmissionEnd end_;
  SubmitFlow flow_;
  Sections::const_iterator nextSection_;
  int sectionAttemptsLeft_;
  Timer continueTimer_;
  OnEnd onEnd_;
};

} // namespace coltsfootshed

#endif
