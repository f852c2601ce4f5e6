import type Logger from 'bunyan';

import areConnectionsRefused from '@guavayard/core/connections/areConnectionsRefused';
import createConnectionEvidence from '@guavayard/core/connections/createConnectionEvidence';
import needsProvenConnection from '@guavayard/core/connections/needsProvenConnection';
import recordConnection from '@guavayard/core/connections/recordConnection';
import type PlacedTarget from '@guavayard/core/placement/PlacedTarget';
import type Clock from '@guavayard/core/types/Clock';

interface ConnectionTrackerOptions {
  readonly clock: Clock;
  readonly log: Logger;
  /** Counts the open connections to an address that can take a request at once. */
  readonly countReady: (address: string) => number;
  /** Returns whether a new connection leads to the process that the last probe has told of. */
  readonly mayOpen: (address: string) => boolean;
  /** Returns how many connections to a target may carry requests of this entry. */
  readonly findLimit: (target: PlacedTarget) => number;
  /** Called when new connections turn out to be refused. */
  readonly onRefused: () => void;
}

/** Keeps track of which targets can be sent a request without risking it on a new connection. */
export default class ConnectionTracker {
  private readonly evidence = createConnectionEvidence();

  /** Since when new connections are refused, as logged, in milliseconds. */
  private loggedSinceMs: number | undefined;

  constructor(private readonly options: ConnectionTrackerOptions) {}

  /** Whether this entry seems unable to open connections to any target. */
  get areRefused(): boolean {
    return areConnectionsRefused(this.evidence, this.options.clock());
  }

  /** Records that a new connection has carried a response, or failed. */
  record(address: string, isWorking: boolean): void {
    const nowMs = this.options.clock();
    recordConnection(this.evidence, address, isWorking, nowMs);
    if (!isWorking) this.options.onRefused();
    this.logChange(nowMs);
  }

  /** Forgets an address that no target has any more. */
  forget(address: string): void {
    this.evidence.refusing.delete(address);
    this.evidence.refusedInARow.delete(address);
  }

  /**
   * Returns whether a request may be sent to a target now. A new connection may reach a later
   * process of the target, which only a probe tells, as it tells one that is cold again.
   *
   * @param target - the target
   * @returns true if a connection is free that has carried a response, or a new one leads to the
   *   process that the last probe has told of
   */
  maySend(target: PlacedTarget): boolean {
    const { clock, countReady, mayOpen } = this.options;
    const { address } = target.record;
    if (target.probedAtMs < target.probeDueSinceMs) return false;
    if (countReady(address) > 0) return true;
    return mayOpen(address) && !needsProvenConnection(this.evidence, address, clock());
  }

  /** @returns how many connections to a target may carry requests of this entry */
  limitOf(target: PlacedTarget): number {
    return this.options.findLimit(target);
  }

  /**
   * Returns whether a connection to a target is left for one more request. A request that has none
   * waits in the entry, where it can still go to another target.
   *
   * @param target - the target
   * @returns false if as many requests are in flight as connections may carry
   */
  hasRoom(target: PlacedTarget): boolean {
    return target.inFlight.size < this.limitOf(target);
  }

  private logChange(nowMs: number): void {
    const { log } = this.options;
    const isRefused = this.areRefused;
    if (isRefused === (this.loggedSinceMs !== undefined)) return;
    if (isRefused) {
      log.warn({ refusing: this.evidence.refusing.size }, 'targets refuse new connections');
    } else {
      log.info({ forMs: Math.round(nowMs - (this.loggedSinceMs ?? nowMs)) }, 'targets take new connections again');
    }
    this.loggedSinceMs = isRefused ? nowMs : undefined;
  }
}
