import connectionLimits from './connectionLimits';

/**
 * Tells whether a new connection to a target leads to the process that a probe has told of. A
 * process that ends takes its connections with it, and another one may listen in its place at once.
 */
export default class ProcessProof {
  /** Connections that have ended without this VM's doing, or could not be opened. */
  private ends = 0;

  /** Their number when the last probe was sent that was answered. */
  private provenAtEnds: number | undefined;

  /** Probes in a row whose connection ended with the response. */
  private closedProbes = 0;

  private passUntilMs = -Infinity;

  /** Number of ends so far, to be told with the result of a probe. */
  get endCount(): number {
    return this.ends;
  }

  /** Records that a connection ended without this VM's doing, or could not be opened. */
  recordEnd(): void {
    this.ends += 1;
  }

  /**
   * Records that a probe was answered.
   *
   * @param endCount - number of ends when it was sent
   * @param isKept - whether its connection is still open
   * @param nowMs - monotonic clock
   */
  recordProbe(endCount: number, isKept: boolean, nowMs: number): void {
    this.provenAtEnds = endCount;
    this.closedProbes = isKept ? 0 : this.closedProbes + 1;
    if (this.closedProbes < connectionLimits.minClosedProbes) return;
    this.passUntilMs = nowMs + connectionLimits.closedProbeValidMs;
  }

  /** Whether no connection has ended since the last probe was sent that was answered. */
  get isCurrent(): boolean {
    return this.provenAtEnds === this.ends;
  }

  /**
   * Returns whether the target closes each connection and has just answered a probe, so that one
   * request may be sent on a new one.
   *
   * @param nowMs - monotonic clock
   */
  hasPass(nowMs: number): boolean {
    return nowMs <= this.passUntilMs;
  }

  /**
   * Takes the pass for one request that a target gets which closes each connection.
   *
   * @param nowMs - monotonic clock
   * @returns whether there was one
   */
  takePass(nowMs: number): boolean {
    const hasPass = this.hasPass(nowMs);
    this.passUntilMs = -Infinity;
    return hasPass;
  }
}
