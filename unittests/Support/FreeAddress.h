/// \file
/// Finds an address at which a test can listen.
#ifndef COLTSFOOTSHED_UNITTESTS_SUPPORT_FREEADDRESS_H
#define COLTSFOOTSHED_UNITTESTS_SUPPORT_FREEADDRESS_H

#include "coltsfootshed/Settings/Settings.h"

#include <cppunit/TestAssert.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace coltsfootshed {

/// Returns a loopback address at which nothing listens.
inline Endpoint FreeAddress()
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(address);
  auto* generic = reinterpret_cast<sockaddr*>(&address);
  int probe = socket(AF_INET, SOCK_STREAM, 0);
  CPPUNIT_ASSERT(bind(probe, generic, size) == 0);
  CPPUNIT_ASSERT(getsockname(probe, generic, &size) == 0);
  close(probe);
  return { "127.0.0.1", ntohs(address.sin_port) };
}

} // namespace coltsfootshed

#endif
