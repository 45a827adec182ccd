/// \file
/// An HTTP server whose requests arrive whole and are answered at any later
/// time, in order of arrival on each connection.
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

/// One request that waits for its answer.
class ServerExchange
{
public:
  ServerExchange(HttpServer& aServer,
                 evhtp_request* aRequest,
                 HttpRequest aContent)
    : server_(aServer)
    , raw_(aRequest)
    , request_(std::move(aContent))
  {
  }

  const HttpRequest& Request() const { return request_; }
  /// Sends the answer. Does nothing if the caller has gone.
  void Reply(const HttpAnswer& aAnswer);
  /// Sends bytes as they are and closes the connection; used by stand-ins that
  /// break the protocol.
  void SendRawAndClose(std::string_view aBytes);
  bool IsCallerGone() const { return raw_ == nullptr; }
  /// Runs once if the caller's connection ends before Reply().
  void SetOnGone(std::function<void()> aOnGone)
  {
    onGone_ = std::move(aOnGone);
  }

private:
  friend class HttpServer;

  void Gone();

  HttpServer& server_;
  evhtp_request* raw_; ///< null once answered or gone
  HttpRequest request_;
  std::function<void()> onGone_;
};

/// Limits of a server.
struct ServerLimits
{
  std::uint64_t maxBody_ = std::uint64_t{ 8 } << 20; ///< bytes
  std::size_t maxConnections_ = 10000;
};

/// Listens on one address. Malformed requests get 400, bodies over the limit
/// 413, header sections over the limit 431, and are then disconnected.
class HttpServer
{
public:
  using Handler = std::function<void(std::shared_ptr<ServerExchange>)>;

  HttpServer(event_base* aBase, ServerLimits aLimits, Handler aHandler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  Result<void> Listen(const Endpoint& aEndpoint);
  /// Accepts no more connections; those that are open go on.
  void StopListening();
  /// From now on every answer closes its connection.
  void CloseAfterAnswers() { closing_ = true; }
  /// Requests that wait for an answer.
  std::size_t Open() const { return open_; }
  std::size_t Connections() const { return connections_.size(); }

private:
  friend class ServerExchange;
  friend struct ServerHooks;
  /// What is known of one connection.
  struct ConnectionState
  {
    std::size_t headerBytes_ = 0; ///< of the request being read
    int refusal_ = 0;             ///< code to refuse with, 0 if none
    std::shared_ptr<ServerExchange> exchange_; ///< waiting for its answer
  };

  bool Accept(evhtp_connection* aConnection);
  bool ReadField(evhtp_request* aRequest, std::size_t aBytes);
  bool ReadHeaders(evhtp_request* aRequest);
  void Receive(evhtp_request* aRequest);
  void Closed(evhtp_connection* aConnection);
  void SendRawAndClose(evhtp_connection* aConnection, std::string_view aBytes);
  void WatchForHangUps();
  void HungUp(evhtp_connection* aConnection);
  ConnectionState& StateOf(evhtp_request* aRequest);

  event_base* base_;
  ServerLimits limits_;
  Handler handler_;
  evhtp* server_;
  Timer hangUpTimer_;
  std::vector<evhtp_connection*> hungUp_; ///< to be freed
  bool closing_ = false;
  bool listening_ = false;
  std::size_t open_ = 0;
  std::unordered_map<evhtp_connection*, ConnectionState> connections_;
};

} // namespace coltsfootshed

#endif
