/// \file
/// Blocking client of the admin interface, for the operators' tool.
#ifndef COLTSFOOTSHED_ADMIN_ADMINCLIENT_H
#define COLTSFOOTSHED_ADMIN_ADMINCLIENT_H

#include "coltsfootshed/Http/Message.h"
#include "coltsfootshed/Settings/Settings.h"
#include "coltsfootshed/Support/Error.h"

#include <string>

namespace coltsfootshed {

class AdminClient
{
public:
  /// aToken may be empty for calls that change nothing.
  AdminClient(Endpoint aServer, std::string aToken);

  /// Makes one call over a new connection and waits for its answer, which it
  /// returns whatever the status code.
  Result<HttpAnswer> Call(const std::string& aMethod,
                          const std::string& aTarget,
                          std::string aBody) const;

private:
  Endpoint server_;
  std::string token_;
};

} // namespace coltsfootshed

#endif
