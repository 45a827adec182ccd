/// \file
/// Passes TCP connections on, and can cut them or go silent on demand.
/// docs/STANDINS.md describes its interface.

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

struct Pair
{
  bufferevent* near_ = nullptr;
  bufferevent* far_ = nullptr;
  bool silent_ = false; ///< reads and acknowledges, passes nothing on
};

class Relay
{
public:
  Relay(event_base* aBase, const Endpoint& aFar)
    : base_(aBase)
    , far_(aFar)
    , control_(aBase, {}, [this](const auto& aItem) { OnControl(aItem); })
  {
  }

  bool Listen(const Endpoint& aNear, const Endpoint& aControl)
  {
    sockaddr_in address = AddressOf(aNear);
    listener_ =
      evconnlistener_new_bind(base_,
                              &OnAccept,
                              this,
                              LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_FREE,
                              1024,
                              reinterpret_cast<sockaddr*>(&address),
                              sizeof(address));
    return listener_ != nullptr && control_.Listen(aControl);
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
                       void* aSelf)
  {
    static_cast<Relay*>(aSelf)->Accept(aSocket);
  }

  void Accept(evutil_socket_t aSocket)
  {
    if (refuse_) {
      evutil_closesocket(aSocket);
      return;
    }
    auto pair = pairs_.emplace(pairs_.end());
    pair->near_ = bufferevent_socket_new(base_, aSocket, BEV_OPT_CLOSE_ON_FREE);
    pair->far_ = bufferevent_socket_new(base_, -1, BEV_OPT_CLOSE_ON_FREE);
    for (bufferevent* side : { pair->near_, pair->far_ }) {
      bufferevent_setcb(side, &OnRead, nullptr, &OnEvent, this);
      bufferevent_enable(side, EV_READ | EV_WRITE);
    }
    sockaddr_in address = AddressOf(far_);
    bufferevent_socket_connect(
      pair->far_, reinterpret_cast<sockaddr*>(&address), sizeof(address));
  }

  std::list<Pair>::iterator Find(bufferevent* aSide)
  {
    return std::find_if(pairs_.begin(), pairs_.end(), [&](const Pair& aPair) {
      return aPair.near_ == aSide || aPair.far_ == aSide;
    });
  }

  static void OnRead(bufferevent* aSide, void* aSelf)
  {
    auto* self = static_cast<Relay*>(aSelf);
    auto pair = self->Find(aSide);
    evbuffer* input = bufferevent_get_input(aSide);
    if (pair->silent_) {
      evbuffer_drain(input, evbuffer_get_length(input));
      return;
    }
    bufferevent* other = aSide == pair->near_ ? pair->far_ : pair->near_;
    bufferevent_write_buffer(other, input);
  }

  static void OnEvent(bufferevent* aSide, short aWhat, void* aSelf)
  {
    if ((aWhat & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0) {
      return;
    }
    auto* self = static_cast<Relay*>(aSelf);
    auto pair = self->Find(aSide);
    if (pair != self->pairs_.end() && !pair->silent_) {
      self->Drop(pair);
    }
  }

  std::list<Pair>::iterator Drop(std::list<Pair>::iterator aPair)
  {
    bufferevent_free(aPair->near_);
    bufferevent_free(aPair->far_);
    return pairs_.erase(aPair);
  }

  void OnControl(const std::shared_ptr<ServerExchange>& aExchange)
  {
    const HttpRequest& request = aExchange->Request();
    Json json = Json::parse(request.body_, nullptr, false);
    if (!json.is_object()) {
      json = Json::object();
    }
    refuse_ = json.value("refuse", refuse_);
    if (json.value("cut", false)) {
      for (auto pair = pairs_.begin(); pair != pairs_.end();) {
        pair = Drop(pair);
      }
    }
    if (json.value("silence", false)) {
      for (Pair& pair : pairs_) {
        pair.silent_ = true;
      }
    }
    Json state = { { "connections", pairs_.size() } };
    aExchange->Reply({ 200, {}, state.dump() + "\n" });
  }

  event_base* base_;
  Endpoint far_;
  std::list<Pair> pairs_;
  bool refuse_ = false;
  evconnlistener* listener_ = nullptr;
  HttpServer control_;
};

} // namespace

int main(int aCount, char** aArguments)
{
  auto near = aCount == 4 ? ParseEndpoint(aArguments[1]) : std::nullopt;
  auto far = aCount == 4 ? ParseEndpoint(aArguments[2]) : std::nullopt;
  auto control = aCount == 4 ? ParseEndpoint(aArguments[3]) : std::nullopt;
  if (!near || !far || !control) {
    std::fprintf(stderr, "usage: relay ADDRESS FAR-ADDRESS CONTROL-ADDRESS\n");
    return 2;
  }
  event_base* base = event_base_new();
  Relay relay(base, *far);
  if (!relay.Listen(*near, *control)) {
    std::fprintf(stderr, "cannot listen\n");
    return 1;
  }
  event_base_dispatch(base);
  return 0;
}
