/// \file
/// A checked request and its answer, in the form in which the dispatcher
/// handles them and in which entry VMs hand them over to each other.
#ifndef COLTSFOOTSHED_REQUESTS_HANDOVER_H
#define COLTSFOOTSHED_REQUESTS_HANDOVER_H

#include "coltsfootshed/Config/Document.h"
#include "coltsfootshed/Http/Message.h"
#include "coltsfootshed/Routing/RequestFlow.h"
#include "coltsfootshed/Support/Clock.h"

#include <string>

namespace coltsfootshed {

/// What a request asks for, after its header fields have been checked.
struct RequestTerms
{
  std::string service_;
  RequestClass class_ = RequestClass::Standard;
  std::string tenant_; ///< empty if none
  bool idempotent_ = false;
  Millis timeLeft_{ 0 };  ///< until its deadline
  std::string requestId_; ///< the caller's, or a generated one
};

/// A checked request with its content.
struct CheckedRequest
{
  RequestTerms terms_;
  HttpRequest content_;
};

/// Outcome of a request and the HTTP answer for its caller.
struct RequestAnswer
{
  Outcome outcome_ = Outcome::NotRun;
  HttpAnswer answer_;
};

} // namespace coltsfootshed

#endif
