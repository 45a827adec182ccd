#include "Peers/PeerExchange.h"

#include "Peers/PeerServer.h"
#include "Peers/Wire.h"
#include "coltsfootshed/Platform/PlatformClient.h"

#include <algorithm>
#include <set>
#include <spdlog/spdlog.h>
#include <utility>

namespace coltsfootshed {

/// Interval at which broken links are reconnected.
static constexpr kj::Duration kTick = 250 * kj::MILLISECONDS;
/// Reports are sent on every fourth tick.
static constexpr unsigned kTicksPerReport = 4;
/// Time in which a peer must answer a call; a link whose report is not answered
/// in this time counts as silent.
static constexpr kj::Duration kAnswerLimit = 2 * kj::SECONDS;
static constexpr kj::Duration kConnectLimit = 1 * kj::SECONDS;
/// Delay between PeersQuit and the end of the task, so that answers already
/// written to a socket are sent.
static constexpr kj::Duration kQuitDelay = 200 * kj::MILLISECONDS;
/// A hand-over is abandoned this long after its request's deadline.
static constexpr kj::Duration kHandoverSlack = 500 * kj::MILLISECONDS;
/// Number of other nodes' addresses listed in one report, in rotation.
static constexpr std::size_t kAddressesPerReport = 4;

PeerExchange::PeerExchange(const Settings& aSettings,
                           const Clock& aClock,
                           Mailboxes& aMailboxes,
                           kj::AsyncIoContext& aIo)
  : settings_(aSettings)
  , mailboxes_(aMailboxes)
  , io_(aIo)
  , timer_(aIo.provider->getTimer())
  , mailboxObserver_(aIo.unixEventPort,
                     aMailboxes.peers_.Fd(),
                     kj::UnixEventPort::FdObserver::OBSERVE_READ)
  , peers_(aClock, { aSettings.node_, aSettings.dataCentre_, aSettings.peers_ })
  , tasks_(*this)
{
  ownReport_.self_ = { settings_.node_,
                       settings_.dataCentre_,
                       settings_.peers_ };
  config_.sections_ = std::make_shared<const Sections>();
  for (const Endpoint& seed : settings_.seeds_) {
    if (seed != settings_.peers_) {
      contacts_[seed].endpoint_ = seed;
    }
  }
}

void PeerExchange::taskFailed(kj::Exception&& aException)
{
  spdlog::warn("event=peer_task_failed error=\"{}\"",
               aException.getDescription().cStr());
}

kj::Promise<void> PeerExchange::Run()
{
  auto quit = kj::newPromiseAndFulfiller<void>();
  quitFulfiller_ = kj::mv(quit.fulfiller);
  tasks_.add(Listen());
  tasks_.add(MailboxLoop());
  tasks_.add(TickLoop());
  return kj::mv(quit.promise);
}

kj::Promise<void> PeerExchange::Listen()
{
  auto& network = io_.provider->getNetwork();
  return network.parseAddress(settings_.peers_.Text())
    .then([this](kj::Own<kj::NetworkAddress> aAddress) {
      auto server =
        kj::heap<capnp::TwoPartyServer>(kj::heap<PeerServer>(*this));
      auto receiver = aAddress->listen();
      auto listening = server->listen(*receiver);
      return listening.attach(kj::mv(receiver), kj::mv(server));
    });
}

kj::Promise<void> PeerExchange::MailboxLoop()
{
  return mailboxObserver_.whenBecomesReadable().then([this] {
    for (PeersMessage& message : mailboxes_.peers_.TakeAll()) {
      std::visit([this](auto& aItem) { Handle(aItem); }, message);
    }
    return MailboxLoop();
  });
}

kj::Promise<void> PeerExchange::TickLoop()
{
  return timer_.afterDelay(kTick).then([this] {
    Tick();
    return TickLoop();
  });
}

void PeerExchange::Tick()
{
  for (auto& [endpoint, contact] : contacts_) {
    DropIfDisconnected(contact);
    if (contact.link_ == nullptr) {
      Connect(contact);
    }
  }
  ++ticks_;
  if (ticks_ % kTicksPerReport == 0) {
    SendReports();
  }
}

/// Idle links must be replaced too: a peer that was restarted without seeds
/// knows no other nodes until they reconnect and send it their reports.
void PeerExchange::DropIfDisconnected(PeerContact& aContact)
{
  bool disconnected = false;
  KJ_IF_MAYBE (link, aContact.link_) {
    disconnected = (*link)->disconnected_;
  }
  if (disconnected) {
    aContact.link_ = nullptr;
  }
}

void PeerExchange::SendReports()
{
  peers_.Forget();
  std::vector<PeerContact*> remote;
  for (auto& [endpoint, contact] : contacts_) {
    if (contact.link_ == nullptr) {
      continue;
    }
    bool isNew = contact.node_.empty();
    // An exchange gives both sides a report, so within a data centre only the
    // node with the lower name starts it. A contact whose name is not known yet
    // is always asked. Of all remote nodes, one is asked at a time, in turn.
    bool asks = isNew || settings_.node_ < contact.node_;
    if (!isNew && contact.dataCentre_ != settings_.dataCentre_) {
      remote.push_back(&contact);
    } else if (asks) {
      Exchange(contact);
    }
  }
  if (!remote.empty()) {
    Exchange(*remote[nextRemoteContact_++ % remote.size()]);
  }
}

void PeerExchange::Connect(PeerContact& aContact)
{
  if (aContact.connecting_) {
    return;
  }
  aContact.connecting_ = true;
  Endpoint endpoint = aContact.endpoint_;
  auto& network = io_.provider->getNetwork();
  auto connected = network.parseAddress(endpoint.Text())
                     .then([](kj::Own<kj::NetworkAddress> aAddress) {
                       return aAddress->connect().attach(kj::mv(aAddress));
                     });
  tasks_.add(timer_.timeoutAfter(kConnectLimit, kj::mv(connected))
               .then(
                 [this, endpoint](kj::Own<kj::AsyncIoStream> aStream) {
                   PeerContact& contact = contacts_[endpoint];
                   contact.connecting_ = false;
                   contact.link_ = kj::refcounted<PeerLink>(kj::mv(aStream));
                   Exchange(contact);
                 },
                 [this, endpoint](kj::Exception&&) {
                   contacts_[endpoint].connecting_ = false;
                 }));
}

void PeerExchange::Exchange(PeerContact& aContact)
{
  KJ_IF_MAYBE (link, aContact.link_) {
    if ((*link)->exchanging_) {
      return;
    }
    (*link)->exchanging_ = true;
    Endpoint endpoint = aContact.endpoint_;
    auto request = (*link)->peer_.exchangeRequest();
    FillReport(request.initReport());
    auto ownedLink = kj::addRef(**link);
    PeerLink& callLink = *ownedLink;
    auto answered =
      request.send().then([this, endpoint, &callLink](auto&& aResponse) {
        callLink.exchanging_ = false;
        auto report = aResponse.getReport();
        PeerContact& contact = contacts_[endpoint];
        contact.node_ = report.getSelf().getNode().cStr();
        contact.dataCentre_ = report.getSelf().getDataCentre().cStr();
        OnReport(report);
      });
    tasks_.add(
      timer_.timeoutAfter(kAnswerLimit, kj::mv(answered))
        .catch_([this, endpoint, &callLink](kj::Exception&& aException) {
          // timeoutAfter() fails with OVERLOADED.
          bool silent = aException.getType() == kj::Exception::Type::OVERLOADED;
          OnLinkFailed(endpoint, callLink, silent);
        })
        .attach(kj::mv(ownedLink)));
  }
}

void PeerExchange::OnLinkFailed(const Endpoint& aEndpoint,
                                PeerLink& aLink,
                                bool aSilent)
{
  spdlog::warn(
    "event=peer_link_failed peer={} silent={}", aEndpoint.Text(), aSilent);
  PeerContact& contact = contacts_[aEndpoint];
  KJ_IF_MAYBE (link, contact.link_) {
    if (link->get() == &aLink) {
      contact.link_ = nullptr;
    }
  }
  if (!aSilent) {
    return;
  }
  for (HandoverId id : aLink.handovers_) {
    mailboxes_.requests_.Post(HandoverEnded{ id, HandoverEnd::Silent, {} });
  }
}

void PeerExchange::ExchangeAtOnce()
{
  std::set<std::string> remoteReached;
  for (auto& [endpoint, contact] : contacts_) {
    bool local = contact.dataCentre_ == settings_.dataCentre_;
    if (local || remoteReached.insert(contact.dataCentre_).second) {
      Exchange(contact);
    }
  }
}

void PeerExchange::FillReport(wire::Report::Builder aOut)
{
  ownReport_.version_ = config_.head_.version_;
  ownReport_.vmRevision_ = vmList_.revision_;
  ownReport_.fleetRevision_ = records_.revision_;
  ownReport_.marks_ = leavingMarks_.Marks();
  ownReport_.known_.clear();
  std::vector<NodeAddress> known = peers_.KnownAddresses();
  std::size_t count = std::min(kAddressesPerReport, known.size());
  for (std::size_t i = 0; i < count; ++i) {
    ownReport_.known_.push_back(known[nextKnownAddress_++ % known.size()]);
  }
  WriteReport(ownReport_, aOut);
}

void PeerExchange::LearnAddresses(const NodeReport& aReport)
{
  auto learn = [this](const NodeAddress& aAddress) {
    if (aAddress.node_ == settings_.node_) {
      return;
    }
    PeerContact& contact = contacts_[aAddress.endpoint_];
    contact.endpoint_ = aAddress.endpoint_;
    contact.node_ = aAddress.node_;
    contact.dataCentre_ = aAddress.dataCentre_;
  };
  learn(aReport.self_);
  for (const NodeAddress& address : aReport.known_) {
    learn(address);
  }
}

void PeerExchange::OnReport(wire::Report::Reader aReport)
{
  auto report = ReadReport(aReport);
  if (!report) {
    spdlog::warn("event=peer_report_unreadable error=\"{}\"",
                 report.error().Text());
    return;
  }
  peers_.Merge(*report);
  LearnAddresses(*report);
  for (const LeavingMark& mark : report->marks_) {
    leavingMarks_.MergeMark(mark);
  }
  bool local = report->self_.dataCentre_ == settings_.dataCentre_;
  if (report->version_ > config_.head_.version_) {
    FetchConfig(report->self_.endpoint_);
  }
  if (local && report->vmRevision_ > vmList_.revision_) {
    FetchVms(report->self_.endpoint_);
  }
  if (local && report->fleetRevision_ > records_.revision_) {
    FetchRecords(report->self_.endpoint_);
  }
  mailboxes_.fleet_.Post(PeerReportArrived{ *report });
  mailboxes_.requests_.Post(PeerReported{ std::move(*report) });
}

wire::Peer::Client* PeerExchange::PeerAt(const Endpoint& aEndpoint)
{
  auto found = contacts_.find(aEndpoint);
  if (found == contacts_.end()) {
    return nullptr;
  }
  KJ_IF_MAYBE (link, found->second.link_) {
    return &(*link)->peer_;
  }
  return nullptr;
}

/// Throws, and so fails the promise, unless aCondition holds.
static void Require(bool aCondition, const char* aReason)
{
  if (!aCondition) {
    kj::throwFatalException(KJ_EXCEPTION(FAILED, aReason));
  }
}

/// Returns the digests of the sections that aHead names and aHeld lacks.
static std::vector<std::string> MissingDigests(const Head& aHead,
                                               const Sections& aHeld)
{
  std::vector<std::string> missing;
  for (const std::string& digest : aHead.sections_) {
    if (!aHeld.contains(digest)) {
      missing.push_back(digest);
    }
  }
  return missing;
}

void PeerExchange::FetchConfig(const Endpoint& aEndpoint)
{
  wire::Peer::Client* peer = PeerAt(aEndpoint);
  if (peer == nullptr || fetchingVersion_ > config_.head_.version_) {
    return;
  }
  fetchingVersion_ = config_.head_.version_ + 1;
  auto fetched = peer->fetchHeadRequest().send().then(
    [this, peer = *peer](auto&& aResponse) mutable {
      auto head = HeadFromJson(aResponse.getHead().cStr());
      Require(head.has_value(), "peer's config head is unreadable");
      auto digests = MissingDigests(*head, *config_.sections_);
      auto request = peer.fetchSectionsRequest();
      auto list = request.initDigests(digests.size());
      for (unsigned i = 0; i < digests.size(); ++i) {
        list.set(i, digests[i]);
      }
      return request.send().then([this, head = *head, digests](auto&& aAnswer) {
        Sections sections;
        auto texts = aAnswer.getSections();
        for (unsigned i = 0; i < texts.size() && i < digests.size(); ++i) {
          sections.emplace(digests[i], texts[i].cStr());
        }
        mailboxes_.fleet_.Post(PeerConfig{ head, std::move(sections) });
      });
    });
  tasks_.add(timer_.timeoutAfter(kAnswerLimit, kj::mv(fetched))
               .then([this] { fetchingVersion_ = 0; },
                     [this](kj::Exception&&) { fetchingVersion_ = 0; }));
}

void PeerExchange::FetchVms(const Endpoint& aEndpoint)
{
  wire::Peer::Client* peer = PeerAt(aEndpoint);
  if (peer == nullptr || fetchingVms_) {
    return;
  }
  fetchingVms_ = true;
  auto request = peer->fetchVmsRequest();
  request.setSince(vmList_.revision_);
  auto fetched = request.send().then([this](auto&& aResponse) {
    auto page = VmsFromJson(aResponse.getPage().cStr());
    Require(page.has_value(), "peer's VM list is unreadable");
    mailboxes_.fleet_.Post(PeerVms{ std::move(*page) });
  });
  tasks_.add(timer_.timeoutAfter(kAnswerLimit, kj::mv(fetched))
               .then([this] { fetchingVms_ = false; },
                     [this](kj::Exception&&) { fetchingVms_ = false; }));
}

void PeerExchange::FetchRecords(const Endpoint& aEndpoint)
{
  wire::Peer::Client* peer = PeerAt(aEndpoint);
  if (peer == nullptr || fetchingRecords_) {
    return;
  }
  fetchingRecords_ = true;
  auto fetched =
    peer->fetchRecordsRequest().send().then([this](auto&& aResponse) {
      mailboxes_.fleet_.Post(
        PeerRecords{ aResponse.getRevision(), aResponse.getRecords().cStr() });
    });
  tasks_.add(timer_.timeoutAfter(kAnswerLimit, kj::mv(fetched))
               .then([this] { fetchingRecords_ = false; },
                     [this](kj::Exception&&) { fetchingRecords_ = false; }));
}

PeerContact* PeerExchange::ContactOf(std::string_view aNode)
{
  for (auto& [endpoint, contact] : contacts_) {
    if (contact.node_ == aNode) {
      return &contact;
    }
  }
  return nullptr;
}

kj::Promise<RequestAnswer> PeerExchange::Serve(CheckedRequest aRequest)
{
  HandoverId id = ++lastServedId_;
  auto pair = kj::newPromiseAndFulfiller<RequestAnswer>();
  servedHandovers_.emplace(id, kj::mv(pair.fulfiller));
  mailboxes_.requests_.Post(HandoverArrived{ id, std::move(aRequest) });
  return kj::mv(pair.promise);
}

void PeerExchange::EndHandover(HandoverEnded aEnded)
{
  mailboxes_.requests_.Post(std::move(aEnded));
}

void PeerExchange::Handle(OwnLoads& aMessage)
{
  bool reportNow = ownReport_.quiet_ != aMessage.quiet_ ||
                   ownReport_.loads_.empty() != aMessage.loads_.empty();
  ownReport_.loads_ = std::move(aMessage.loads_);
  ownReport_.quiet_ = std::move(aMessage.quiet_);
  if (reportNow) {
    ExchangeAtOnce();
  }
}

void PeerExchange::Handle(LeavingMarksSeen& aMessage)
{
  for (const LeavingMark& mark : aMessage.marks_) {
    leavingMarks_.MergeMark(mark);
  }
  ExchangeAtOnce();
}

void PeerExchange::Handle(ConfigSnapshot& aMessage)
{
  config_ = std::move(aMessage);
  ExchangeAtOnce();
}

void PeerExchange::Handle(VmListSnapshot& aMessage)
{
  vmList_ = std::move(aMessage.page_);
  leavingMarks_.MergeList(vmList_.vms_);
}

void PeerExchange::Handle(FleetRecordsSnapshot& aMessage)
{
  records_ = std::move(aMessage);
  ExchangeAtOnce();
}

void PeerExchange::Handle(HandoverRequested& aMessage)
{
  HandoverId id = aMessage.id_;
  PeerContact* contact = ContactOf(aMessage.node_);
  kj::Maybe<kj::Own<PeerLink>> found;
  if (contact != nullptr) {
    KJ_IF_MAYBE (link, contact->link_) {
      found = kj::addRef(**link);
    }
  }
  KJ_IF_MAYBE (link, found) {
    PeerLink& callLink = **link;
    callLink.handovers_.insert(id);
    auto request = callLink.peer_.handOverRequest();
    WriteHandover(aMessage.request_, request.initRequest());
    auto limit = aMessage.request_.terms_.timeLeft_.count() * kj::MILLISECONDS +
                 kHandoverSlack;
    auto answered =
      request.send().then([this, id, &callLink](auto&& aResponse) {
        callLink.handovers_.erase(id);
        auto answer = ReadAnswer(aResponse.getAnswer());
        if (!answer) {
          EndHandover({ id, HandoverEnd::Broken, {} });
          return;
        }
        EndHandover({ id, HandoverEnd::Answered, std::move(*answer) });
      });
    tasks_.add(timer_.timeoutAfter(limit, kj::mv(answered))
                 .catch_([this, id, &callLink](kj::Exception&&) {
                   callLink.handovers_.erase(id);
                   EndHandover({ id, HandoverEnd::Broken, {} });
                 })
                 .attach(kj::mv(*link)));
    return;
  }
  EndHandover({ id, HandoverEnd::NotSent, {} });
}

void PeerExchange::Handle(HandoverServed& aMessage)
{
  auto found = servedHandovers_.find(aMessage.id_);
  if (found == servedHandovers_.end()) {
    return;
  }
  found->second->fulfill(kj::mv(aMessage.answer_));
  servedHandovers_.erase(found);
}

void PeerExchange::Handle(PeersStopping&)
{
  ownReport_.stopping_ = true;
  ExchangeAtOnce();
}

void PeerExchange::Handle(PeersQuit&)
{
  tasks_.add(
    timer_.afterDelay(kQuitDelay).then([this] { quitFulfiller_->fulfill(); }));
}

} // namespace coltsfootshed
