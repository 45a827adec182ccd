/// \file
/// The task that communicates with the platform and with operators. It keeps
/// the configuration in force, the VM list and the fleet records up to date.
#ifndef COLTSFOOTSHED_FLEET_FLEETTASK_H
#define COLTSFOOTSHED_FLEET_FLEETTASK_H

#include "coltsfootshed/Admin/AdminApi.h"
#include "coltsfootshed/Config/ActiveConfig.h"
#include "coltsfootshed/Fleet/ConfigFetch.h"
#include "coltsfootshed/Fleet/FleetControllerRunner.h"
#include "coltsfootshed/Fleet/Messages.h"
#include "coltsfootshed/Requests/RequestsTask.h"
#include "coltsfootshed/Support/Backoff.h"

#include <map>
#include <memory>
#include <random>

namespace coltsfootshed {

class FleetTask final : private AdminBackend
{
public:
  FleetTask(const Settings& aSettings,
            std::string aToken,
            const Clock& aClock,
            Mailboxes& aMailboxes);
  ~FleetTask() override;

  Result<void> Listen();
  /// Runs until a stop was requested and the requests task has drained.
  void Run();

private:
  NodeStatus Status() const override;
  std::uint64_t ConfigVersion() const override
  {
    return activeConfig_.Version();
  }
  const std::string& ConfigText() const override
  {
    return activeConfig_.Text();
  }
  const FleetState& Records() const override { return records_; }
  std::shared_ptr<const Document> CurrentDocument() const override
  {
    return activeConfig_.CurrentDocument();
  }
  void Submit(std::string_view aText,
              std::uint64_t aFromVersion,
              std::string_view aAuthor,
              Submission::OnEnd aOnEnd) override;
  void AskView(RequestsView aView,
               std::function<void(std::string)> aOnText) override;

  void ReadHead();
  void OnHeadRead(const Result<StoredValue>& aValue);
  /// Starts the timer of the next read, with backoff if this one has failed.
  void ScheduleHeadRead(bool aFailed);
  void Adopt(const Head& aHead, const Sections& aSections);
  void ReadVms();
  void MergeVms(const VmListPage& aPage);
  void AdoptRecords(std::uint64_t aRevision, const std::string& aRecords);

  void Handle(const PeerConfig& aMessage);
  void Handle(const PeerVms& aMessage);
  void Handle(const PeerRecords& aMessage);
  void Handle(const OwnQuietVms& aMessage);
  void Handle(const PeerReportArrived& aMessage);
  void Handle(const ViewReady& aMessage);
  void Handle(StopRequested aMessage);
  void Handle(RequestsDrained aMessage);

  Settings settings_;
  const Clock& clock_;
  Mailboxes& mailboxes_;
  event_base* base_;
  std::mt19937_64 random_;
  PeerTable peers_;
  ActiveConfig activeConfig_;
  VmTable vms_;
  std::uint64_t vmRevision_ = 0;
  std::uint64_t headRevision_ = 0;
  std::uint64_t recordsRevision_ = 0;
  FleetState records_;
  bool headReadFailed_ = false;     ///< the last one
  Millis lastPlatformAnswer_{ -1 }; ///< negative before the first answer
  bool stopping_ = false;
  std::unique_ptr<PlatformClient> platform_;
  std::unique_ptr<ConfigFetch> fetch_;
  std::unique_ptr<FleetControllerRunner> controller_;
  Backoff headBackoff_;
  Backoff vmBackoff_;
  std::unique_ptr<Timer> headTimer_;
  std::unique_ptr<Timer> vmTimer_;
  std::unique_ptr<MailboxEvent<FleetMessage>> mail_;
  std::unique_ptr<AdminApi> admin_;
  /// Running submissions, by ID.
  std::map<std::string, std::unique_ptr<Submission>> submissions_;
  /// Destroys ended submissions after their callbacks have returned.
  std::unique_ptr<Timer> submissionCleanup_;
  std::vector<std::unique_ptr<Submission>> endedSubmissions_;
  std::uint64_t lastTicket_ = 0;
  /// Callbacks of views that the requests task has not answered, by ticket.
  std::map<std::uint64_t, std::function<void(std::string)>> pendingViews_;
};

} // namespace coltsfootshed

#endif
