#include "coltsfootshed/Requests/Dispatcher.h"

#include <algorithm>
#include <cassert>
#include <nlohmann/json.hpp>
#include <utility>

namespace coltsfootshed {

/// Attempts and hand-overs per request, without those of which no byte was
/// sent.
static constexpr int kMaxAttempts = 4;
/// An attempt's time limit ends this long after the request's deadline, so that
/// OnDeadline() decides the outcome of a request that is too slow.
static constexpr Millis kAttemptSlack{ 1000 };

Dispatcher::Dispatcher(const Clock& aClock,
                       NodeAddress aSelf,
                       TargetClient& aTargets,
                       PeerClient& aPeers)
  : clock_(aClock)
  , self_(aSelf)
  , targets_(aTargets)
  , peerClient_(aPeers)
  , directory_(aSelf.dataCentre_)
  , peers_(aClock, std::move(aSelf))
  , handovers_(aClock)
{
}

void Dispatcher::SetDocument(std::shared_ptr<const Document> aDocument)
{
  for (const auto& [name, spec] : aDocument->services_) {
    std::unique_ptr<ServiceState>& service = serviceStates_[name];
    if (service == nullptr) {
      service = std::make_unique<ServiceState>(clock_, name, spec);
    }
    service->SetSpec(spec);
  }
  directory_.SetDocument(std::move(aDocument));
  UpdateShares();
}

void Dispatcher::MergeVms(std::span<const VmRecord> aVms)
{
  directory_.MergeVms(aVms);
  UpdateShares();
}

void Dispatcher::SetRecords(FleetState aRecords)
{
  directory_.SetRecords(std::move(aRecords));
  UpdateShares();
}

void Dispatcher::MergeReport(const NodeReport& aReport)
{
  peers_.Merge(aReport);
  bool changed = false;
  for (const LeavingMark& mark : aReport.marks_) {
    changed = directory_.MergeMark(mark) || changed;
  }
  if (changed) {
    UpdateShares();
  }
}

std::vector<QuietVm> Dispatcher::QuietVms() const
{
  std::vector<QuietVm> out;
  for (const auto& [vm, entry] : directory_.Records().vms_) {
    if (entry.state_ == VmState::Serving) {
      continue;
    }
    bool busy = std::any_of(serviceStates_.begin(),
                            serviceStates_.end(),
                            [&vm = vm](const auto& aService) {
                              return aService.second->chooser_.Running(vm) > 0;
                            });
    if (!busy) {
      out.push_back({ vm, entry.fence_ });
    }
  }
  return out;
}

void Dispatcher::UpdateShares()
{
  const Document* document = directory_.CurrentDocument();
  if (document == nullptr) {
    return;
  }
  for (auto& [name, service] : serviceStates_) {
    // A service that was removed from the document has no targets, but the
    // requests that it has accepted still get an answer.
    bool known = document->services_.contains(name);
    std::span<const std::string> members;
    if (known) {
      members = directory_.Members(service->Spec().pool_);
    }
    service->UpdateTargets(members, peers_, self_.node_);
  }
}

ActiveRequest* Dispatcher::Find(RequestId aRequest)
{
  auto found = requests_.find(aRequest);
  return found == requests_.end() ? nullptr : found->second.get();
}

RequestId Dispatcher::Accept(CheckedRequest aRequest,
                             bool aMayHandOver,
                             std::function<void(RequestAnswer)> aOnAnswer)
{
  auto active = std::make_unique<ActiveRequest>();
  RequestId id = ++lastRequest_;
  active->id_ = id;
  active->request_ = std::move(aRequest);
  RequestTerms& terms = active->request_.terms_;
  if (terms.requestId_.empty()) {
    terms.requestId_ = self_.node_ + "-" + std::to_string(id);
  }
  active->serviceState_ = serviceStates_.find(terms.service_)->second.get();
  active->flow_ = std::make_unique<RequestFlow>(
    terms.idempotent_, kMaxAttempts, active->serviceState_->budget_);
  active->onAnswer_ = std::move(aOnAnswer);
  active->arrived_ = clock_.Now();
  active->deadline_ = active->arrived_ + terms.timeLeft_;
  active->mayHandOver_ = aMayHandOver;
  deadlines_.emplace(active->deadline_, id);
  ActiveRequest& request =
    *requests_.emplace(id, std::move(active)).first->second;
  ServiceState& service = *request.serviceState_;
  Enqueue(request);
  StartWaiting(service);
  return id;
}

void Dispatcher::Enqueue(ActiveRequest& aRequest)
{
  aRequest.isWaiting_ = true;
  const RequestTerms& terms = aRequest.request_.terms_;
  QueuedRequest entry;
  entry.id_ = aRequest.id_;
  entry.class_ = terms.class_;
  entry.tenant_ = terms.tenant_;
  const auto& tenants = directory_.CurrentDocument()->tenants_;
  auto tenant = tenants.find(terms.tenant_);
  entry.weight_ = tenant == tenants.end() ? 1 : tenant->second.weight_;
  entry.arrived_ = aRequest.arrived_;
  entry.deadline_ = aRequest.deadline_;
  entry.mayHandOver_ = aRequest.mayHandOver_;
  AdmissionResult admission = aRequest.serviceState_->queue_.Offer(entry);
  if (admission.evicted_) {
    OnShed(*Find(*admission.evicted_));
  }
  if (!admission.queued_) {
    OnShed(aRequest);
  }
}

/// Handles a request that the queue has shed. If an attempt or a hand-over of
/// it is under way, the end of that decides the outcome.
void Dispatcher::OnShed(ActiveRequest& aRequest)
{
  aRequest.isWaiting_ = false;
  if (aRequest.attempts_.empty() && aRequest.handover_ == 0) {
    FinishUnanswered(aRequest);
  }
}

void Dispatcher::StartWaiting(ServiceState& aService)
{
  aService.queue_.SetSlots(aService.chooser_.UsableSlots());
  StartRetries(aService);
  StartQueued(aService);
  HandOverQueued(aService);
}

void Dispatcher::StartRetries(ServiceState& aService)
{
  std::size_t count = aService.retries_.size();
  for (std::size_t i = 0; i < count; ++i) {
    RequestId id = aService.retries_.front();
    aService.retries_.pop_front();
    ActiveRequest* request = Find(id);
    if (request == nullptr || StartAttempt(*request)) {
      continue;
    }
    if (aService.chooser_.UsableSlots() > 0) {
      aService.retries_.push_back(id);
      continue;
    }
    // This data centre has no usable target; from the queue the request can be
    // handed over to another one.
    ReleaseSlot(*request);
    Enqueue(*request);
  }
}

void Dispatcher::StartQueued(ServiceState& aService)
{
  std::vector<RequestId> dropped;
  while (auto next = aService.queue_.TakeNext(dropped)) {
    ActiveRequest& request = *Find(next->id_);
    request.holdsSlot_ = true;
    if (StartAttempt(request)) {
      continue;
    }
    request.holdsSlot_ = false;
    aService.queue_.PutBack(*next);
    break;
  }
  for (RequestId id : dropped) {
    OnShed(*Find(id));
  }
}

void Dispatcher::HandOverQueued(ServiceState& aService)
{
  while (aService.NeedsHandover()) {
    if (!handovers_.FindNode(peers_, aService.Name(), {})) {
      return;
    }
    auto next = aService.queue_.TakeForHandover();
    if (!next) {
      return;
    }
    ActiveRequest& request = *Find(next->id_);
    auto node = handovers_.FindNode(peers_, aService.Name(), request.tried_);
    if (!node) {
      // Every node with spare slots has been tried; trying one again is better
      // than trying none.
      node = handovers_.FindNode(peers_, aService.Name(), {});
    }
    StartHandover(request, *node);
  }
}

AttemptTarget Dispatcher::TargetOf(const ServiceState& aService,
                                   const std::string& aVm) const
{
  const VmRecord* record = directory_.Vms().Find(aVm);
  assert(record != nullptr && "targets are chosen from the VM table");
  return { record->endpoint_,
           aService.Spec().probePath_,
           aService.Spec().usualResponseTime_ };
}

/// Returns the caller's content with the Coltsfootshed header fields that a
/// target gets.
static HttpRequest ContentForTarget(const CheckedRequest& aRequest,
                                    Millis aTimeLeft)
{
  HttpRequest content = aRequest.content_;
  const RequestTerms& terms = aRequest.terms_;
  Headers& headers = content.headers_;
  headers.emplace_back(kRequestIdHeader, terms.requestId_);
  headers.emplace_back(kClassHeader, ClassName(terms.class_));
  headers.emplace_back(kDeadlineHeader, std::to_string(aTimeLeft.count()));
  if (!terms.tenant_.empty()) {
    headers.emplace_back(kTenantHeader, terms.tenant_);
  }
  return content;
}

bool Dispatcher::StartAttempt(ActiveRequest& aRequest)
{
  ServiceState& service = *aRequest.serviceState_;
  auto target = service.chooser_.Take(aRequest.tried_);
  if (!target && !aRequest.tried_.empty()) {
    // Every target with a free slot has been tried; trying one again is better
    // than trying none.
    target = service.chooser_.Take({});
  }
  if (!target) {
    return false;
  }
  Millis now = clock_.Now();
  Millis timeLeft = aRequest.deadline_ - now;
  if (aRequest.started_ == Millis(0)) {
    aRequest.started_ = now;
  }
  aRequest.isWaiting_ = false;
  aRequest.flow_->OnAttempt();
  AttemptEvents events;
  events.onEnd_ = [this, id = aRequest.id_, vm = *target](AttemptId aAttempt,
                                                          CallResult aResult) {
    OnAttemptEnd(id, aAttempt, vm, std::move(aResult));
  };
  events.onSilent_ = [this, id = aRequest.id_, vm = *target](bool aAlive) {
    OnAttemptSilent(id, vm, aAlive);
  };
  bool recentOnly = !aRequest.request_.terms_.idempotent_;
  AttemptId attempt =
    targets_.Start(TargetOf(service, *target),
                   ContentForTarget(aRequest.request_, timeLeft),
                   timeLeft + kAttemptSlack,
                   recentOnly,
                   std::move(events));
  aRequest.attempts_.push_back({ attempt, *target });
  return true;
}

void Dispatcher::StartHandover(ActiveRequest& aRequest,
                               const std::string& aNode)
{
  assert(aRequest.handover_ == 0 && "one hand-over of a request at a time");
  aRequest.isWaiting_ = false;
  aRequest.flow_->OnAttempt();
  aRequest.handover_ = handovers_.Begin(aRequest.id_, aNode);
  if (aRequest.started_ == Millis(0)) {
    aRequest.started_ = clock_.Now();
  }
  CheckedRequest handed = aRequest.request_;
  handed.terms_.timeLeft_ = aRequest.deadline_ - clock_.Now();
  peerClient_.HandOver(aRequest.handover_, aNode, handed);
}

static bool IsRefusal(const HttpAnswer& aAnswer)
{
  auto outcome = FindHeader(aAnswer.headers_, kOutcomeHeader);
  return outcome && *outcome == OutcomeName(Outcome::NotRun);
}

FlowStep Dispatcher::EvaluateAnswer(ActiveRequest& aRequest,
                                    const std::string& aTarget,
                                    const HttpAnswer& aAnswer)
{
  ServiceState& service = *aRequest.serviceState_;
  if (FindHeader(aAnswer.headers_, kLeavingHeader)) {
    LeavingMark mark = directory_.Vms().MarkFor(aTarget);
    if (directory_.MergeMark(mark)) {
      peerClient_.AnnounceLeaving(mark);
      UpdateShares();
    }
  }
  if (IsRefusal(aAnswer)) {
    // A target that refuses gets no new attempts until it answers a request or
    // a probe; otherwise retries on it would use up the retry budget.
    service.chooser_.OnFailure(aTarget);
    aRequest.tried_.insert(aTarget);
    return aRequest.flow_->OnRefused();
  }
  service.chooser_.OnSuccess(aTarget);
  return aRequest.flow_->OnAnswered();
}

void Dispatcher::OnAttemptEnd(RequestId aRequest,
                              AttemptId aAttempt,
                              const std::string& aTarget,
                              CallResult aResult)
{
  ActiveRequest& request = *Find(aRequest);
  ServiceState& service = *request.serviceState_;
  std::erase_if(request.attempts_, [&](const RunningAttempt& aItem) {
    return aItem.id_ == aAttempt;
  });
  service.chooser_.Release(aTarget);
  if (aResult.end_ == CallEnd::Answered) {
    FlowStep step = EvaluateAnswer(request, aTarget, aResult.answer_);
    if (step == FlowStep::Finish &&
        request.flow_->Result() == Outcome::Answered) {
      Finish(request, { Outcome::Answered, std::move(aResult.answer_) });
    } else {
      ApplyStep(request, step);
    }
    StartWaiting(service);
    return;
  }
  service.chooser_.OnFailure(aTarget);
  request.tried_.insert(aTarget);
  targets_.CloseIdle(TargetOf(service, aTarget).endpoint_);
  bool broken = aResult.end_ == CallEnd::Broken;
  ApplyStep(request,
            broken ? request.flow_->OnBroken() : request.flow_->OnNotSent());
  StartWaiting(service);
}

void Dispatcher::OnAttemptSilent(RequestId aRequest,
                                 const std::string& aTarget,
                                 bool aAlive)
{
  ActiveRequest* request = Find(aRequest);
  if (request == nullptr) {
    return;
  }
  ServiceState& service = *request->serviceState_;
  if (!aAlive) {
    service.chooser_.OnFailure(aTarget);
    request->tried_.insert(aTarget);
    targets_.CloseIdle(TargetOf(service, aTarget).endpoint_);
  }
  ApplyStep(*request, request->flow_->OnSilent());
  StartWaiting(service);
}

void Dispatcher::ApplyStep(ActiveRequest& aRequest, FlowStep aStep)
{
  bool othersRun = !aRequest.attempts_.empty() || aRequest.handover_ != 0;
  if (aStep == FlowStep::Wait || (aStep == FlowStep::Finish && othersRun)) {
    return;
  }
  if (aStep == FlowStep::Finish) {
    FinishUnanswered(aRequest);
    return;
  }
  if (aRequest.isWaiting_ || aRequest.handover_ != 0) {
    // Another attempt has ended earlier and has already caused a retry.
    return;
  }
  if (aRequest.holdsSlot_) {
    aRequest.isWaiting_ = true;
    aRequest.serviceState_->retries_.push_back(aRequest.id_);
    return;
  }
  Enqueue(aRequest);
}

void Dispatcher::OnHandoverEnded(HandoverEnded aEnded)
{
  auto id = handovers_.RequestOf(aEnded.id_);
  if (!id) {
    return;
  }
  ActiveRequest& request = *Find(*id);
  ServiceState& service = *request.serviceState_;
  bool silent = aEnded.end_ == HandoverEnd::Silent;
  if (silent && !request.request_.terms_.idempotent_) {
    // The peer may have run the request, so only the end of the hand-over or
    // the deadline decides.
    return;
  }
  std::string node = handovers_.NodeOf(aEnded.id_);
  handovers_.End(aEnded.id_);
  request.handover_ = 0;
  RequestFlow& flow = *request.flow_;
  Outcome outcome = aEnded.answer_.outcome_;
  if (aEnded.end_ == HandoverEnd::NotSent) {
    handovers_.Pause(node);
    ApplyStep(request, flow.OnNotSent());
  } else if (aEnded.end_ != HandoverEnd::Answered ||
             outcome == Outcome::Unknown) {
    request.tried_.insert(node);
    ApplyStep(request, flow.OnBroken());
  } else if (outcome == Outcome::NotRun) {
    request.tried_.insert(node);
    ApplyStep(request, flow.OnRefused());
  } else {
    flow.OnAnswered();
    Finish(request, std::move(aEnded.answer_));
  }
  StartWaiting(service);
}

std::optional<Millis> Dispatcher::NextDeadline() const
{
  if (deadlines_.empty()) {
    return std::nullopt;
  }
  return deadlines_.begin()->first;
}

void Dispatcher::OnDeadlines()
{
  while (!deadlines_.empty() && deadlines_.begin()->first <= clock_.Now()) {
    OnDeadline(*Find(deadlines_.begin()->second));
  }
}

void Dispatcher::OnDeadline(ActiveRequest& aRequest)
{
  ServiceState& service = *aRequest.serviceState_;
  bool mayHaveSent = aRequest.handover_ != 0;
  for (const RunningAttempt& attempt : aRequest.attempts_) {
    mayHaveSent = mayHaveSent || targets_.MayHaveSent(attempt.id_);
  }
  aRequest.overdue_ = true;
  aRequest.flow_->OnDeadline(mayHaveSent);
  FinishUnanswered(aRequest);
  StartWaiting(service);
}

void Dispatcher::OnCallerDisconnected(RequestId aRequest)
{
  ActiveRequest* request = Find(aRequest);
  if (request == nullptr || request->flow_->Attempts() > 0) {
    return;
  }
  FinishUnanswered(*request);
}

static HttpAnswer FailureAnswer(Outcome aOutcome,
                                bool aOverdue,
                                Millis aExpectedWait)
{
  HttpAnswer answer;
  if (aOutcome == Outcome::NotRun) {
    auto seconds = (aExpectedWait.count() + 999) / 1000;
    answer.code_ = 503;
    answer.headers_.emplace_back(
      "Retry-After", std::to_string(std::max<std::int64_t>(1, seconds)));
    answer.body_ = "the request was not run\n";
    return answer;
  }
  answer.code_ = aOverdue ? 504 : 502;
  answer.body_ = "the request may have run\n";
  return answer;
}

void Dispatcher::FinishUnanswered(ActiveRequest& aRequest)
{
  Outcome outcome = aRequest.flow_->Result();
  Millis wait = aRequest.serviceState_->queue_.ExpectedWait(
    aRequest.request_.terms_.class_);
  Finish(aRequest,
         { outcome, FailureAnswer(outcome, aRequest.overdue_, wait) });
}

void Dispatcher::ReleaseAttempts(ActiveRequest& aRequest)
{
  for (const RunningAttempt& attempt : aRequest.attempts_) {
    targets_.Abandon(attempt.id_);
    aRequest.serviceState_->chooser_.Release(attempt.target_);
  }
  aRequest.attempts_.clear();
  handovers_.End(aRequest.handover_);
  aRequest.handover_ = 0;
}

void Dispatcher::ReleaseSlot(ActiveRequest& aRequest)
{
  Millis targetTime = clock_.Now() - aRequest.started_;
  aRequest.holdsSlot_ = false;
  aRequest.serviceState_->queue_.OnFinished(aRequest.request_.terms_.class_,
                                            targetTime);
}

void Dispatcher::Finish(ActiveRequest& aRequest, RequestAnswer aAnswer)
{
  Millis now = clock_.Now();
  ServiceState& service = *aRequest.serviceState_;
  const RequestTerms& terms = aRequest.request_.terms_;
  bool started = aRequest.started_ != Millis(0);
  Millis targetTime = started ? now - aRequest.started_ : Millis(0);
  ReleaseAttempts(aRequest);
  if (aRequest.holdsSlot_) {
    ReleaseSlot(aRequest);
  } else {
    service.queue_.Remove(aRequest.id_);
  }
  Millis totalTime = now - aRequest.arrived_;
  metrics_.Count(terms.tenant_,
                 terms.class_,
                 aAnswer.outcome_,
                 { totalTime - targetTime, targetTime, totalTime });
  Headers& headers = aAnswer.answer_.headers_;
  std::erase_if(headers, [](const auto& aField) {
    return StartsWithIgnoringCase(aField.first, kProjectHeaderPrefix);
  });
  headers.emplace_back(kOutcomeHeader, OutcomeName(aAnswer.outcome_));
  headers.emplace_back(kRequestIdHeader, terms.requestId_);
  auto onAnswer = std::move(aRequest.onAnswer_);
  deadlines_.erase({ aRequest.deadline_, aRequest.id_ });
  requests_.erase(aRequest.id_);
  onAnswer(std::move(aAnswer));
}

void Dispatcher::ProbeSuspected(ServiceState& aService)
{
  for (const std::string& vm : aService.chooser_.TakeDueProbes()) {
    if (directory_.Vms().Find(vm) == nullptr) {
      continue;
    }
    targets_.Probe(TargetOf(aService, vm),
                   [this, vm, service = &aService](bool aAlive) {
                     if (!aAlive) {
                       service->chooser_.OnFailure(vm);
                       return;
                     }
                     service->chooser_.OnProbeAnswered(vm);
                     StartWaiting(*service);
                   });
  }
}

void Dispatcher::OnTick()
{
  if (directory_.CurrentDocument() == nullptr) {
    return;
  }
  peers_.Forget();
  UpdateShares();
  for (auto& [name, service] : serviceStates_) {
    ProbeSuspected(*service);
    StartWaiting(*service);
  }
}

ServiceLoads Dispatcher::TakeLoads()
{
  ServiceLoads loads;
  for (auto& [name, service] : serviceStates_) {
    ServiceLoad load = service->TakeLoadReport();
    // Peers take a service that is missing from a report as one without demand
    // and without spare slots.
    if (load.demand_ > 0 || load.spare_ > 0) {
      loads.emplace(name, load);
    }
  }
  return loads;
}

std::string Dispatcher::Status() const
{
  nlohmann::json services = nlohmann::json::object();
  for (const auto& [name, service] : serviceStates_) {
    services[name] = { { "slots", service->queue_.Slots() },
                       { "running", service->queue_.Running() },
                       { "waiting", service->queue_.Waiting() } };
  }
  nlohmann::json vms = nlohmann::json::array();
  for (const auto& [name, record] : directory_.Vms().All()) {
    vms.push_back({ { "name", name },
                    { "data_centre", record.dataCentre_ },
                    { "address", record.endpoint_.Text() },
                    { "leaving", directory_.Vms().IsLeaving(name) } });
  }
  nlohmann::json peers = nlohmann::json::array();
  for (const NodeReport* report : peers_.LiveReports()) {
    peers.push_back({ { "node", report->self_.node_ },
                      { "data_centre", report->self_.dataCentre_ },
                      { "version", report->version_ } });
  }
  return nlohmann::json{
    { "services", services },
    { "vms", vms },
    { "live_peers", peers },
    { "active_requests", requests_.size() }
  }.dump();
}

} // namespace coltsfootshed
