/// \file
/// The operators' HTTP interface of one process.
#ifndef COLTSFOOTSHED_ADMIN_ADMINAPI_H
#define COLTSFOOTSHED_ADMIN_ADMINAPI_H

#include "coltsfootshed/Fleet/FleetState.h"
#include "coltsfootshed/Fleet/Submission.h"
#include "coltsfootshed/Http/Server.h"
#include "coltsfootshed/Requests/Messages.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <span>
#include <string>

namespace coltsfootshed {

/// What the fleet task knows of its process.
struct NodeStatus
{
  NodeAddress self_;
  std::uint64_t version_ = 0;
  Millis platformAge_{ -1 }; ///< since the platform's last answer; -1: never
  std::uint64_t platformCalls_ = 0;
  bool isWatcher_ = false;
  bool isFleetController_ = false;
  bool stopping_ = false;
};

/// What the interface asks of the fleet task.
class AdminBackend
{
public:
  virtual ~AdminBackend() = default;
  virtual NodeStatus Status() const = 0;
  /// Version and text of the configuration in force.
  virtual std::uint64_t ConfigVersion() const = 0;
  virtual const std::string& ConfigText() const = 0;
  /// The data centre's records, and the document in force (may be null).
  virtual const FleetState& Records() const = 0;
  virtual std::shared_ptr<const Document> CurrentDocument() const = 0;
  /// Submits a document that was checked before.
  virtual void Submit(std::string_view aText,
                      std::uint64_t aFromVersion,
                      std::string_view aAuthor,
                      Submission::OnEnd aOnEnd) = 0;
  /// Asks the requests task for a view.
  virtual void AskView(RequestsView aView,
                       std::function<void(std::string)> aOnText) = 0;
};

class AdminApi
{
public:
  /// aToken authorises what changes state; without one, nothing can.
  AdminApi(event_base* aBase, AdminBackend& aBackend, std::string aToken);

  Result<void> Listen(const Endpoint& aEndpoint);

private:
  using Exchange = std::shared_ptr<ServerExchange>;
  struct Route
  {
    const char* method_;
    const char* path_;
    bool changesState_;
    void (AdminApi::*handle_)(const Exchange&);
  };
  static std::span<const Route> Routes();

  void OnRequest(const Exchange& aExchange);
  bool IsAuthorised(const HttpRequest& aRequest) const;
  void OnHealth(const Exchange& aExchange);
  void OnReady(const Exchange& aExchange);
  void OnStatus(const Exchange& aExchange);
  void OnMetrics(const Exchange& aExchange);
  void OnHistograms(const Exchange& aExchange);
  void OnFleet(const Exchange& aExchange);
  void OnShowConfig(const Exchange& aExchange);
  void OnCheckConfig(const Exchange& aExchange);
  void OnSubmitConfig(const Exchange& aExchange);

  AdminBackend& backend_;
  std::string token_;
  HttpServer server_;
};

} // namespace coltsfootshed

#endif
