import type EntryCounts from '@guavayard/core/objectives/EntryCounts';
import type VmStatus from '@guavayard/core/types/VmStatus';

import type VmMessage from '../messages/VmMessage';
import type SessionHandler from '../session/SessionHandler';
import type VmIdentity from '../session/VmIdentity';
import type VmSession from '../session/VmSession';
import type Gathered from './Gathered';
import PendingQuestion from './PendingQuestion';
import type ReportSource from './ReportSource';

/** Longest wait for the answers, in milliseconds. */
const ANSWER_TIMEOUT_MS = 1000;

/** Asks every VM that has a session with this one, and gathers the answers. */
export default class ReportGatherer implements SessionHandler {
  private readonly sessions = new Map<string, VmSession>();

  private readonly pending = new Map<number, PendingQuestion>();

  private lastQuestion = 0;

  /**
   * @param ownName - name of this VM
   * @param source - what this VM tells about itself
   */
  constructor(private readonly ownName: string, private readonly source: ReportSource) {}

  onOpen(session: VmSession, peer: VmIdentity): void {
    if (peer.name !== this.ownName) this.sessions.set(peer.name, session);
  }

  onMessage(session: VmSession, message: VmMessage): void {
    if (message.kind !== 'status-report' && message.kind !== 'counts-report') return;
    this.pending.get(message.question)?.answer(session.peer?.name ?? '', message);
  }

  onClose(session: VmSession): void {
    const name = session.peer?.name ?? '';
    if (this.sessions.get(name) !== session) return;
    this.sessions.delete(name);
    this.pending.forEach((question) => question.giveUp(name));
  }

  /** @returns the status of every VM, this one included */
  async gatherStatus(): Promise<Gathered<VmStatus>> {
    const { messages, silent } = await this.ask('status-request', () => true);
    const reports = messages
      .flatMap((message) => (message.kind === 'status-report' ? [message.status] : []));
    return { reports: [this.source.status(), ...reports], silent };
  }

  /** @returns what every entry counted, that of this VM included */
  async gatherCounts(): Promise<Gathered<EntryCounts>> {
    const { messages, silent } = await this.ask('counts-request', (peer) => (
      peer.roles.includes('entry')
    ));
    const reports = messages
      .flatMap((message) => (message.kind === 'counts-report' ? [message.counts] : []));
    const own = this.source.counts();
    return { reports: own === undefined ? reports : [own, ...reports], silent };
  }

  private async ask(
    kind: 'status-request' | 'counts-request',
    isAsked: (peer: VmIdentity) => boolean,
  ): Promise<{ messages: readonly VmMessage[]; silent: readonly string[] }> {
    const asked = [...this.sessions.values()]
      .filter((session) => session.peer !== undefined && isAsked(session.peer));
    this.lastQuestion += 1;
    const question = this.lastQuestion;
    const pending = new PendingQuestion(asked.flatMap((session) => session.peer?.name ?? []));
    this.pending.set(question, pending);
    asked.forEach((session) => session.send({ kind, question }));
    const timer = setTimeout(() => pending.end(), ANSWER_TIMEOUT_MS);
    await pending.done;
    clearTimeout(timer);
    this.pending.delete(question);
    return { messages: pending.messages, silent: pending.silent };
  }
}
