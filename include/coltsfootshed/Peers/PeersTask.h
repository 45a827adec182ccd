/// \file
/// The task that communicates with the other entry VMs.
#ifndef COLTSFOOTSHED_PEERS_PEERSTASK_H
#define COLTSFOOTSHED_PEERS_PEERSTASK_H

#include "coltsfootshed/Requests/RequestsTask.h"
#include "coltsfootshed/Settings/Settings.h"

namespace coltsfootshed {

/// Exchanges reports, passes on configurations, VM lists and fleet records, and
/// carries hand-overs. Run() starts to listen; if it cannot listen on the
/// address, it logs the error and peers cannot connect to this process.
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
