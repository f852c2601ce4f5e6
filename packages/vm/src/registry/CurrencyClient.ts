import CurrencyProof from '@guavayard/core/revocation/CurrencyProof';
import type Clock from '@guavayard/core/types/Clock';

import type VmSession from '../session/VmSession';
import understandsTenants from './understandsTenants';

/**
 * Interval at which an entry asks, in milliseconds. With a read point, which takes a heartbeat of
 * the control group (200 ms) and two ways, the last proof is at most about 0.8 s old.
 */
const ASK_INTERVAL_MS = 500;

/** Keeps the proof that an entry holds the declaration in force, through the VM that it follows. */
export default class CurrencyClient {
  private readonly proof: CurrencyProof;

  private timer: NodeJS.Timeout | undefined;

  /**
   * @param boundMs - time after which a revoked key must not work, in milliseconds
   * @param clock - monotonic clock that counts the time for which the VM was suspended
   */
  constructor(boundMs: number, private readonly clock: Clock) {
    this.proof = new CurrencyProof(boundMs);
  }

  /** Whether what the entry holds is recent enough to decide about keys. */
  get isProven(): boolean {
    return this.proof.isProven(this.clock());
  }

  /**
   * Starts to ask a control VM. One of an older build is not asked, as it would close the session.
   *
   * @param session - session with the control VM that the entry follows from now on
   */
  follow(session: VmSession): void {
    this.stop();
    if (understandsTenants(session)) this.ask(session);
  }

  /** Records an answer of the control VM that is followed. */
  handleAnswer(number: number): void {
    this.proof.confirm(number);
  }

  /** Stops asking. */
  stop(): void {
    clearTimeout(this.timer);
    this.proof.forgetQuestions();
  }

  private ask(session: VmSession): void {
    session.send({ kind: 'currencyAsk', number: this.proof.ask(this.clock()) });
    this.timer = setTimeout(() => this.ask(session), ASK_INTERVAL_MS);
  }
}
