#include "coltsfootshed/Admin/AdminClient.h"

#include "coltsfootshed/Http/Client.h"

#include <event2/event.h>
#include <memory>
#include <utility>

namespace coltsfootshed {

static constexpr Millis kCallTimeout{ 30000 };

AdminClient::AdminClient(Endpoint aServer, std::string aToken)
  : server_(std::move(aServer))
  , token_(std::move(aToken))
{
}

Result<HttpAnswer> AdminClient::Call(const std::string& aMethod,
                                     const std::string& aTarget,
                                     std::string aBody) const
{
  std::unique_ptr<event_base, decltype(&event_base_free)> base(
    event_base_new(), &event_base_free);
  SteadyClock clock;
  HttpClient client(base.get(), clock, 0);
  HttpRequest request{ aMethod, aTarget, {}, std::move(aBody) };
  if (!token_.empty()) {
    request.headers_.emplace_back("Authorization", "Bearer " + token_);
  }
  CallResult result;
  client.Call(
    server_, request, kCallTimeout, Reuse::Never, [&](CallResult aResult) {
      result = std::move(aResult);
      event_base_loopbreak(base.get());
    });
  event_base_dispatch(base.get());
  std::string step = aMethod + " " + aTarget;
  switch (result.end_) {
    case CallEnd::Answered:
      return std::move(result.answer_);
    case CallEnd::NotSent:
      return Fail(step, server_.Text(), "cannot connect");
    case CallEnd::Broken:
      return Fail(step, server_.Text(), "no whole answer");
  }
  return Fail(step, server_.Text(), "no answer");
}

} // namespace coltsfootshed
