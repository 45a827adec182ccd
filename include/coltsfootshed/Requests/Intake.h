/// \file
/// Checks a caller's request against the document in force.
#ifndef COLTSFOOTSHED_REQUESTS_INTAKE_H
#define COLTSFOOTSHED_REQUESTS_INTAKE_H

#include "coltsfootshed/Requests/Handover.h"

#include <string>
#include <tl/expected.hpp>

namespace coltsfootshed {

/// A 4xx status with one line that names what was wrong.
struct Refusal
{
  int code_ = 400;
  std::string text_;
};

/// Reads the service from the first part of the path and the terms from our
/// header fields. The content that goes on to a target has neither fields of
/// one connection nor ours as the caller gave them.
tl::expected<CheckedRequest, Refusal> CheckRequest(const HttpRequest& aRequest,
                                                   const Document& aDocument);

} // namespace coltsfootshed

#endif
