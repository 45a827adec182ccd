#include "coltsfootshed/Http/ClientConnection.h"

#include <atomic>
#include <cassert>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <utility>

namespace coltsfootshed {

/// Longer than any call: users of the class limit calls by their own timers.
static constexpr int kLibraryTimeoutSeconds = 3600;

static evhttp_cmd_type CommandOf(std::string_view aMethod)
{
  static constexpr std::pair<std::string_view, evhttp_cmd_type>
    kMethodCommands[] = {
      { "GET", EVHTTP_REQ_GET },         { "POST", EVHTTP_REQ_POST },
      { "HEAD", EVHTTP_REQ_HEAD },       { "PUT", EVHTTP_REQ_PUT },
      { "DELETE", EVHTTP_REQ_DELETE },   { "PATCH", EVHTTP_REQ_PATCH },
      { "OPTIONS", EVHTTP_REQ_OPTIONS },
    };
  for (const auto& [name, command] : kMethodCommands) {
    if (name == aMethod) {
      return command;
    }
  }
  assert(false && "methods are checked when a request arrives");
  return EVHTTP_REQ_GET;
}

static void SetNoDelay(bufferevent* aStream)
{
  int on = 1;
  setsockopt(
    bufferevent_getfd(aStream), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

/// Connections may be opened by several threads.
static std::atomic<ConnectionId> sLastConnection{ 0 };

ClientConnection::ClientConnection(event_base* aBase, const Endpoint& aPeer)
  : id_(++sLastConnection)
  , peer_(aPeer)
  , stream_(bufferevent_socket_new(aBase, -1, BEV_OPT_CLOSE_ON_FREE))
  , connection_(evhttp_connection_base_bufferevent_new(aBase,
                                                       nullptr,
                                                       stream_,
                                                       aPeer.address_.c_str(),
                                                       aPeer.port_))
{
  evhttp_connection_set_timeout(connection_, kLibraryTimeoutSeconds);
  evhttp_connection_set_max_body_size(connection_,
                                      static_cast<ev_ssize_t>(kMaxAnswerBody));
  evhttp_connection_set_closecb(connection_, &OnClosed, this);
  evbuffer_add_cb(bufferevent_get_output(stream_), &OnOutput, this);
}

ClientConnection::~ClientConnection()
{
  evbuffer_remove_cb(bufferevent_get_output(stream_), &OnOutput, this);
  evhttp_connection_set_closecb(connection_, nullptr, nullptr);
  if (request_ != nullptr) {
    evhttp_request_set_error_cb(request_, nullptr);
    request_->cb = nullptr;
  }
  evhttp_connection_free(connection_);
}

void ClientConnection::OnOutput(evbuffer*,
                                const evbuffer_cb_info* aInfo,
                                void* aSelf)
{
  auto* self = static_cast<ClientConnection*>(aSelf);
  if (aInfo->n_deleted > 0) {
    self->mayHaveSent_ = true;
  }
}

void ClientConnection::OnClosed(evhttp_connection*, void* aSelf)
{
  static_cast<ClientConnection*>(aSelf)->reusable_ = false;
}

bool ClientConnection::Send(const HttpRequest& aRequest, OnEnd aOnEnd)
{
  assert(request_ == nullptr && "one call at a time");
  onEnd_ = std::move(aOnEnd);
  mayHaveSent_ = false;
  isHead_ = aRequest.method_ == "HEAD";
  request_ = evhttp_request_new(&OnRequestDone, this);
  evkeyvalq* headers = evhttp_request_get_output_headers(request_);
  for (const auto& [name, value] : aRequest.headers_) {
    if (!IsNotForwarded(name)) {
      evhttp_add_header(headers, name.c_str(), value.c_str());
    }
  }
  if (!FindHeader(aRequest.headers_, "Host")) {
    evhttp_add_header(headers, "Host", peer_.Text().c_str());
  }
  evhttp_add_header(headers, "Connection", "keep-alive");
  if (!aRequest.body_.empty()) {
    evhttp_add_header(
      headers, "Content-Length", std::to_string(aRequest.body_.size()).c_str());
    evbuffer_add(evhttp_request_get_output_buffer(request_),
                 aRequest.body_.data(),
                 aRequest.body_.size());
  }
  bool reused = std::exchange(reusable_, false);
  evhttp_cmd_type command = CommandOf(aRequest.method_);
  int started = evhttp_make_request(
    connection_, request_, command, aRequest.target_.c_str());
  if (started != 0) {
    request_ = nullptr;
    return false;
  }
  if (!reused) {
    SetNoDelay(stream_);
  }
  return true;
}

void ClientConnection::OnRequestDone(evhttp_request* aRequest, void* aSelf)
{
  auto* self = static_cast<ClientConnection*>(aSelf);
  self->request_ = nullptr;
  if (aRequest == nullptr) {
    self->End({ CallEnd::Broken, {} });
    return;
  }
  // libevent reports a failed connection attempt as a request without an
  // answer, and a connection that broke later as a null request.
  if (evhttp_request_get_response_code(aRequest) == 0) {
    self->End({ CallEnd::NotSent, {} });
    return;
  }
  self->End(self->ReadAnswer(aRequest));
}

/// True if the headers announce where the body ends. A body that ends with the
/// connection might be cut off.
static bool HasKnownLength(const Headers& aHeaders, int aCode, bool aIsHead)
{
  bool hasNoBody = aIsHead || aCode == 204 || aCode == 304;
  return hasNoBody || FindHeader(aHeaders, "Content-Length").has_value() ||
         FindHeader(aHeaders, "Transfer-Encoding").has_value();
}

CallResult ClientConnection::ReadAnswer(evhttp_request* aRequest)
{
  CallResult result;
  HttpAnswer& answer = result.answer_;
  answer.code_ = evhttp_request_get_response_code(aRequest);
  evkeyvalq* headers = evhttp_request_get_input_headers(aRequest);
  for (evkeyval* field = headers->tqh_first; field != nullptr;
       field = field->next.tqe_next) {
    answer.headers_.emplace_back(field->key, field->value);
  }
  if (!HasKnownLength(answer.headers_, answer.code_, isHead_)) {
    return { CallEnd::Broken, {} };
  }
  evbuffer* body = evhttp_request_get_input_buffer(aRequest);
  answer.body_.resize(evbuffer_get_length(body));
  evbuffer_remove(body, answer.body_.data(), answer.body_.size());
  result.end_ = CallEnd::Answered;
  result.connection_ = id_;
  auto connectionField = FindHeader(answer.headers_, "Connection");
  bool peerCloses =
    connectionField && EqualsIgnoringCase(*connectionField, "close");
  bool isHttp10 = aRequest->major == 1 && aRequest->minor == 0;
  bool hasUnreadInput = evbuffer_get_length(bufferevent_get_input(stream_)) > 0;
  reusable_ = !peerCloses && !isHttp10 && !hasUnreadInput;
  return result;
}

void ClientConnection::End(CallResult aResult)
{
  OnEnd onEnd = std::exchange(onEnd_, nullptr);
  if (onEnd) {
    onEnd(std::move(aResult));
  }
}

void ClientConnection::Abandon()
{
  onEnd_ = nullptr;
  reusable_ = false;
  if (request_ != nullptr) {
    evhttp_request* request = std::exchange(request_, nullptr);
    evhttp_cancel_request(request);
  }
}

bool ClientConnection::HasUnreadInput() const
{
  if (evbuffer_get_length(bufferevent_get_input(stream_)) > 0) {
    return true;
  }
  char byte = 0;
  ssize_t got =
    recv(bufferevent_getfd(stream_), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  bool noInputYet = got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  return !noInputYet;
}

bool ClientConnection::IsReusable() const
{
  return reusable_ && request_ == nullptr && !HasUnreadInput();
}

} // namespace coltsfootshed
