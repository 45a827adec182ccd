#include "coltsfootshed/Requests/RequestsTask.h"

#include "coltsfootshed/Requests/RequestCheck.h"

#include <event2/event.h>
#include <utility>

namespace coltsfootshed {

static constexpr Millis kTick{ 100 };
/// How long a stopping task must have been idle before it ends.
static constexpr Millis kIdleBeforeExit{ 200 };
static constexpr Millis kStopTick{ 20 };

RequestsTask::RequestsTask(const Settings& aSettings,
                           const Clock& aClock,
                           Mailboxes& aMailboxes)
  : settings_(aSettings)
  , clock_(aClock)
  , mailboxes_(aMailboxes)
  , base_(event_base_new())
{
  NodeAddress self{ settings_.node_, settings_.dataCentre_, settings_.peers_ };
  PeerClient& peerClient = *this;
  targets_ = std::make_unique<AttemptRunner>(base_, clock_);
  dispatcher_ = std::make_unique<Dispatcher>(
    clock_, std::move(self), *targets_, peerClient);
  deadlineTimer_ = std::make_unique<Timer>(base_, [this] {
    armedDeadline_.reset();
    dispatcher_->OnDeadlines();
    ArmDeadline();
  });
  ServerLimits limits{ static_cast<std::uint64_t>(settings_.maxBodyBytes_),
                       static_cast<std::size_t>(
                         settings_.maxCallerConnections_) };
  server_ = std::make_unique<HttpServer>(
    base_, limits, [this](const std::shared_ptr<ServerExchange>& aExchange) {
      OnRequest(aExchange);
    });
  mail_ = std::make_unique<MailboxEvent<RequestsMessage>>(
    base_, mailboxes_.requests_, [this](RequestsMessage aMessage) {
      std::visit([this](auto& aItem) { Handle(std::move(aItem)); }, aMessage);
    });
  tick_ = std::make_unique<Timer>(base_, [this] { OnTick(); });
  stopTick_ = std::make_unique<Timer>(base_, [this] { OnStopTick(); });
}

RequestsTask::~RequestsTask()
{
  stopTick_.reset();
  tick_.reset();
  deadlineTimer_.reset();
  mail_.reset();
  server_.reset();
  dispatcher_.reset();
  targets_.reset();
  event_base_free(base_);
}

Result<void> RequestsTask::Listen()
{
  return server_->Listen(settings_.callers_);
}

void RequestsTask::Run()
{
  tick_->Start(kTick);
  event_base_dispatch(base_);
}

static HttpAnswer NotRunAnswer(int aCode, std::string aText)
{
  HttpAnswer answer;
  answer.code_ = aCode;
  answer.headers_.emplace_back(kOutcomeHeader, OutcomeName(Outcome::NotRun));
  if (aCode == 503) {
    answer.headers_.emplace_back("Retry-After", "1");
  }
  answer.body_ = std::move(aText) + "\n";
  return answer;
}

void RequestsTask::OnRequest(const std::shared_ptr<ServerExchange>& aExchange)
{
  const Document* document = dispatcher_->CurrentDocument();
  if (document == nullptr) {
    aExchange->Reply(NotRunAnswer(503, "no configuration is in force yet"));
    return;
  }
  auto checked = CheckRequest(aExchange->Request(), *document);
  if (!checked) {
    const RequestError& requestError = checked.error();
    aExchange->Reply(NotRunAnswer(requestError.code_, requestError.text_));
    return;
  }
  RequestId id = dispatcher_->Accept(
    std::move(*checked), true, [aExchange](const RequestAnswer& aAnswer) {
      aExchange->Reply(aAnswer.answer_);
    });
  ArmDeadline();
  aExchange->SetOnCallerDisconnected(
    [this, id] { dispatcher_->OnCallerDisconnected(id); });
}

void RequestsTask::ArmDeadline()
{
  std::optional<Millis> next = dispatcher_->NextDeadline();
  if (!next || (armedDeadline_ && *armedDeadline_ <= *next)) {
    return;
  }
  armedDeadline_ = next;
  deadlineTimer_->Start(*next - clock_.Now());
}

void RequestsTask::HandOver(HandoverId aId,
                            const std::string& aNode,
                            const CheckedRequest& aRequest)
{
  mailboxes_.peers_.Post(HandoverRequested{ aId, aNode, aRequest });
}

void RequestsTask::AnnounceLeaving(const LeavingMark& aMark)
{
  mailboxes_.peers_.Post(LeavingMarksSeen{ { aMark } });
}

void RequestsTask::OnTick()
{
  dispatcher_->OnTick();
  ReportLoadsAndQuietVms();
  tick_->Start(kTick);
}

void RequestsTask::ReportLoadsAndQuietVms()
{
  std::vector<QuietVm> quietVms = dispatcher_->QuietVms();
  mailboxes_.peers_.Post(OwnLoads{ dispatcher_->TakeLoads(), quietVms });
  if (quietVms != reportedQuiet_) {
    reportedQuiet_ = quietVms;
    mailboxes_.fleet_.Post(OwnQuietVms{ std::move(quietVms) });
  }
}

void RequestsTask::Handle(DocumentInForce aMessage)
{
  dispatcher_->SetDocument(std::move(aMessage.document_));
}

void RequestsTask::Handle(const VmsRead& aMessage)
{
  dispatcher_->MergeVms(aMessage.vms_);
}

void RequestsTask::Handle(RecordsInForce aMessage)
{
  dispatcher_->SetRecords(std::move(aMessage.fleet_));
}

void RequestsTask::Handle(const PeerReported& aMessage)
{
  dispatcher_->MergeReport(aMessage.report_);
}

void RequestsTask::Handle(HandoverArrived aMessage)
{
  HandoverId id = aMessage.id_;
  const Document* document = dispatcher_->CurrentDocument();
  const std::string& service = aMessage.request_.terms_.service_;
  bool known = document != nullptr && document->services_.contains(service);
  if (!known || stopping_) {
    RequestAnswer refusal{ Outcome::NotRun, {} };
    mailboxes_.peers_.Post(HandoverServed{ id, std::move(refusal) });
    return;
  }
  dispatcher_->Accept(
    std::move(aMessage.request_), false, [this, id](RequestAnswer aAnswer) {
      mailboxes_.peers_.Post(HandoverServed{ id, std::move(aAnswer) });
    });
  ArmDeadline();
}

void RequestsTask::Handle(HandoverEnded aMessage)
{
  dispatcher_->OnHandoverEnded(std::move(aMessage));
}

void RequestsTask::Handle(const ViewRequested& aMessage)
{
  std::string text;
  switch (aMessage.view_) {
    case RequestsView::Status:
      text = dispatcher_->Status();
      break;
    case RequestsView::Metrics:
      text = dispatcher_->Metrics().ToPrometheus();
      break;
    case RequestsView::Histograms:
      text = dispatcher_->Metrics().ToJson();
      break;
  }
  mailboxes_.fleet_.Post(ViewReady{ aMessage.ticket_, std::move(text) });
}

void RequestsTask::Handle(RequestsStopping)
{
  if (stopping_) {
    return;
  }
  stopping_ = true;
  stopRequestedAt_ = clock_.Now();
  idleSince_ = stopRequestedAt_;
  server_->CloseAfterAnswers();
  stopTick_->Start(kStopTick);
}

void RequestsTask::OnStopTick()
{
  stopTick_->Start(kStopTick);
  Millis now = clock_.Now();
  if (now - stopRequestedAt_ < settings_.stopGrace_) {
    idleSince_ = now;
    return;
  }
  server_->StopListening();
  if (server_->UnansweredRequests() > 0 || !dispatcher_->IsIdle()) {
    idleSince_ = now;
    return;
  }
  if (now - idleSince_ >= kIdleBeforeExit) {
    mailboxes_.fleet_.Post(RequestsDrained{});
    event_base_loopbreak(base_);
  }
}

} // namespace coltsfootshed
