/// \file
/// The task that talks with the other entry VMs.
#ifndef COLTSFOOTSHED_PEERS_PEERSTASK_H
#define COLTSFOOTSHED_PEERS_PEERSTASK_H

#include "coltsfootshed/Requests/RequestsTask.h"
#include "coltsfootshed/Settings/Settings.h"

namespace coltsfootshed {

/// Exchanges reports, passes on configurations and VM lists, and carries
/// hand-overs. Listens within Run(); an address that cannot be listened on is
/// logged and ends the process's part in the exchange.
class PeersTask
{
public:
  PeersTask(const Settings& aSettings,
            const Clock& aClock,
            Mailboxes& aMailboxes);

  /// Runs until PeersQuit arrives.
  void Run();

private:
  Settings settings_;
  const Clock& clock_;
  Mailboxes& mailboxes_;
};

} // namespace coltsfootshed

#endif
