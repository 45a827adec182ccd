#include "coltsfootshed/Fleet/Submission.h"

#include <utility>

namespace coltsfootshed {

static constexpr int kMaxHeadAttempts = 5;
static constexpr int kMaxSectionAttempts = 20;
static constexpr Millis kRetryDelay{ 200 };

/// Adds the digests of the text's sections, because SubmitFlow needs the
/// complete head.
static Head WithSectionDigests(Head aHead, std::string_view aText)
{
  BuildSections(aText, aHead);
  return aHead;
}

Submission::Submission(event_base* aBase,
                       PlatformClient& aPlatform,
                       Head aHead,
                       std::string_view aText,
                       std::uint64_t aFromVersion,
                       OnEnd aOnEnd)
  : platform_(aPlatform)
  , flow_(WithSectionDigests(std::move(aHead), aText),
          aFromVersion,
          kMaxHeadAttempts)
  , sectionAttemptsLeft_(kMaxSectionAttempts)
  , continueTimer_(aBase, [this] { Continue(); })
  , onEnd_(std::move(aOnEnd))
{
  end_.head_ = flow_.NewHead();
  end_.sections_ = BuildSections(aText, end_.head_);
  nextSection_ = end_.sections_.cbegin();
}

void Submission::Start()
{
  Continue();
}

void Submission::Continue()
{
  if (auto result = flow_.Finished()) {
    End(*result);
    return;
  }
  if (nextSection_ != end_.sections_.cend()) {
    WriteNextSection();
    return;
  }
  if (flow_.Next() == SubmitFlow::Action::ReadHead) {
    platform_.Get(kHeadKey, [this](const Result<StoredValue>& aValue) {
      OnHeadRead(aValue);
    });
    return;
  }
  platform_.Put(kHeadKey,
                flow_.NewHead().ToJson(),
                flow_.ExpectedRevision(),
                [this](WriteResult aResult) {
                  flow_.OnWrite(aResult);
                  continueTimer_.Start(Millis(0));
                });
}

void Submission::WriteNextSection()
{
  std::string key = std::string(kSectionPrefix) + nextSection_->first;
  platform_.Put(key, nextSection_->second, 0, [this](WriteResult aResult) {
    OnSectionWritten(aResult);
  });
}

void Submission::OnSectionWritten(WriteResult aResult)
{
  // A mismatch means that the section exists already, with the same content,
  // because its key is the digest of its content.
  if (aResult != WriteResult::NoAnswer) {
    ++nextSection_;
    continueTimer_.Start(Millis(0));
    return;
  }
  --sectionAttemptsLeft_;
  if (sectionAttemptsLeft_ == 0) {
    End(SubmitResult::Undecided);
    return;
  }
  continueTimer_.Start(kRetryDelay);
}

void Submission::OnHeadRead(const Result<StoredValue>& aValue)
{
  if (!aValue) {
    flow_.OnHeadUnreadable();
    continueTimer_.Start(kRetryDelay);
    return;
  }
  StoredHead stored;
  stored.revision_ = aValue->revision_;
  if (stored.revision_ != 0) {
    auto head = HeadFromJson(aValue->value_);
    if (!head) {
      End(SubmitResult::Undecided);
      return;
    }
    stored.head_ = *head;
  }
  flow_.OnHead(stored);
  continueTimer_.Start(Millis(0));
}

void Submission::End(SubmitResult aResult)
{
  end_.result_ = aResult;
  if (onEnd_) {
    std::exchange(onEnd_, nullptr)(end_);
  }
}

} // namespace coltsfootshed
