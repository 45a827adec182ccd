/// \file
/// TCP relay for fault tests: forwards connections to one address and can, on
/// command, cut them, discard their data or refuse new ones. docs/STANDINS.md
/// describes its interface.

#include "coltsfootshed/Http/Server.h"

#include <arpa/inet.h>
#include <cstdio>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <list>
#include <nlohmann/json.hpp>

using namespace coltsfootshed;
using Json = nlohmann::json;

namespace {

/// One connection of a client and the one to the destination that serves it.
struct RelayedConnection
{
  bufferevent* client_ = nullptr;
  bufferevent* server_ = nullptr;
  /// Data is read, and so acknowledged by TCP, but not forwarded. If either
  /// side closes its connection, the other one stays open.
  bool discardsData_ = false;
};

class Relay
{
public:
  Relay(event_base* aBase, const Endpoint& aDestination)
    : base_(aBase)
    , destination_(aDestination)
    , controlServer_(aBase, {}, [this](const auto& aExchange) {
      OnControlRequest(aExchange);
    })
  {
  }

  bool Listen(const Endpoint& aListen, const Endpoint& aControl)
  {
    sockaddr_in address = AddressOf(aListen);
    listener_ =
      evconnlistener_new_bind(base_,
                              &OnAccept,
                              this,
                              LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_FREE,
                              1024,
                              reinterpret_cast<sockaddr*>(&address),
                              sizeof(address));
    return listener_ != nullptr && controlServer_.Listen(aControl);
  }

private:
  static sockaddr_in AddressOf(const Endpoint& aEndpoint)
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(aEndpoint.port_);
    inet_pton(AF_INET, aEndpoint.address_.c_str(), &address.sin_addr);
    return address;
  }

  static void OnAccept(evconnlistener*,
                       evutil_socket_t aSocket,
                       sockaddr*,
                       int,
                       void* aRelay)
  {
    static_cast<Relay*>(aRelay)->Accept(aSocket);
  }

  void Accept(evutil_socket_t aSocket)
  {
    if (refuseConnections_) {
      evutil_closesocket(aSocket);
      return;
    }
    auto connection = connections_.emplace(connections_.end());
    connection->discardsData_ = silencesNew_;
    connection->client_ =
      bufferevent_socket_new(base_, aSocket, BEV_OPT_CLOSE_ON_FREE);
    connection->server_ =
      bufferevent_socket_new(base_, -1, BEV_OPT_CLOSE_ON_FREE);
    for (bufferevent* buffer : { connection->client_, connection->server_ }) {
      bufferevent_setcb(buffer, &OnRead, nullptr, &OnEvent, this);
      bufferevent_enable(buffer, EV_READ | EV_WRITE);
    }
    sockaddr_in address = AddressOf(destination_);
    bufferevent_socket_connect(connection->server_,
                               reinterpret_cast<sockaddr*>(&address),
                               sizeof(address));
  }

  std::list<RelayedConnection>::iterator Find(bufferevent* aBuffer)
  {
    return std::find_if(connections_.begin(),
                        connections_.end(),
                        [&](const RelayedConnection& aConnection) {
                          return aConnection.client_ == aBuffer ||
                                 aConnection.server_ == aBuffer;
                        });
  }

  static void OnRead(bufferevent* aBuffer, void* aRelay)
  {
    auto* relay = static_cast<Relay*>(aRelay);
    auto connection = relay->Find(aBuffer);
    evbuffer* input = bufferevent_get_input(aBuffer);
    if (connection->discardsData_) {
      evbuffer_drain(input, evbuffer_get_length(input));
      return;
    }
    bufferevent* other = aBuffer == connection->client_ ? connection->server_
                                                        : connection->client_;
    bufferevent_write_buffer(other, input);
  }

  static void OnEvent(bufferevent* aBuffer, short aEvents, void* aRelay)
  {
    if ((aEvents & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0) {
      return;
    }
    auto* relay = static_cast<Relay*>(aRelay);
    auto connection = relay->Find(aBuffer);
    if (connection != relay->connections_.end() && !connection->discardsData_) {
      relay->Close(connection);
    }
  }

  std::list<RelayedConnection>::iterator Close(
    std::list<RelayedConnection>::iterator aConnection)
  {
    bufferevent_free(aConnection->client_);
    bufferevent_free(aConnection->server_);
    return connections_.erase(aConnection);
  }

  void OnControlRequest(const std::shared_ptr<ServerExchange>& aExchange)
  {
    const HttpRequest& request = aExchange->Request();
    Json json = Json::parse(request.body_, nullptr, false);
    if (!json.is_object()) {
      json = Json::object();
    }
    refuseConnections_ = json.value("refuse", refuseConnections_);
    silencesNew_ = json.value("silence_new", silencesNew_);
    if (json.value("cut", false)) {
      for (auto connection = connections_.begin();
           connection != connections_.end();) {
        connection = Close(connection);
      }
    }
    if (json.value("silence", false)) {
      for (RelayedConnection& connection : connections_) {
        connection.discardsData_ = true;
      }
    }
    Json state = { { "connections", connections_.size() } };
    aExchange->Reply({ 200, {}, state.dump() + "\n" });
  }

  event_base* base_;
  Endpoint destination_;
  std::list<RelayedConnection> connections_;
  bool refuseConnections_ = false;
  bool silencesNew_ = false;
  evconnlistener* listener_ = nullptr;
  HttpServer controlServer_;
};

} // namespace

int main(int aCount, char** aArguments)
{
  auto listen = aCount == 4 ? ParseEndpoint(aArguments[1]) : std::nullopt;
  auto destination = aCount == 4 ? ParseEndpoint(aArguments[2]) : std::nullopt;
  auto control = aCount == 4 ? ParseEndpoint(aArguments[3]) : std::nullopt;
  if (!listen || !destination || !control) {
    std::fprintf(stderr, "usage: relay ADDRESS DESTINATION CONTROL-ADDRESS\n");
    return 2;
  }
  event_base* base = event_base_new();
  Relay relay(base, *destination);
  if (!relay.Listen(*listen, *control)) {
    std::fprintf(stderr, "cannot listen on the given addresses\n");
    return 1;
  }
  event_base_dispatch(base);
  return 0;
}
