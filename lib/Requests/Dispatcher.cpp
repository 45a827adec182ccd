#include "coltsfootshed/Requests/Dispatcher.h"

#include <algorithm>
#include <cassert>
#include <nlohmann/json.hpp>
#include <utility>

namespace coltsfootshed {

/// Attempts that may reach a target, per request.
static constexpr int kMostAttempts = 4;
/// Attempts end on their own this long after the request's deadline.
static constexpr Millis kAttemptSlack{ 1000 };

Dispatcher::Dispatcher(const Clock& aClock,
                       NodeAddress aSelf,
                       TargetOutlet& aTargets,
                       PeerOutlet& aPeers)
  : clock_(aClock)
  , self_(aSelf)
  , targets_(aTargets)
  , peerOutlet_(aPeers)
  , directory_(aSelf.dataCentre_)
  , peers_(aClock, std::move(aSelf))
  , handovers_(aClock)
{
}

void Dispatcher::SetDocument(std::shared_ptr<const Document> aDocument)
{
  for (const auto& [name, spec] : aDocument->services_) {
    std::unique_ptr<ServiceLane>& lane = lanes_[name];
    if (lane == nullptr) {
      lane = std::make_unique<ServiceLane>(clock_, name, spec);
    }
    lane->SetSpec(spec);
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
  bool news = false;
  for (const LeavingMark& mark : aReport.marks_) {
    news = directory_.MergeMark(mark) || news;
  }
  if (news) {
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
    bool busy =
      std::any_of(lanes_.begin(), lanes_.end(), [&vm = vm](const auto& aLane) {
        return aLane.second->chooser_.Running(vm) > 0;
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
  for (auto& [name, lane] : lanes_) {
    // A service that has left the document has no targets, but what it
    // accepted before still ends properly.
    bool known = document->services_.contains(name);
    std::span<const std::string> members;
    if (known) {
      members = directory_.Members(lane->Spec().pool_);
    }
    lane->UpdateTargets(members, peers_, self_.node_);
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
  active->lane_ = lanes_.find(terms.service_)->second.get();
  active->flow_ = std::make_unique<RequestFlow>(
    terms.idempotent_, kMostAttempts, active->lane_->budget_);
  active->onAnswer_ = std::move(aOnAnswer);
  active->arrived_ = clock_.Now();
  active->deadline_ = active->arrived_ + terms.timeLeft_;
  active->mayHandOver_ = aMayHandOver;
  deadlines_.emplace(active->deadline_, id);
  ActiveRequest& request =
    *requests_.emplace(id, std::move(active)).first->second;
  ServiceLane& lane = *request.lane_;
  Enqueue(request);
  Pump(lane);
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
  Admitted admitted = aRequest.lane_->queue_.Offer(entry);
  if (admitted.evicted_) {
    GiveUpWaiting(*Find(*admitted.evicted_));
  }
  if (!admitted.queued_) {
    GiveUpWaiting(aRequest);
  }
}

/// The queue has no place for a request. If another attempt is under way, its
/// end decides.
void Dispatcher::GiveUpWaiting(ActiveRequest& aRequest)
{
  aRequest.isWaiting_ = false;
  if (aRequest.attempts_.empty() && aRequest.handover_ == 0) {
    FinishUnanswered(aRequest);
  }
}

void Dispatcher::Pump(ServiceLane& aLane)
{
  aLane.queue_.SetSlots(aLane.chooser_.UsableSlots());
  PumpRetries(aLane);
  PumpQueue(aLane);
  PumpOverflow(aLane);
}

void Dispatcher::PumpRetries(ServiceLane& aLane)
{
  std::size_t count = aLane.retries_.size();
  for (std::size_t i = 0; i < count; ++i) {
    RequestId id = aLane.retries_.front();
    aLane.retries_.pop_front();
    ActiveRequest* request = Find(id);
    if (request == nullptr || StartAttempt(*request)) {
      continue;
    }
    if (aLane.chooser_.UsableSlots() > 0) {
      aLane.retries_.push_back(id);
      continue;
    }
    // No target is left here; in the queue it can go elsewhere.
    ReleaseSlot(*request);
    Enqueue(*request);
  }
}

void Dispatcher::PumpQueue(ServiceLane& aLane)
{
  std::vector<RequestId> dropped;
  while (auto next = aLane.queue_.TakeNext(dropped)) {
    ActiveRequest& request = *Find(next->id_);
    request.holdsSlot_ = true;
    if (StartAttempt(request)) {
      continue;
    }
    request.holdsSlot_ = false;
    aLane.queue_.PutBack(*next);
    break;
  }
  for (RequestId id : dropped) {
    GiveUpWaiting(*Find(id));
  }
}

void Dispatcher::PumpOverflow(ServiceLane& aLane)
{
  while (aLane.WantsOverflow()) {
    if (!handovers_.FindNode(peers_, aLane.Name(), {})) {
      return;
    }
    auto next = aLane.queue_.TakeForOverflow();
    if (!next) {
      return;
    }
    ActiveRequest& request = *Find(next->id_);
    auto node = handovers_.FindNode(peers_, aLane.Name(), request.tried_);
    if (!node) {
      // Each node had its turn; a second turn is better than none.
      node = handovers_.FindNode(peers_, aLane.Name(), {});
    }
    StartHandover(request, *node);
  }
}

AttemptTarget Dispatcher::TargetOf(const ServiceLane& aLane,
                                   const std::string& aVm) const
{
  const VmRecord* record = directory_.Vms().Find(aVm);
  assert(record != nullptr && "targets are chosen from the VM table");
  return { record->endpoint_, aLane.Spec().probePath_, aLane.Spec().usual_ };
}

/// The caller's content with our fields for the target.
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
  ServiceLane& lane = *aRequest.lane_;
  auto target = lane.chooser_.Take(aRequest.tried_);
  if (!target && !aRequest.tried_.empty()) {
    // Each target had its turn; a second turn is better than none.
    target = lane.chooser_.Take({});
  }
  if (!target) {
    return false;
  }
  Millis now = clock_.Now();
  Millis left = aRequest.deadline_ - now;
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
  bool careful = !aRequest.request_.terms_.idempotent_;
  AttemptId attempt = targets_.Start(TargetOf(lane, *target),
                                     ContentForTarget(aRequest.request_, left),
                                     left + kAttemptSlack,
                                     careful,
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
  peerOutlet_.HandOver(aRequest.handover_, aNode, handed);
}

static bool IsRefusal(const HttpAnswer& aAnswer)
{
  auto outcome = FindHeader(aAnswer.headers_, kOutcomeHeader);
  return outcome && *outcome == OutcomeName(Outcome::NotRun);
}

FlowStep Dispatcher::JudgeAnswer(ActiveRequest& aRequest,
                                 const std::string& aTarget,
                                 const HttpAnswer& aAnswer)
{
  ServiceLane& lane = *aRequest.lane_;
  if (FindHeader(aAnswer.headers_, kLeavingHeader)) {
    LeavingMark mark = directory_.Vms().MarkFor(aTarget);
    if (directory_.MergeMark(mark)) {
      peerOutlet_.TellLeaving(mark);
      UpdateShares();
    }
  }
  if (IsRefusal(aAnswer)) {
    // A target that refuses is left alone for a while, or the retry budget
    // would be spent on it.
    lane.chooser_.OnFailure(aTarget);
    aRequest.tried_.insert(aTarget);
    return aRequest.flow_->OnRefused();
  }
  lane.chooser_.OnSuccess(aTarget);
  return aRequest.flow_->OnAnswered();
}

void Dispatcher::OnAttemptEnd(RequestId aRequest,
                              AttemptId aAttempt,
                              const std::string& aTarget,
                              CallResult aResult)
{
  ActiveRequest& request = *Find(aRequest);
  ServiceLane& lane = *request.lane_;
  std::erase_if(request.attempts_, [&](const RunningAttempt& aItem) {
    return aItem.id_ == aAttempt;
  });
  lane.chooser_.Release(aTarget);
  if (aResult.end_ == CallEnd::Answered) {
    FlowStep step = JudgeAnswer(request, aTarget, aResult.answer_);
    if (step == FlowStep::Finish &&
        request.flow_->Result() == Outcome::Answered) {
      Finish(request, { Outcome::Answered, std::move(aResult.answer_) });
    } else {
      Proceed(request, step);
    }
    Pump(lane);
    return;
  }
  lane.chooser_.OnFailure(aTarget);
  request.tried_.insert(aTarget);
  targets_.CloseIdle(TargetOf(lane, aTarget).endpoint_);
  bool broken = aResult.end_ == CallEnd::Broken;
  Proceed(request,
          broken ? request.flow_->OnBroken() : request.flow_->OnNotSent());
  Pump(lane);
}

void Dispatcher::OnAttemptSilent(RequestId aRequest,
                                 const std::string& aTarget,
                                 bool aAlive)
{
  ActiveRequest* request = Find(aRequest);
  if (request == nullptr) {
    return;
  }
  ServiceLane& lane = *request->lane_;
  if (!aAlive) {
    lane.chooser_.OnFailure(aTarget);
    request->tried_.insert(aTarget);
    targets_.CloseIdle(TargetOf(lane, aTarget).endpoint_);
  }
  Proceed(*request, request->flow_->OnSilent());
  Pump(lane);
}

void Dispatcher::Proceed(ActiveRequest& aRequest, FlowStep aStep)
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
    // An earlier end of another attempt has led to a retry already.
    return;
  }
  if (aRequest.holdsSlot_) {
    aRequest.isWaiting_ = true;
    aRequest.lane_->retries_.push_back(aRequest.id_);
    return;
  }
  Enqueue(aRequest);
}

void Dispatcher::OnHandoverEnded(HandoverEnded aNews)
{
  auto id = handovers_.RequestOf(aNews.id_);
  if (!id) {
    return;
  }
  ActiveRequest& request = *Find(*id);
  ServiceLane& lane = *request.lane_;
  bool silent = aNews.end_ == HandoverEnd::Silent;
  if (silent && !request.request_.terms_.idempotent_) {
    return;
  }
  std::string node = handovers_.NodeOf(aNews.id_);
  handovers_.End(aNews.id_);
  request.handover_ = 0;
  RequestFlow& flow = *request.flow_;
  Outcome outcome = aNews.answer_.outcome_;
  if (aNews.end_ == HandoverEnd::NotSent) {
    handovers_.Pause(node);
    Proceed(request, flow.OnNotSent());
  } else if (aNews.end_ != HandoverEnd::Answered ||
             outcome == Outcome::Unknown) {
    request.tried_.insert(node);
    Proceed(request, flow.OnBroken());
  } else if (outcome == Outcome::NotRun) {
    request.tried_.insert(node);
    Proceed(request, flow.OnRefused());
  } else {
    flow.OnAnswered();
    Finish(request, std::move(aNews.answer_));
  }
  Pump(lane);
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
  ServiceLane& lane = *aRequest.lane_;
  bool maySent = aRequest.handover_ != 0;
  for (const RunningAttempt& attempt : aRequest.attempts_) {
    maySent = maySent || targets_.MayHaveSent(attempt.id_);
  }
  aRequest.overdue_ = true;
  aRequest.flow_->OnDeadline(maySent);
  FinishUnanswered(aRequest);
  Pump(lane);
}

void Dispatcher::OnCallerGone(RequestId aRequest)
{
  ActiveRequest* request = Find(aRequest);
  if (request == nullptr || request->flow_->Attempts() > 0) {
    return;
  }
  FinishUnanswered(*request);
}

static HttpAnswer UnansweredAnswer(Outcome aOutcome,
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
  Millis wait =
    aRequest.lane_->queue_.ExpectedWait(aRequest.request_.terms_.class_);
  Finish(aRequest,
         { outcome, UnansweredAnswer(outcome, aRequest.overdue_, wait) });
}

void Dispatcher::ReleaseAttempts(ActiveRequest& aRequest)
{
  for (const RunningAttempt& attempt : aRequest.attempts_) {
    targets_.Abandon(attempt.id_);
    aRequest.lane_->chooser_.Release(attempt.target_);
  }
  aRequest.attempts_.clear();
  handovers_.End(aRequest.handover_);
  aRequest.handover_ = 0;
}

void Dispatcher::ReleaseSlot(ActiveRequest& aRequest)
{
  Millis withTarget = clock_.Now() - aRequest.started_;
  aRequest.holdsSlot_ = false;
  aRequest.lane_->queue_.OnFinished(aRequest.request_.terms_.class_,
                                    withTarget);
}

void Dispatcher::Finish(ActiveRequest& aRequest, RequestAnswer aAnswer)
{
  Millis now = clock_.Now();
  ServiceLane& lane = *aRequest.lane_;
  const RequestTerms& terms = aRequest.request_.terms_;
  bool started = aRequest.started_ != Millis(0);
  Millis withTarget = started ? now - aRequest.started_ : Millis(0);
  ReleaseAttempts(aRequest);
  if (aRequest.holdsSlot_) {
    ReleaseSlot(aRequest);
  } else {
    lane.queue_.Remove(aRequest.id_);
  }
  Millis whole = now - aRequest.arrived_;
  metrics_.Count(terms.tenant_,
                 terms.class_,
                 aAnswer.outcome_,
                 { whole - withTarget, withTarget, whole });
  Headers& headers = aAnswer.answer_.headers_;
  std::erase_if(headers, [](const auto& aField) {
    return StartsWithText(aField.first, kOurPrefix);
  });
  headers.emplace_back(kOutcomeHeader, OutcomeName(aAnswer.outcome_));
  headers.emplace_back(kRequestIdHeader, terms.requestId_);
  auto onAnswer = std::move(aRequest.onAnswer_);
  deadlines_.erase({ aRequest.deadline_, aRequest.id_ });
  requests_.erase(aRequest.id_);
  onAnswer(std::move(aAnswer));
}

void Dispatcher::ProbeSuspected(ServiceLane& aLane)
{
  for (const std::string& vm : aLane.chooser_.TakeDueProbes()) {
    if (directory_.Vms().Find(vm) == nullptr) {
      continue;
    }
    targets_.Probe(TargetOf(aLane, vm), [this, vm, lane = &aLane](bool aAlive) {
      if (!aAlive) {
        lane->chooser_.OnFailure(vm);
        return;
      }
      lane->chooser_.OnProbeAnswered(vm);
      Pump(*lane);
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
  for (auto& [name, lane] : lanes_) {
    ProbeSuspected(*lane);
    Pump(*lane);
  }
}

ServiceLoads Dispatcher::TakeLoads()
{
  ServiceLoads loads;
  for (auto& [name, lane] : lanes_) {
    ServiceLoad load = lane->TakeLoadReport();
    // What a report leaves out counts as nothing.
    if (load.demand_ > 0 || load.spare_ > 0) {
      loads.emplace(name, load);
    }
  }
  return loads;
}

std::string Dispatcher::Status() const
{
  nlohmann::json services = nlohmann::json::object();
  for (const auto& [name, lane] : lanes_) {
    services[name] = { { "slots", lane->queue_.Slots() },
                       { "running", lane->queue_.Running() },
                       { "waiting", lane->queue_.Waiting() } };
  }
  nlohmann::json vms = nlohmann::json::array();
  for (const auto& [name, record] : directory_.Vms().All()) {
    vms.push_back({ { "name", name },
                    { "data_centre", record.dataCentre_ },
                    { "address", record.endpoint_.Text() },
                    { "leaving", directory_.Vms().IsLeaving(name) } });
  }
  nlohmann::json peers = nlohmann::json::array();
  for (const NodeReport* report : peers_.Live()) {
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
