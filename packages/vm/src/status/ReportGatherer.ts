import type EntryCounts from '@guavayard/core/objectives/EntryCounts';
import type VmStatus from '@guavayard/core/types/VmStatus';

import type VmMessage from '../messages/VmMessage';
import type SessionHandler from '../session/SessionHandler';
import type VmIdentity from '../session/VmIdentity';
import type VmSession from '../session/VmSession';
import type GatheredReports from './GatheredReports';
import PendingReports from './PendingReports';
import type ReportSource from './ReportSource';

/** Longest wait for the responses to a request, in milliseconds. */
const RESPONSE_TIMEOUT_MS = 1000;

/** Requests reports from every VM that has a session with this one, and gathers the responses. */
export default class ReportGatherer implements SessionHandler {
  private readonly sessions = new Map<string, VmSession>();

  private readonly pending = new Map<number, PendingReports>();

  private lastQuestion = 0;

  /**
   * @param ownName - name of this VM
   * @param source - provides the reports of this VM
   */
  constructor(private readonly ownName: string, private readonly source: ReportSource) {}

  onOpen(session: VmSession, peer: VmIdentity): void {
    if (peer.name !== this.ownName) this.sessions.set(peer.name, session);
  }

  onMessage(session: VmSession, message: VmMessage): void {
    if (message.kind !== 'status-report' && message.kind !== 'counts-report') return;
    this.pending.get(message.question)?.addResponse(session.peer?.name ?? '', message);
  }

  onClose(session: VmSession): void {
    const name = session.peer?.name ?? '';
    if (this.sessions.get(name) !== session) return;
    this.sessions.delete(name);
    this.pending.forEach((reports) => reports.handleDisconnect(name));
  }

  /** @returns the status of every VM that responds in time, including this one */
  async gatherStatus(): Promise<GatheredReports<VmStatus>> {
    const { messages, silent } = await this.requestReports('status-request', () => true);
    const reports = messages
      .flatMap((message) => (message.kind === 'status-report' ? [message.status] : []));
    return { reports: [this.source.status(), ...reports], silent };
  }

  /** @returns the counts of every entry that responds in time, including this VM */
  async gatherCounts(): Promise<GatheredReports<EntryCounts>> {
    const { messages, silent } = await this.requestReports('counts-request', (peer) => (
      peer.roles.includes('entry')
    ));
    const reports = messages
      .flatMap((message) => (message.kind === 'counts-report' ? [message.counts] : []));
    const own = this.source.counts();
    return { reports: own === undefined ? reports : [own, ...reports], silent };
  }

  private async requestReports(
    kind: 'status-request' | 'counts-request',
    isRecipient: (peer: VmIdentity) => boolean,
  ): Promise<{ messages: readonly VmMessage[]; silent: readonly string[] }> {
    const recipients = [...this.sessions.values()]
      .filter((session) => session.peer !== undefined && isRecipient(session.peer));
    this.lastQuestion += 1;
    const question = this.lastQuestion;
    const pending = new PendingReports(recipients.flatMap((session) => session.peer?.name ?? []));
    this.pending.set(question, pending);
    recipients.forEach((session) => session.send({ kind, question }));
    const timer = setTimeout(() => pending.end(), RESPONSE_TIMEOUT_MS);
    await pending.done;
    clearTimeout(timer);
    this.pending.delete(question);
    return { messages: pending.messages, silent: pending.silent };
  }
}
