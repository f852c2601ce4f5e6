import type EntryCounts from '@guavayard/core/objectives/EntryCounts';
import type VmStatus from '@guavayard/core/types/VmStatus';

import type VmMessage from '../messages/VmMessage';
import type SessionHandler from '../session/SessionHandler';
import PeerTable from '../session/PeerTable';
import type VmIdentity from '../session/VmIdentity';
import type VmSession from '../session/VmSession';
import type GatheredReports from './GatheredReports';
import PendingReports from './PendingReports';
import type ReportSource from './ReportSource';

/** Longest wait for the responses to a request, in milliseconds. */
const RESPONSE_TIMEOUT_MS = 1000;

type RequestKind = 'status-request' | 'counts-request';

interface PendingQuestion {
  readonly kind: RequestKind;
  readonly reports: PendingReports;
}

/** Requests reports from every VM that has a session with this one, and gathers the responses. */
export default class ReportGatherer implements SessionHandler {
  private readonly sessions = new PeerTable();

  private readonly pending = new Map<number, PendingQuestion>();

  private lastQuestion = 0;

  /**
   * @param ownName - name of this VM
   * @param source - provides the reports of this VM
   */
  constructor(private readonly ownName: string, private readonly source: ReportSource) {}

  onOpen(session: VmSession, peer: VmIdentity): void {
    if (peer.name !== this.ownName) this.sessions.add(session, peer);
  }

  onMessage(session: VmSession, message: VmMessage): void {
    if (message.kind !== 'status-report' && message.kind !== 'counts-report') return;
    this.pending.get(message.question)?.reports.addResponse(session.peer?.name ?? '', message);
  }

  onClose(session: VmSession): void {
    const name = session.peer?.name ?? '';
    const isLast = this.sessions.remove(session);
    const next = this.sessions.find(name);
    this.pending.forEach(({ kind, reports }, question) => {
      if (isLast) reports.handleDisconnect(name);
      // The response may have been lost with the session; a second one is ignored.
      else if (reports.isAwaiting(name)) next?.send({ kind, question });
    });
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
    kind: RequestKind,
    isRecipient: (peer: VmIdentity) => boolean,
  ): Promise<{ messages: readonly VmMessage[]; silent: readonly string[] }> {
    const recipients = this.sessions.newest
      .filter((session) => session.peer !== undefined && isRecipient(session.peer));
    this.lastQuestion += 1;
    const question = this.lastQuestion;
    const reports = new PendingReports(recipients.flatMap((session) => session.peer?.name ?? []));
    this.pending.set(question, { kind, reports });
    recipients.forEach((session) => session.send({ kind, question }));
    const timer = setTimeout(() => reports.end(), RESPONSE_TIMEOUT_MS);
    await reports.done;
    clearTimeout(timer);
    this.pending.delete(question);
    return { messages: reports.messages, silent: reports.silent };
  }
}
