import type VmMessage from '../messages/VmMessage';
import type SessionHandler from '../session/SessionHandler';
import type VmSession from '../session/VmSession';
import type ReportSource from './ReportSource';

/** Responds to report requests of control VMs with the status and counts of this VM. */
export default class ReportResponder implements SessionHandler {
  constructor(private readonly source: ReportSource) {}

  onOpen(): void {}

  onMessage(session: VmSession, message: VmMessage): void {
    if (message.kind === 'status-request') {
      const { question } = message;
      session.send({ kind: 'status-report', question, status: this.source.status() });
    }
    if (message.kind === 'counts-request') {
      const counts = this.source.counts();
      const { question } = message;
      if (counts !== undefined) session.send({ kind: 'counts-report', question, counts });
    }
  }

  onClose(): void {}
}
