import type ConnectionEvidence from './ConnectionEvidence';

/** @returns the state of an entry that has opened no connection yet */
export default function createConnectionEvidence(): ConnectionEvidence {
  return { refusing: new Set(), refusedInARow: new Set(), lastRefusalAtMs: -Infinity };
}
