import { readFile } from 'node:fs/promises';
import { setTimeout as sleep } from 'node:timers/promises';

/** Delays of syncs, in milliseconds, and the share of syncs that are delayed. */
interface SyncDelays {
  readonly minMs: number;
  readonly maxMs: number;
  readonly share: number;
}

/**
 * Makes a sync take longer, as the file that `SYNC_DELAYS` names says at that moment.
 *
 * @returns nothing, once the sync may end
 */
export default async function delaySync(): Promise<void> {
  const path = process.env.SYNC_DELAYS;
  if (path === undefined) return;
  const { minMs, maxMs, share } = JSON.parse(await readFile(path, 'utf8')) as SyncDelays;
  if (Math.random() < share) await sleep(minMs + Math.random() * (maxMs - minMs));
}
