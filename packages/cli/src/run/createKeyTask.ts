import type Clock from '@guavayard/core/types/Clock';
import type VersionedConfiguration from '@guavayard/core/types/VersionedConfiguration';
import type MembershipChange from '@guavayard/vm/control/MembershipChange';
import KeyTask from '@guavayard/vm/idempotency/KeyTask';
import type VmIdentity from '@guavayard/vm/session/VmIdentity';

import type RunContext from './RunContext';

/** How long idempotency keys are remembered: longer than any request may run. */
const WINDOW_MS = 15 * 60 * 1000;

type ReadConfiguration = () => VersionedConfiguration | undefined;

interface Keys {
  readonly task: KeyTask;
  /** Tells where the configuration in force is read, undefined without a lease. */
  readonly attach: (read: ReadConfiguration) => void;
  /** Takes a change of the membership. */
  readonly update: (entries: readonly VmIdentity[], change: MembershipChange) => void;
}

/**
 * Makes the keeper of idempotency keys of an entry and keeps it at the membership of entries.
 *
 * @param context - identity and sessions of the VM
 * @param clock - monotonic clock
 * @returns the keeper, and the receiver of membership changes
 */
export default function createKeyTask(
  { identity, hub }: RunContext,
  clock: Clock,
): Keys {
  let readConfiguration: ReadConfiguration = () => undefined;
  const remote = new Set<string>();
  const task = new KeyTask({
    identity,
    clock,
    windowMs: WINDOW_MS,
    configuration: () => readConfiguration(),
    send: (entry, message) => {
      if (hub.send(entry.name, message) || entry.region === identity.region) return;
      // Entries of the own region are connected anyway; others when a key lies there.
      remote.add(entry.address);
      hub.connect(entry.address);
    },
  });
  hub.addHandler(task);
  let local = '';
  const update: Keys['update'] = (entries, change) => {
    const startIds = entries.filter(({ region }) => region === identity.region)
      .map(({ startId }) => startId).sort().join(' ');
    const hasJoined = change.joined.some(({ region }) => region === identity.region);
    const isContinuous = change.scope === 'delta' && !hasJoined && startIds === local;
    local = startIds;
    const addresses = new Set(entries.map(({ address }) => address));
    remote.forEach((address) => {
      if (addresses.has(address)) return;
      remote.delete(address);
      hub.disconnect(address);
    });
    task.changeEntries(entries, change.revision, isContinuous);
  };
  const attach: Keys['attach'] = (read) => {
    readConfiguration = read;
  };
  return { task, update, attach };
}
