import { isDeepStrictEqual } from 'node:util';

import type TargetAnnouncement from '@guavayard/core/types/TargetAnnouncement';

/**
 * Distinguishes a changed announcement from a plain heartbeat.
 *
 * @param known - the latest known announcement
 * @param next - a later announcement of the same incarnation of the target
 * @returns true if any field other than the sequence differs
 */
export default function hasChanged(known: TargetAnnouncement, next: TargetAnnouncement): boolean {
  return !isDeepStrictEqual({ ...known, sequence: 0 }, { ...next, sequence: 0 });
}
