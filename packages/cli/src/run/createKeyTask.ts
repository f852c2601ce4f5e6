import type Clock from '@guavayard/core/types/Clock';
import type VersionedConfiguration from '@guavayard/core/types/VersionedConfiguration';
import type MembershipChange from '@guavayard/vm/control/MembershipChange';
import KeyTask from '@guavayard/vm/idempotency/KeyTask';
import type VmIdentity from '@guavayard/vm/session/VmIdentity';

import type RunContext from './RunContext';

/** How long idempotency keys are kept, in milliseconds: longer than any request may run. */
const KEY_RETENTION_MS = 15 * 60 * 1000;

type ReadConfiguration = () => VersionedConfiguration | undefined;

interface KeyTaskHandle {
  readonly task: KeyTask;
  /** Sets the reader of the configuration in force, which is undefined without a lease. */
  readonly attach: (read: ReadConfiguration) => void;
  /** Applies a change of the membership. */
  readonly update: (entries: readonly VmIdentity[], change: MembershipChange) => void;
}

/**
 * Creates the task that stores the idempotency keys of an entry, and keeps it up to date with
 * the membership of entries.
 *
 * @param context - identity and sessions of the VM
 * @param clock - monotonic clock
 * @returns the task and the functions that connect it to the configuration and the membership
 */
export default function createKeyTask(
  { identity, hub }: RunContext,
  clock: Clock,
): KeyTaskHandle {
  let readConfiguration: ReadConfiguration = () => undefined;
  const remoteAddresses = new Set<string>();
  const task = new KeyTask({
    identity,
    clock,
    windowMs: KEY_RETENTION_MS,
    configuration: () => readConfiguration(),
    send: (entry, message) => {
      if (hub.send(entry.name, message) || entry.region === identity.region) return;
      // Entries of the same region are always connected; others only when one of them holds a key.
      remoteAddresses.add(entry.address);
      hub.connect(entry.address);
    },
  });
  hub.addHandler(task);
  let localStartIds = '';
  const update: KeyTaskHandle['update'] = (entries, change) => {
    const startIds = entries.filter(({ region }) => region === identity.region)
      .map(({ startId }) => startId).sort().join(' ');
    const hasJoined = change.joined.some(({ region }) => region === identity.region);
    const isContinuous = change.scope === 'delta' && !hasJoined && startIds === localStartIds;
    localStartIds = startIds;
    const addresses = new Set(entries.map(({ address }) => address));
    remoteAddresses.forEach((address) => {
      if (addresses.has(address)) return;
      remoteAddresses.delete(address);
      hub.disconnect(address);
    });
    task.updateEntries(entries, change.revision, isContinuous);
  };
  const attach: KeyTaskHandle['attach'] = (read) => {
    readConfiguration = read;
  };
  return { task, update, attach };
}
