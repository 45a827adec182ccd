#include "coltsfootshed/Admin/AdminApi.h"

#include <array>
#include <charconv>
#include <nlohmann/json.hpp>
#include <openssl/crypto.h>
#include <spdlog/spdlog.h>
#include <utility>

namespace coltsfootshed {

using Json = nlohmann::json;

static HttpAnswer JsonAnswer(int aCode, const Json& aJson)
{
  HttpAnswer answer;
  answer.code_ = aCode;
  answer.headers_.emplace_back("Content-Type", "application/json");
  answer.body_ = aJson.dump() + "\n";
  return answer;
}

static HttpAnswer ErrorAnswer(int aCode, std::string_view aText)
{
  return JsonAnswer(aCode, { { "error", aText } });
}

static HttpAnswer TextAnswer(std::string aText)
{
  return { 200, { { "Content-Type", "text/plain" } }, std::move(aText) };
}

AdminApi::AdminApi(event_base* aBase,
                   AdminBackend& aBackend,
                   std::string aToken)
  : backend_(aBackend)
  , token_(std::move(aToken))
  , server_(aBase, {}, [this](const Exchange& aExchange) {
    OnRequest(aExchange);
  })
{
}

Result<void> AdminApi::Listen(const Endpoint& aEndpoint)
{
  return server_.Listen(aEndpoint);
}

std::span<const AdminApi::Route> AdminApi::Routes()
{
  static constexpr std::array<Route, 9> kRoutes = {
    { { "GET", "/healthz", false, &AdminApi::OnHealth },
      { "GET", "/readyz", false, &AdminApi::OnReady },
      { "GET", "/v1/status", false, &AdminApi::OnStatus },
      { "GET", "/metrics", false, &AdminApi::OnMetrics },
      { "GET", "/v1/histograms", false, &AdminApi::OnHistograms },
      { "GET", "/v1/fleet", false, &AdminApi::OnFleet },
      { "GET", "/v1/config", false, &AdminApi::OnShowConfig },
      { "POST", "/v1/config/check", false, &AdminApi::OnCheckConfig },
      { "POST", "/v1/config", true, &AdminApi::OnSubmitConfig } }
  };
  return kRoutes;
}

void AdminApi::OnRequest(const Exchange& aExchange)
{
  const HttpRequest& request = aExchange->Request();
  bool pathKnown = false;
  for (const Route& route : Routes()) {
    if (PathOf(request.target_) != route.path_) {
      continue;
    }
    pathKnown = true;
    if (request.method_ != route.method_) {
      continue;
    }
    if (route.changesState_ && !IsAuthorised(request)) {
      spdlog::warn("event=admin_refused path={} reason=token", route.path_);
      aExchange->Reply(
        ErrorAnswer(401, "a bearer token from the token file is needed"));
      return;
    }
    (this->*route.handle_)(aExchange);
    return;
  }
  aExchange->Reply(pathKnown ? ErrorAnswer(405, "method not allowed here")
                             : ErrorAnswer(404, "no such path"));
}

bool AdminApi::IsAuthorised(const HttpRequest& aRequest) const
{
  static constexpr std::string_view kScheme = "Bearer ";
  auto field = FindHeader(aRequest.headers_, "Authorization");
  if (token_.empty() || !field || !field->starts_with(kScheme)) {
    return false;
  }
  std::string_view given = field->substr(kScheme.size());
  return given.size() == token_.size() &&
         CRYPTO_memcmp(given.data(), token_.data(), token_.size()) == 0;
}

void AdminApi::OnHealth(const Exchange& aExchange)
{
  aExchange->Reply(TextAnswer("ok\n"));
}

void AdminApi::OnReady(const Exchange& aExchange)
{
  NodeStatus status = backend_.Status();
  if (status.stopping_) {
    aExchange->Reply(ErrorAnswer(503, "stopping"));
    return;
  }
  if (status.version_ == 0) {
    aExchange->Reply(ErrorAnswer(503, "no configuration is in force yet"));
    return;
  }
  aExchange->Reply(TextAnswer("ready\n"));
}

void AdminApi::OnStatus(const Exchange& aExchange)
{
  NodeStatus status = backend_.Status();
  Json json = { { "node", status.self_.node_ },
                { "data_centre", status.self_.dataCentre_ },
                { "version", status.version_ },
                { "platform_age_ms", status.platformAge_.count() },
                { "platform_calls", status.platformCalls_ },
                { "watcher", status.isWatcher_ },
                { "steward", status.isFleetController_ },
                { "stopping", status.stopping_ } };
  backend_.AskView(RequestsView::Status,
                   [aExchange, json](const std::string& aText) mutable {
                     json["requests"] = Json::parse(aText);
                     aExchange->Reply(JsonAnswer(200, json));
                   });
}

void AdminApi::OnMetrics(const Exchange& aExchange)
{
  backend_.AskView(RequestsView::Metrics, [aExchange](std::string aText) {
    aExchange->Reply(TextAnswer(std::move(aText)));
  });
}

void AdminApi::OnHistograms(const Exchange& aExchange)
{
  backend_.AskView(RequestsView::Histograms, [aExchange](std::string aText) {
    HttpAnswer answer = TextAnswer(std::move(aText));
    answer.headers_.front().second = "application/json";
    aExchange->Reply(answer);
  });
}

void AdminApi::OnFleet(const Exchange& aExchange)
{
  auto document = backend_.CurrentDocument();
  Json waves = Json::object();
  if (document != nullptr) {
    for (const auto& [name, wave] : document->waves_) {
      waves[name] = { { "paused", wave.paused_ } };
    }
  }
  Json json = { { "data_centre", backend_.Status().self_.dataCentre_ },
                { "records", Json::parse(backend_.Records().ToJson()) },
                { "waves", waves } };
  aExchange->Reply(JsonAnswer(200, json));
}

void AdminApi::OnShowConfig(const Exchange& aExchange)
{
  HttpAnswer answer = TextAnswer(backend_.ConfigText());
  answer.headers_.emplace_back("Config-Version",
                               std::to_string(backend_.ConfigVersion()));
  aExchange->Reply(answer);
}

/// The faults of a document as a JSON list, empty if it is valid.
static Json FaultsOf(std::string_view aText)
{
  Json faults = Json::array();
  auto document = ReadDocument(aText);
  if (document) {
    return faults;
  }
  for (const Fault& fault : document.error()) {
    faults.push_back({ { "line", fault.line_ },
                       { "field", fault.field_ },
                       { "expected", fault.expected_ } });
  }
  return faults;
}

void AdminApi::OnCheckConfig(const Exchange& aExchange)
{
  Json faults = FaultsOf(aExchange->Request().body_);
  int code = faults.empty() ? 200 : 422;
  aExchange->Reply(JsonAnswer(code, { { "faults", faults } }));
}

static std::string_view ResultName(SubmitResult aResult)
{
  switch (aResult) {
    case SubmitResult::Accepted:
      return "accepted";
    case SubmitResult::Conflict:
      return "conflict";
    case SubmitResult::Undecided:
      return "undecided";
  }
  return "undecided";
}

static int ResultCode(SubmitResult aResult)
{
  switch (aResult) {
    case SubmitResult::Accepted:
      return 200;
    case SubmitResult::Conflict:
      return 409;
    case SubmitResult::Undecided:
      return 504;
  }
  return 504;
}

void AdminApi::OnSubmitConfig(const Exchange& aExchange)
{
  const HttpRequest& request = aExchange->Request();
  Json faults = FaultsOf(request.body_);
  if (!faults.empty()) {
    aExchange->Reply(JsonAnswer(422, { { "faults", faults } }));
    return;
  }
  std::string fromText = QueryValue(request.target_, "from");
  std::uint64_t from = 0;
  const char* last = fromText.data() + fromText.size();
  auto [end, error] = std::from_chars(fromText.data(), last, from);
  if (error != std::errc() || end != last) {
    aExchange->Reply(
      ErrorAnswer(400, "query field from: expected the base version number"));
    return;
  }
  std::string author = QueryValue(request.target_, "author");
  backend_.Submit(
    request.body_, from, author, [aExchange](const SubmissionEnd& aEnd) {
      Json json = { { "result", ResultName(aEnd.result_) },
                    { "version", aEnd.head_.version_ } };
      aExchange->Reply(JsonAnswer(ResultCode(aEnd.result_), json));
    });
}

} // namespace coltsfootshed
