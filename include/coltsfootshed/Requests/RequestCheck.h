/// \file
/// Checks a caller's request against the document in force.
#ifndef COLTSFOOTSHED_REQUESTS_REQUESTCHECK_H
#define COLTSFOOTSHED_REQUESTS_REQUESTCHECK_H

#include "coltsfootshed/Requests/Handover.h"

#include <string>
#include <tl/expected.hpp>

namespace coltsfootshed {

/// Why a request is not accepted: a 4xx status and one line of text.
struct RequestError
{
  int code_ = 400;
  std::string text_;
};

/// Reads the service from the first segment of the path and the terms from the
/// Coltsfootshed header fields. The content, which goes to a target, has
/// neither these header fields nor the hop-by-hop ones.
tl::expected<CheckedRequest, RequestError> CheckRequest(
  const HttpRequest& aRequest,
  const Document& aDocument);

} // namespace coltsfootshed

#endif
