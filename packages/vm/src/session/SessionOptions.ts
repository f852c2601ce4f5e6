import type { Socket } from 'node:net';

import type ByteBudget from '@guavayard/core/limits/ByteBudget';

import type SessionTiming from './SessionTiming';
import type VmIdentity from './VmIdentity';

/** Options of a session. */
interface SessionOptions {
  readonly timing?: SessionTiming;
  /** Bounds the incomplete frames of all sessions of the VM. */
  readonly budget?: ByteBudget;
  /**
   * Checks whether the connection may carry a session with this peer.
   *
   * @returns why it may not, undefined if it may
   */
  readonly checkPeer?: (socket: Socket, peer: VmIdentity) => string | undefined;
}

export default SessionOptions;
