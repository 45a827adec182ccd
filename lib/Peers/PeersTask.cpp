#include "coltsfootshed/Peers/PeersTask.h"

#include "Peers/PeerExchange.h"

namespace coltsfootshed {

PeersTask::PeersTask(const Settings& aSettings,
                     const Clock& aClock,
                     Mailboxes& aMailboxes)
  : settings_(aSettings)
  , clock_(aClock)
  , mailboxes_(aMailboxes)
{
}

void PeersTask::Run()
{
  kj::AsyncIoContext io = kj::setupAsyncIo();
  PeerExchange exchange(settings_, clock_, mailboxes_, io);
  exchange.Run().wait(io.waitScope);
}

} // namespace coltsfootshed
