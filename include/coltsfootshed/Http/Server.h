/// \file
/// An HTTP server that passes each complete request to a handler. Requests may
/// be answered at any later time, in order of arrival on each connection.
#ifndef COLTSFOOTSHED_HTTP_SERVER_H
#define COLTSFOOTSHED_HTTP_SERVER_H

#include "coltsfootshed/Http/Message.h"
#include "coltsfootshed/Settings/Settings.h"
#include "coltsfootshed/Support/Error.h"
#include "coltsfootshed/Support/Timer.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>
#include <utility>

struct event_base;
struct evhtp;
struct evhtp_connection;
struct evhtp_request;

namespace coltsfootshed {

class HttpServer;

/// One request and the means to answer it.
class ServerExchange
{
public:
  ServerExchange(HttpServer& aServer,
                 evhtp_request* aRequest,
                 HttpRequest aContent)
    : server_(aServer)
    , evhtpRequest_(aRequest)
    , request_(std::move(aContent))
  {
  }

  const HttpRequest& Request() const { return request_; }
  /// Sends the answer. Does nothing if the request was answered or its caller
  /// has disconnected.
  void Reply(const HttpAnswer& aAnswer);
  /// Sends aBytes unchanged and closes the connection. Test stand-ins use it to
  /// violate the protocol.
  void SendRawAndClose(std::string_view aBytes);
  /// True if the caller has disconnected, and also once a reply was sent.
  bool IsClosed() const { return evhtpRequest_ == nullptr; }
  /// aOnCallerDisconnected runs once if the caller disconnects before Reply().
  void SetOnCallerDisconnected(std::function<void()> aOnCallerDisconnected)
  {
    onCallerDisconnected_ = std::move(aOnCallerDisconnected);
  }

private:
  friend class HttpServer;

  void HandleCallerDisconnected();

  HttpServer& server_;
  evhtp_request* evhtpRequest_; ///< null once answered or disconnected
  HttpRequest request_;
  std::function<void()> onCallerDisconnected_;
};

/// Limits of a server.
struct ServerLimits
{
  std::uint64_t maxBodyBytes_ = std::uint64_t{ 8 } << 20;
  std::size_t maxConnections_ = 10000;
};

/// Listens on one address. A malformed request is answered with 400, a body
/// over the limit with 413 and a header section over the limit with 431; the
/// connection is then closed.
class HttpServer
{
public:
  using Handler = std::function<void(std::shared_ptr<ServerExchange>)>;

  HttpServer(event_base* aBase, ServerLimits aLimits, Handler aHandler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  Result<void> Listen(const Endpoint& aEndpoint);
  /// Accepts no more connections; open ones keep being served.
  void StopListening();
  /// From now on each connection is closed after its next answer.
  void CloseAfterAnswers() { closesAfterAnswers_ = true; }
  /// Number of requests that wait for an answer.
  std::size_t UnansweredRequests() const { return unanswered_; }
  std::size_t Connections() const { return connections_.size(); }

private:
  friend class ServerExchange;
  friend struct ServerHooks;
  /// State of one connection.
  struct ConnectionState
  {
    std::size_t headerBytes_ = 0; ///< read so far for the current request
    int refusalCode_ = 0;         ///< HTTP status to refuse with, 0 if none
    std::shared_ptr<ServerExchange> exchange_; ///< unanswered; null if none
  };

  bool Accept(evhtp_connection* aConnection);
  bool CheckHeaderSize(evhtp_request* aRequest, std::size_t aBytes);
  bool CheckContentLength(evhtp_request* aRequest);
  void HandleRequest(evhtp_request* aRequest);
  void HandleClosed(evhtp_connection* aConnection);
  void SendRawAndClose(evhtp_connection* aConnection, std::string_view aBytes);
  void CheckForDisconnects();
  void HandleDisconnect(evhtp_connection* aConnection);
  ConnectionState& StateOf(evhtp_request* aRequest);

  event_base* base_;
  ServerLimits limits_;
  Handler handler_;
  evhtp* server_;
  Timer disconnectTimer_;
  std::vector<evhtp_connection*> connectionsToFree_; ///< by disconnectTimer_
  bool closesAfterAnswers_ = false;
  bool listening_ = false;
  std::size_t unanswered_ = 0;
  std::unordered_map<evhtp_connection*, ConnectionState> connections_;
};

} // namespace coltsfootshed

#endif
