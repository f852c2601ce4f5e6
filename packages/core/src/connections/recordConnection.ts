import type ConnectionEvidence from './ConnectionEvidence';

/**
 * Records what came of a new connection.
 *
 * @param state - the evidence, changed in place
 * @param address - address of the target
 * @param isWorking - whether it has carried a response
 * @param nowMs - monotonic clock
 */
export default function recordConnection(
  state: ConnectionEvidence,
  address: string,
  isWorking: boolean,
  nowMs: number,
): void {
  const evidence = state;
  if (isWorking) {
    evidence.refusing.delete(address);
    evidence.refusedInARow.clear();
    return;
  }
  evidence.refusing.add(address);
  evidence.refusedInARow.add(address);
  evidence.lastRefusalAtMs = nowMs;
}
