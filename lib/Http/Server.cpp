#include "coltsfootshed/Http/Server.h"

#include "coltsfootshed/Http/LingeringClose.h"

#include <array>
#include <charconv>
#include <cstring>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <evhtp.h>

namespace coltsfootshed {

/// Limit for the names and values of one header section.
static constexpr std::size_t kMaxHeaderBytes = std::size_t{ 64 } << 10;
static constexpr int kBacklog = 1024;
/// Interval of checks for waiting callers that have disconnected.
static constexpr Millis kDisconnectCheckInterval{ 50 };
/// Most bytes read ahead from a caller that waits for its answer.
static constexpr std::size_t kMaxInputWhileWaiting = std::size_t{ 64 } << 10;

static constexpr std::array<std::pair<htp_method, const char*>, 7> kMethods = {
  { { htp_method_GET, "GET" },
    { htp_method_POST, "POST" },
    { htp_method_HEAD, "HEAD" },
    { htp_method_PUT, "PUT" },
    { htp_method_DELETE, "DELETE" },
    { htp_method_PATCH, "PATCH" },
    { htp_method_OPTIONS, "OPTIONS" } }
};

static const char* MethodName(htp_method aMethod)
{
  for (const auto& [method, name] : kMethods) {
    if (method == aMethod) {
      return name;
    }
  }
  return "";
}

static int AddField(evhtp_kv_t* aField, void* aHeaders)
{
  auto* headers = static_cast<Headers*>(aHeaders);
  headers->emplace_back(std::string(aField->key, aField->klen),
                        std::string(aField->val, aField->vlen));
  return 0;
}

static HttpRequest ReadRequest(evhtp_request* aRequest)
{
  HttpRequest out;
  out.method_ = MethodName(aRequest->method);
  out.target_ = aRequest->uri->path->full;
  if (aRequest->uri->query_raw != nullptr) {
    out.target_ += "?";
    out.target_ += reinterpret_cast<const char*>(aRequest->uri->query_raw);
  }
  evhtp_kvs_for_each(aRequest->headers_in, &AddField, &out.headers_);
  out.body_.resize(evbuffer_get_length(aRequest->buffer_in));
  evbuffer_remove(aRequest->buffer_in, out.body_.data(), out.body_.size());
  return out;
}

/// Status and reason phrase, a line feed and the text of the body.
static std::string_view RefusalText(int aCode)
{
  switch (aCode) {
    case 413:
      return "413 Content Too Large\n"
             "the body is larger than this entry VM accepts";
    case 431:
      return "431 Request Header Fields Too Large\n"
             "the header section is larger than this entry VM accepts";
    default:
      return "400 Bad Request\nthe request is not valid HTTP";
  }
}

/// A complete answer that refuses a request, as sent.
static std::string RefusalBytes(int aCode)
{
  std::string_view text = RefusalText(aCode);
  std::size_t lineEnd = text.find('\n');
  std::string status(text.substr(0, lineEnd));
  std::string body = std::string(text.substr(lineEnd + 1)) + "\n";
  return "HTTP/1.1 " + status + "\r\nConnection: close\r\n" + kOutcomeHeader +
         ": not-run\r\nContent-Type: text/plain\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

void ServerExchange::Reply(const HttpAnswer& aAnswer)
{
  if (evhtpRequest_ == nullptr) {
    return;
  }
  evhtp_request* evhtpRequest = std::exchange(evhtpRequest_, nullptr);
  bool isHead = evhtpRequest->method == htp_method_HEAD;
  for (const auto& [name, value] : aAnswer.headers_) {
    bool length = isHead && EqualsIgnoringCase(name, "Content-Length");
    if (IsNotForwarded(name) && !length) {
      continue;
    }
    evhtp_headers_add_header(
      evhtpRequest->headers_out,
      evhtp_header_new(name.c_str(), value.c_str(), 1, 1));
  }
  if (!isHead) {
    evbuffer_add(
      evhtpRequest->buffer_out, aAnswer.body_.data(), aAnswer.body_.size());
  }
  if (server_.closesAfterAnswers_) {
    evhtpRequest->flags &= ~EVHTP_REQ_FLAG_KEEPALIVE;
  }
  --server_.unanswered_;
  auto state = server_.connections_.find(evhtpRequest->conn);
  // Releases the server's reference; the caller of Reply() holds another.
  state->second.exchange_.reset();
  evhtp_send_reply(evhtpRequest, static_cast<evhtp_res>(aAnswer.code_));
  evhtp_request_resume(evhtpRequest);
}

void ServerExchange::SendRawAndClose(std::string_view aBytes)
{
  if (evhtpRequest_ == nullptr) {
    return;
  }
  evhtp_connection* connection = std::exchange(evhtpRequest_, nullptr)->conn;
  --server_.unanswered_;
  server_.SendRawAndClose(connection, aBytes);
}

void HttpServer::SendRawAndClose(evhtp_connection* aConnection,
                                 std::string_view aBytes)
{
  connections_.erase(aConnection);
  SendAndLinger(base_, bufferevent_getfd(aConnection->bev), aBytes);
  evhtp_connection_free(aConnection);
}

void ServerExchange::HandleCallerDisconnected()
{
  evhtpRequest_ = nullptr;
  --server_.unanswered_;
  if (onCallerDisconnected_) {
    std::exchange(onCallerDisconnected_, nullptr)();
  }
}

/// Callbacks with the signatures that libevhtp expects.
struct ServerHooks
{
  static HttpServer& Self(void* aSelf)
  {
    return *static_cast<HttpServer*>(aSelf);
  }

  static evhtp_res OnAccept(evhtp_connection_t* aConnection, void* aSelf)
  {
    bool accepted = Self(aSelf).Accept(aConnection);
    return accepted ? EVHTP_RES_OK : EVHTP_RES_ERROR;
  }

  static evhtp_res OnField(evhtp_request_t* aRequest,
                           evhtp_header_t* aField,
                           void* aSelf)
  {
    bool fits =
      Self(aSelf).CheckHeaderSize(aRequest, aField->klen + aField->vlen);
    return fits ? EVHTP_RES_OK : EVHTP_RES_ERROR;
  }

  static evhtp_res OnHeaders(evhtp_request_t* aRequest,
                             evhtp_headers_t*,
                             void* aSelf)
  {
    bool fits = Self(aSelf).CheckContentLength(aRequest);
    return fits ? EVHTP_RES_OK : EVHTP_RES_ERROR;
  }

  static void OnEvent(evhtp_connection_t* aConnection,
                      short aEvents,
                      void* aSelf)
  {
    // libevhtp treats an end of input with this errno as spurious and reads
    // again.
    bool end = (aEvents & BEV_EVENT_EOF) != 0 && errno != EAGAIN;
    bool error = (aEvents & BEV_EVENT_ERROR) != 0;
    if (end || error) {
      Self(aSelf).HandleDisconnect(aConnection);
    }
  }

  static void OnRequest(evhtp_request_t* aRequest, void* aSelf)
  {
    Self(aSelf).HandleRequest(aRequest);
  }

  static evhtp_res OnClosed(evhtp_connection_t* aConnection, void* aSelf)
  {
    Self(aSelf).HandleClosed(aConnection);
    return EVHTP_RES_OK;
  }
};

HttpServer::HttpServer(event_base* aBase,
                       ServerLimits aLimits,
                       Handler aHandler)
  : base_(aBase)
  , limits_(aLimits)
  , handler_(std::move(aHandler))
  , server_(evhtp_new(aBase, nullptr))
  , disconnectTimer_(aBase, [this] { CheckForDisconnects(); })
{
  disconnectTimer_.Start(kDisconnectCheckInterval);
  server_->flags |= EVHTP_FLAG_ENABLE_NODELAY;
  evhtp_set_max_body_size(server_, limits_.maxBodyBytes_);
  evhtp_set_gencb(server_, &ServerHooks::OnRequest, this);
  evhtp_set_post_accept_cb(server_, &ServerHooks::OnAccept, this);
}

HttpServer::~HttpServer()
{
  StopListening();
  while (!connections_.empty()) {
    evhtp_connection_free(connections_.begin()->first);
  }
  evhtp_free(server_);
}

Result<void> HttpServer::Listen(const Endpoint& aEndpoint)
{
  int bound = evhtp_bind_socket(
    server_, aEndpoint.address_.c_str(), aEndpoint.port_, kBacklog);
  if (bound != 0) {
    return Fail("listen", aEndpoint.Text(), std::strerror(errno));
  }
  listening_ = true;
  return {};
}

void HttpServer::StopListening()
{
  if (listening_) {
    evhtp_unbind_socket(server_);
    listening_ = false;
  }
}

bool HttpServer::Accept(evhtp_connection* aConnection)
{
  if (connections_.size() >= limits_.maxConnections_) {
    return false;
  }
  connections_.try_emplace(aConnection);
  auto setHook = [&](evhtp_hook_type aType, auto aHook) {
    auto untypedHook = reinterpret_cast<void (*)()>(aHook);
    evhtp_connection_set_hook(
      aConnection, aType, reinterpret_cast<evhtp_hook>(untypedHook), this);
  };
  setHook(evhtp_hook_on_header, &ServerHooks::OnField);
  setHook(evhtp_hook_on_headers, &ServerHooks::OnHeaders);
  setHook(evhtp_hook_on_event, &ServerHooks::OnEvent);
  setHook(evhtp_hook_on_connection_fini, &ServerHooks::OnClosed);
  return true;
}

HttpServer::ConnectionState& HttpServer::StateOf(evhtp_request* aRequest)
{
  return connections_[aRequest->conn];
}

/// Enables reading on connections that wait for an answer. libevhtp stops
/// reading from a paused connection and would not notice that the caller has
/// disconnected; its parser ignores input while paused. Also frees the
/// connections of callers that have disconnected.
void HttpServer::CheckForDisconnects()
{
  for (evhtp_connection* connection : std::exchange(connectionsToFree_, {})) {
    if (connections_.contains(connection)) {
      evhtp_connection_free(connection);
    }
  }
  for (auto& [connection, state] : connections_) {
    if (state.exchange_ != nullptr) {
      bufferevent_setwatermark(
        connection->bev, EV_READ, 0, kMaxInputWhileWaiting);
      bufferevent_enable(connection->bev, EV_READ);
    }
  }
  disconnectTimer_.Start(kDisconnectCheckInterval);
}

/// libevhtp keeps a paused connection whose caller has disconnected, so this
/// server frees it, but not from within the connection's own callback.
void HttpServer::HandleDisconnect(evhtp_connection* aConnection)
{
  auto found = connections_.find(aConnection);
  if (found == connections_.end() || found->second.exchange_ == nullptr) {
    return;
  }
  std::exchange(found->second.exchange_, nullptr)->HandleCallerDisconnected();
  connectionsToFree_.push_back(aConnection);
  disconnectTimer_.Start(Millis(0));
}

bool HttpServer::CheckHeaderSize(evhtp_request* aRequest, std::size_t aBytes)
{
  ConnectionState& state = StateOf(aRequest);
  state.headerBytes_ += aBytes;
  if (state.headerBytes_ > kMaxHeaderBytes) {
    state.refusalCode_ = 431;
    return false;
  }
  return true;
}

bool HttpServer::CheckContentLength(evhtp_request* aRequest)
{
  ConnectionState& state = StateOf(aRequest);
  state.headerBytes_ = 0;
  const char* field = evhtp_header_find(aRequest->headers_in, "Content-Length");
  if (field == nullptr) {
    return true;
  }
  std::uint64_t length = 0;
  const char* last = field + std::strlen(field);
  auto [end, error] = std::from_chars(field, last, length);
  bool valid = error == std::errc() && end == last;
  // A message with both fields is ambiguous: its end depends on which one the
  // reader obeys.
  bool chunked =
    evhtp_header_find(aRequest->headers_in, "Transfer-Encoding") != nullptr;
  if (!valid || chunked) {
    state.refusalCode_ = 400;
    return false;
  }
  if (length > limits_.maxBodyBytes_) {
    state.refusalCode_ = 413;
    return false;
  }
  return true;
}

void HttpServer::HandleRequest(evhtp_request* aRequest)
{
  evhtp_request_pause(aRequest);
  auto exchange =
    std::make_shared<ServerExchange>(*this, aRequest, ReadRequest(aRequest));
  StateOf(aRequest).exchange_ = exchange;
  ++unanswered_;
  handler_(std::move(exchange));
}

/// The HTTP status for the error that made libevhtp close a connection, or 0.
static int RefusalCodeOf(evhtp_connection* aConnection,
                         std::uint64_t aMaxBodyBytes)
{
  if (aConnection->body_bytes_read > aMaxBodyBytes) {
    return 413;
  }
  if (aConnection->parser == nullptr) {
    return 0;
  }
  switch (htparser_get_error(aConnection->parser)) {
    case htparse_error_none:
    case htparse_error_user:
      return 0;
    case htparse_error_too_big:
      return 431;
    default:
      return 400;
  }
}

void HttpServer::HandleClosed(evhtp_connection* aConnection)
{
  auto found = connections_.find(aConnection);
  if (found == connections_.end()) {
    return;
  }
  ConnectionState state = std::move(found->second);
  connections_.erase(found);
  if (state.exchange_ != nullptr) {
    state.exchange_->HandleCallerDisconnected();
    return;
  }
  int code = state.refusalCode_;
  if (code == 0) {
    code = RefusalCodeOf(aConnection, limits_.maxBodyBytes_);
  }
  if (code != 0) {
    SendAndLinger(
      base_, bufferevent_getfd(aConnection->bev), RefusalBytes(code));
  }
}

} // namespace coltsfootshed
