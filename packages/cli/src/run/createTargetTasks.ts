import type Clock from '@guavayard/core/types/Clock';
import DirectoryExchange from '@guavayard/target/directory/DirectoryExchange';
import directoryTimes from '@guavayard/target/directory/directoryTimes';
import OwnershipTable from '@guavayard/target/OwnershipTable';
import TargetDirectory from '@guavayard/target/TargetDirectory';
import EntryMesh from '@guavayard/vm/entry/EntryMesh';
import EntrySessions from '@guavayard/vm/entry/EntrySessions';

import type RunContext from './RunContext';
import type TargetTasks from './TargetTasks';

const EXPIRY_INTERVAL_MS = 100;

/**
 * Starts the tasks that maintain the directory of targets and exchange it with other entries.
 *
 * @param context - identity and sessions
 * @param clock - monotonic clock
 * @returns the running tasks
 */
export default function createTargetTasks(
  { identity, hub }: RunContext,
  clock: Clock,
): TargetTasks {
  const ownership = new OwnershipTable(clock, identity.name);
  const sessions = new EntrySessions(identity);
  const directory = new TargetDirectory(clock, identity.name, ownership);
  const exchange = new DirectoryExchange(sessions, directory, ownership);
  directory.setListener((effects) => exchange.send(effects));
  const mesh = new EntryMesh(hub, identity);
  sessions.addListener(exchange);
  hub.addHandler(sessions);
  const expiryTimer = setInterval(() => directory.expire(), EXPIRY_INTERVAL_MS);
  const confirmationTimer = setInterval(
    () => exchange.confirmHeld(),
    directoryTimes.confirmIntervalMs,
  );
  return {
    directory,
    ownership,
    sessions,
    updateMembership: (entries) => {
      mesh.update(entries);
      ownership.applyMembership(entries);
    },
    releaseOwnership: () => {
      ownership.release(identity.name);
      sessions.broadcast({ kind: 'ownershipReleased' });
    },
    stop: () => {
      clearInterval(expiryTimer);
      clearInterval(confirmationTimer);
    },
  };
}
