/// \file
/// The HTTP interface of one entry VM for its operators.
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

/// State of this process, as the fleet task knows it.
struct NodeStatus
{
  NodeAddress self_;
  std::uint64_t version_ = 0; ///< of the configuration; 0: none in force
  Millis platformAge_{ -1 }; ///< since the platform's last answer; -1: none yet
  std::uint64_t platformCalls_ = 0; ///< made since the start
  bool isWatcher_ = false;         ///< watches the platform for the data centre
  bool isFleetController_ = false; ///< holds the controller's lease
  bool stopping_ = false;
};

/// What the interface needs from the fleet task.
class AdminBackend
{
public:
  virtual ~AdminBackend() = default;
  virtual NodeStatus Status() const = 0;
  /// Version and text of the configuration in force; 0 and empty if there is
  /// none.
  virtual std::uint64_t ConfigVersion() const = 0;
  virtual const std::string& ConfigText() const = 0;
  /// The data centre's fleet records, and the document in force, or null if
  /// there is none.
  virtual const FleetState& Records() const = 0;
  virtual std::shared_ptr<const Document> CurrentDocument() const = 0;
  /// Submits a valid document that was edited from version aFromVersion.
  virtual void Submit(std::string_view aText,
                      std::uint64_t aFromVersion,
                      std::string_view aAuthor,
                      Submission::OnEnd aOnEnd) = 0;
  /// Requests a view from the requests task; aOnText receives its text.
  virtual void AskView(RequestsView aView,
                       std::function<void(std::string)> aOnText) = 0;
};

class AdminApi
{
public:
  /// aToken is the bearer token of calls that change state; if it is empty, all
  /// of them are refused.
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
