#include "Requests/DispatcherWorld.h"

#include <algorithm>

namespace coltsfootshed {

static const char* const kDocument = "site = \"s\"\n"
                                     "[pools.p]\n"
                                     "vms = [\"vm-1\", \"vm-2\", \"vm-3\"]\n"
                                     "[services.x]\n"
                                     "pool = \"p\"\n"
                                     "slots = 2\n"
                                     "connections = 4\n"
                                     "queue_limit = 6\n"
                                     "[tenants.t1]\n"
                                     "[tenants.t2]\n"
                                     "weight = 3\n";
static constexpr unsigned kVmCount = 3;

static std::string VmName(unsigned aPick)
{
  return "vm-" + std::to_string(aPick % kVmCount + 1);
}

DispatcherWorld::DispatcherWorld(DispatcherMutant aMutant)
  : mutant_(aMutant)
  , dispatcher_(clock_, { "me", "a", { "127.0.0.1", 1 } }, *this, *this)
{
  dispatcher_.SetDocument(
    std::make_shared<const Document>(ReadDocument(kDocument).value()));
  for (unsigned i = 0; i < kVmCount; ++i) {
    ListVm(i);
  }
  ReportPeer();
}

void DispatcherWorld::Check(bool aHolds, const std::string& aText)
{
  if (!aHolds && violation_.empty()) {
    violation_ = aText;
  }
}

void DispatcherWorld::ReportPeer()
{
  NodeReport report;
  report.self_ = { "far", "b", { "127.0.0.1", 2 } };
  report.loads_["x"] = { 0, 2 };
  dispatcher_.MergeReport(report);
}

void DispatcherWorld::Offer(unsigned aPick)
{
  std::string name = "r" + std::to_string(requests_.size());
  CheckedRequest request;
  request.terms_.service_ = "x";
  request.terms_.class_ = static_cast<RequestClass>(aPick % kClassCount);
  request.terms_.tenant_ = aPick % 2 == 0 ? "t1" : "t2";
  request.terms_.idempotent_ = aPick % 5 < 2;
  request.terms_.timeLeft_ = Millis(50 + aPick % 400);
  request.terms_.requestId_ = name;
  request.content_.method_ = "POST";
  requests_[name].idempotent_ = request.terms_.idempotent_;
  bool mayHandOver = aPick % 7 != 0;
  RequestId id = dispatcher_.Accept(
    request, mayHandOver, [this, name](const RequestAnswer& aAnswer) {
      OnCallerAnswered(name, aAnswer);
    });
  requests_[name].id_ = id;
}

void DispatcherWorld::OnCallerAnswered(const std::string& aRequest,
                                       const RequestAnswer& aAnswer)
{
  Request& request = requests_.at(aRequest);
  Check(!request.callerOutcome_, aRequest + " answered twice");
  request.callerOutcome_ = aAnswer.outcome_;
  if (aAnswer.outcome_ == Outcome::Answered) {
    Check(aAnswer.answer_.body_ == aRequest,
          aRequest + " got the answer of another request");
    return;
  }
  if (aAnswer.outcome_ != Outcome::NotRun) {
    return;
  }
  for (const auto& [id, attempt] : attempts_) {
    bool mayRun = attempt.sent_ && !attempt.closed_;
    Check(attempt.request_ != aRequest || (!attempt.ran_ && !mayRun),
          aRequest + " told not-run, but it ran or may run");
  }
}

AttemptId DispatcherWorld::Start(const AttemptTarget& aTarget,
                                 const HttpRequest& aRequest,
                                 Millis,
                                 bool,
                                 AttemptEvents aEvents)
{
  AttemptId id = ++lastAttempt_;
  Attempt attempt;
  attempt.request_ = *FindHeader(aRequest.headers_, kRequestIdHeader);
  // The port identifies the VM, see ListVm().
  attempt.vm_ = VmName(aTarget.endpoint_.port_);
  attempt.events_ = std::move(aEvents);
  CheckStart(attempt);
  Check(!leaving_.contains(attempt.vm_),
        attempt.vm_ + " is leaving, yet got work");
  attempts_.emplace(id, std::move(attempt));
  return id;
}

void DispatcherWorld::CheckStart(const Attempt& aAttempt)
{
  const Request& request = requests_.at(aAttempt.request_);
  Check(!request.callerOutcome_,
        aAttempt.request_ + " started after its caller got an answer");
  for (const auto& [id, other] : attempts_) {
    bool mayRun = other.sent_ && !other.closed_;
    Check(request.idempotent_ || other.request_ != aAttempt.request_ || !mayRun,
          aAttempt.request_ + " sent twice");
  }
}

void DispatcherWorld::HandOver(HandoverId aId,
                               const std::string&,
                               const CheckedRequest& aRequest)
{
  Attempt attempt;
  attempt.request_ = aRequest.terms_.requestId_;
  attempt.sent_ = true;
  attempt.handover_ = aId;
  CheckStart(attempt);
  attempts_.emplace(++lastAttempt_, std::move(attempt));
}

void DispatcherWorld::Abandon(AttemptId aAttempt)
{
  Attempt& attempt = attempts_.at(aAttempt);
  attempt.abandoned_ = true;
  attempt.closed_ = attempt.closed_ || !attempt.sent_;
}

bool DispatcherWorld::MayHaveSent(AttemptId aAttempt) const
{
  return attempts_.at(aAttempt).sent_;
}

void DispatcherWorld::Probe(const AttemptTarget&,
                            std::function<void(bool)> aOnEnd)
{
  probes_.push_back(std::move(aOnEnd));
}

DispatcherWorld::Attempt* DispatcherWorld::Pick(unsigned aPick,
                                                bool aAlsoAbandoned,
                                                bool (*aWanted)(const Attempt&))
{
  std::vector<Attempt*> found;
  for (auto& [id, attempt] : attempts_) {
    bool observed = aAlsoAbandoned || !attempt.abandoned_;
    if (observed && !attempt.closed_ && aWanted(attempt)) {
      found.push_back(&attempt);
    }
  }
  return found.empty() ? nullptr : found[aPick % found.size()];
}

void DispatcherWorld::EndAttempt(Attempt& aAttempt, CallResult aResult)
{
  aAttempt.abandoned_ = true;
  auto onEnd = aAttempt.events_.onEnd_;
  for (const auto& [id, attempt] : attempts_) {
    if (&attempt == &aAttempt) {
      onEnd(id, std::move(aResult));
      return;
    }
  }
}

void DispatcherWorld::RefuseConnect(unsigned aPick)
{
  Attempt* attempt =
    Pick(aPick, false, [](const Attempt& aItem) { return !aItem.sent_; });
  if (attempt != nullptr) {
    attempt->closed_ = true;
    EndAttempt(*attempt, { CallEnd::NotSent, {} });
  }
}

void DispatcherWorld::Deliver(unsigned aPick)
{
  Attempt* attempt =
    Pick(aPick, false, [](const Attempt& aItem) { return !aItem.sent_; });
  if (attempt != nullptr) {
    attempt->sent_ = true;
  }
}

void DispatcherWorld::Run(unsigned aPick)
{
  Attempt* attempt = Pick(aPick, true, [](const Attempt& aItem) {
    return aItem.sent_ && !aItem.ran_;
  });
  if (attempt == nullptr) {
    return;
  }
  attempt->ran_ = true;
  Request& request = requests_.at(attempt->request_);
  ++request.ran_;
  Check(request.idempotent_ || request.ran_ < 2,
        attempt->request_ + " ran twice");
  Check(request.callerOutcome_ != Outcome::NotRun,
        attempt->request_ + " ran after it was told not-run");
}

void DispatcherWorld::Answer(unsigned aPick)
{
  Attempt* attempt = Pick(aPick, false, [](const Attempt& aItem) {
    return aItem.ran_ && !aItem.vm_.empty();
  });
  if (attempt == nullptr) {
    return;
  }
  attempt->closed_ = true;
  if (mutant_ == DispatcherMutant::RanIsRefused) {
    HttpAnswer refusal{ 503, { { kOutcomeHeader, "not-run" } }, "" };
    EndAttempt(*attempt, { CallEnd::Answered, refusal });
    return;
  }
  std::string body =
    mutant_ == DispatcherMutant::SwappedAnswers ? "another" : attempt->request_;
  EndAttempt(*attempt, { CallEnd::Answered, { 200, {}, body } });
}

void DispatcherWorld::Break(unsigned aPick)
{
  Attempt* attempt = Pick(aPick, false, [](const Attempt& aItem) {
    return aItem.sent_ && !aItem.vm_.empty();
  });
  if (attempt == nullptr) {
    return;
  }
  // A request that was sent may still run, now or later.
  bool misreports = mutant_ == DispatcherMutant::BrokenIsNotSent;
  EndAttempt(*attempt, { misreports ? CallEnd::NotSent : CallEnd::Broken, {} });
}

void DispatcherWorld::DeclareNotRun(unsigned aPick)
{
  Attempt* attempt = Pick(aPick, false, [](const Attempt& aItem) {
    return aItem.sent_ && !aItem.ran_ && !aItem.vm_.empty();
  });
  if (attempt == nullptr) {
    return;
  }
  attempt->closed_ = true;
  HttpAnswer refusal{ 503, { { kOutcomeHeader, "not-run" } }, "" };
  EndAttempt(*attempt, { CallEnd::Answered, refusal });
}

void DispatcherWorld::GoSilent(unsigned aPick)
{
  Attempt* attempt =
    Pick(aPick, false, [](const Attempt& aItem) { return !aItem.vm_.empty(); });
  if (attempt != nullptr) {
    bool alive = aPick % 2 == 0;
    attempt->events_.onSilent_(alive);
  }
}

void DispatcherWorld::AnswerLeaving(unsigned aPick)
{
  Attempt* attempt = Pick(aPick, false, [](const Attempt& aItem) {
    return aItem.ran_ && !aItem.vm_.empty();
  });
  if (attempt == nullptr) {
    return;
  }
  attempt->closed_ = true;
  leaving_.insert(attempt->vm_);
  HttpAnswer answer{ 200, {}, attempt->request_ };
  if (mutant_ != DispatcherMutant::LeavingHeaderDropped) {
    answer.headers_.emplace_back(kLeavingHeader, "true");
  }
  EndAttempt(*attempt, { CallEnd::Answered, answer });
}

void DispatcherWorld::ListVm(unsigned aPick)
{
  std::string name = VmName(aPick);
  bool old = aPick % 4 == 1 && revisions_.contains(name);
  if (!old) {
    ++revisions_[name];
  }
  VmRecord record;
  record.name_ = name;
  record.dataCentre_ = "a";
  record.endpoint_ = { "127.0.0.1",
                       static_cast<std::uint16_t>(aPick % kVmCount) };
  // An outdated list that shows a VM as live must not make it a target again.
  record.revision_ = old ? revisions_[name] - 1 : revisions_[name];
  record.leaving_ = !old && aPick % 8 == 7;
  if (!old) {
    record.leaving_ ? void(leaving_.insert(name)) : void(leaving_.erase(name));
  }
  dispatcher_.MergeVms({ &record, 1 });
}

void DispatcherWorld::EndHandover(unsigned aPick)
{
  Attempt* attempt =
    Pick(aPick, false, [](const Attempt& aItem) { return aItem.vm_.empty(); });
  if (attempt == nullptr) {
    return;
  }
  HandoverEnded ended{ attempt->handover_, HandoverEnd::Answered, {} };
  ended.answer_.outcome_ = Outcome::Unknown;
  bool saysNotRun =
    !attempt->ran_ || mutant_ == DispatcherMutant::HandoverIsRefused;
  switch (aPick % 6) {
    case 0:
      ended.end_ = HandoverEnd::Broken;
      break;
    case 1:
      ended.end_ = HandoverEnd::Silent;
      break;
    case 2:
      attempt->closed_ = saysNotRun;
      ended.answer_.outcome_ = saysNotRun ? Outcome::NotRun : Outcome::Unknown;
      break;
    case 3:
      if (!attempt->ran_) {
        attempt->closed_ = true;
        ended.end_ = HandoverEnd::NotSent;
      }
      break;
    default:
      if (attempt->ran_) {
        attempt->closed_ = true;
        ended.answer_ = { Outcome::Answered, { 200, {}, attempt->request_ } };
      }
  }
  attempt->abandoned_ = ended.end_ != HandoverEnd::Silent;
  dispatcher_.OnHandoverEnded(std::move(ended));
}

void DispatcherWorld::DisconnectCaller(unsigned aPick)
{
  if (requests_.empty()) {
    return;
  }
  auto chosen = std::next(requests_.begin(), aPick % requests_.size());
  dispatcher_.OnCallerDisconnected(chosen->second.id_);
}

void DispatcherWorld::AnswerProbes(unsigned aPick)
{
  for (const auto& onEnd : std::exchange(probes_, {})) {
    onEnd(aPick % 3 != 0);
  }
}

void DispatcherWorld::AdvanceTime(unsigned aPick)
{
  clock_.Advance(Millis(aPick % 120));
  dispatcher_.OnDeadlines();
  dispatcher_.OnTick();
  ReportPeer();
  // The service has 6 slots and 6 places in its queue; 2 are a margin.
  Check(dispatcher_.TakeLoads()["x"].demand_ <= 6 + 6 + 2,
        "more requests wait and run than the limits allow");
}

void DispatcherWorld::Drain()
{
  for (int i = 0; i < 20; ++i) {
    AdvanceTime(119);
  }
  for (const auto& [name, request] : requests_) {
    Check(request.callerOutcome_.has_value(), name + " got no answer");
  }
  Check(dispatcher_.IsIdle(), "requests are active after all deadlines");
}

} // namespace coltsfootshed
