import type ConsensusTask from '../control/ConsensusTask';
import type VmMessage from '../messages/VmMessage';
import type SessionHandler from '../session/SessionHandler';
import type VmHub from '../session/VmHub';
import type VmSession from '../session/VmSession';
import CURRENCY_VERSION from './currencyVersion';

/** Longest wait until this VM is confirmed; entries ask again. In milliseconds. */
const CONFIRM_TIMEOUT_MS = 600;
/** Pause before the next confirmation while no leader is known, in milliseconds. */
const NO_LEADER_PAUSE_MS = 100;
/**
 * Pause between confirmations that read the whole declaration, in milliseconds: a leader of an
 * older build answers nothing less.
 */
const OLDER_LEADER_PAUSE_MS = 1000;

interface Question {
  readonly session: VmSession;
  readonly number: number;
}

interface CurrencyTaskOptions {
  readonly hub: VmHub;
  readonly consensus: Pick<ConsensusTask, 'isLeader' | 'leaderName' | 'awaitReadPoint'>;
  /** Returns the index up to which this replica has applied the log. */
  readonly appliedIndex: () => number;
  /** Sends the changes that subscribers have not got yet. */
  readonly flush: () => void;
  /** Returns whether the leader has the same declaration in force as this replica. */
  readonly isSameDeclaration: () => Promise<boolean>;
}

/**
 * Answers entries whether they hold everything that was acknowledged before they asked. Hearing the
 * leader is not enough: its messages may have lain in a buffer, or it may have been replaced. So
 * each answer rests on a read point of the leader, taken after the question has arrived.
 */
export default class CurrencyTask implements SessionHandler {
  /** Questions for the next confirmation. */
  private questions: Question[] = [];

  private isConfirming = false;

  /** Called with the index of the read point, by the number of the question to the leader. */
  private readonly readPoints = new Map<number, (index: number) => void>();

  private lastReadPoint = 0;

  private readonly applyWaiters = new Set<() => void>();

  constructor(private readonly options: CurrencyTaskOptions) {}

  onOpen(): void {}

  onMessage(session: VmSession, message: VmMessage): void {
    if (message.kind === 'currencyAsk') {
      this.questions.push({ session, number: message.number });
      this.startConfirming();
    }
    if (message.kind === 'readPointAsk') this.answerReadPoint(session, message.number);
    if (message.kind === 'readPoint') this.readPoints.get(message.number)?.(message.index);
  }

  onClose(session: VmSession): void {
    this.questions = this.questions.filter((question) => question.session !== session);
  }

  /** Continues what waits until this replica has applied more of the log. */
  handleApplied(): void {
    this.applyWaiters.forEach((check) => check());
  }

  private startConfirming(): void {
    if (this.isConfirming || this.questions.length === 0) return;
    this.isConfirming = true;
    // What arrives from now on waits for the next read point.
    const questions = this.questions.splice(0);
    this.confirm().then((isConfirmed) => {
      if (isConfirmed) this.answer(questions);
    }, () => undefined).finally(() => {
      this.isConfirming = false;
      this.startConfirming();
    });
  }

  private answer(questions: readonly Question[]): void {
    // The answer must follow the changes that it speaks of, on the same session.
    this.options.flush();
    questions.forEach(({ session, number }) => session.send({ kind: 'currencyAnswer', number }));
  }

  /** @returns whether this replica has applied all that was committed before the call */
  private async confirm(): Promise<boolean> {
    const { consensus, hub, isSameDeclaration } = this.options;
    if (consensus.isLeader) {
      return CurrencyTask.limit((resolve) => {
        consensus.awaitReadPoint().then(resolve, () => resolve(false));
      });
    }
    const { leaderName } = consensus;
    if (leaderName === undefined) return CurrencyTask.pause(NO_LEADER_PAUSE_MS);
    if (hub.protocolVersionOf(leaderName) >= CURRENCY_VERSION) return this.askLeader(leaderName);
    const isSame = await isSameDeclaration();
    await CurrencyTask.pause(OLDER_LEADER_PAUSE_MS);
    return isSame;
  }

  private async askLeader(leaderName: string): Promise<boolean> {
    const { hub, appliedIndex } = this.options;
    this.lastReadPoint += 1;
    const number = this.lastReadPoint;
    let check: (() => void) | undefined;
    const isConfirmed = await CurrencyTask.limit((resolve) => {
      this.readPoints.set(number, (index) => {
        check = () => {
          if (appliedIndex() >= index) resolve(true);
        };
        this.applyWaiters.add(check);
        check();
      });
      if (!hub.send(leaderName, { kind: 'readPointAsk', number })) resolve(false);
    });
    this.readPoints.delete(number);
    if (check !== undefined) this.applyWaiters.delete(check);
    return isConfirmed;
  }

  private answerReadPoint(session: VmSession, number: number): void {
    const { consensus, appliedIndex } = this.options;
    if (!consensus.isLeader) return;
    consensus.awaitReadPoint().then((isReady) => {
      if (isReady) session.send({ kind: 'readPoint', number, index: appliedIndex() });
    }, () => undefined);
  }

  /** Waits for a result, for a limited time. */
  private static async limit(
    start: (resolve: (isConfirmed: boolean) => void) => void,
  ): Promise<boolean> {
    return new Promise((resolve) => {
      const timer = setTimeout(() => resolve(false), CONFIRM_TIMEOUT_MS);
      start((isConfirmed) => {
        clearTimeout(timer);
        resolve(isConfirmed);
      });
    });
  }

  private static async pause(ms: number): Promise<false> {
    return new Promise((resolve) => {
      setTimeout(() => resolve(false), ms);
    });
  }
}
