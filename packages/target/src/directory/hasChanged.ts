import { isDeepStrictEqual } from 'node:util';

import type TargetAnnouncement from '@guavayard/core/types/TargetAnnouncement';

/**
 * Tells a change from a heartbeat.
 *
 * @param known - the announcement that is known
 * @param next - a later announcement of the same start of the target
 * @returns true if it says anything new, its sequence apart
 */
export default function hasChanged(known: TargetAnnouncement, next: TargetAnnouncement): boolean {
  return !isDeepStrictEqual({ ...known, sequence: 0 }, { ...next, sequence: 0 });
}
