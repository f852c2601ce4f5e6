import type AvoidedPeer from './AvoidedPeer';
import avoidPeer from './avoidPeer';

type RefusalReason = Parameters<typeof avoidPeer>[0];

/** Reasons that concern the requests of one service only. */
const SERVICE_REASONS: ReadonlySet<RefusalReason> = new Set(['unreachable', 'busy']);

/** The entries that have not taken a request lately, by name; some of them for one service only. */
export default class AvoidedPeers {
  private readonly general = new Map<string, AvoidedPeer>();

  private readonly byService = new Map<string, Map<string, AvoidedPeer>>();

  /** Records that an entry has not taken a request of a service. */
  record(name: string, service: string, reason: RefusalReason, nowMs: number): void {
    const known = this.byService.get(service) ?? new Map<string, AvoidedPeer>();
    this.byService.set(service, known);
    const avoided = SERVICE_REASONS.has(reason) ? known : this.general;
    avoided.set(name, avoidPeer(reason, nowMs));
  }

  /** Records that an entry has taken a request of a service. */
  forget(name: string, service: string): void {
    this.general.delete(name);
    this.byService.get(service)?.delete(name);
  }

  /** @returns the entries that are avoided for requests of a service */
  list(service: string, nowMs: number): Map<string, AvoidedPeer> {
    const active = [...this.general, ...this.byService.get(service) ?? []]
      .filter(([, { untilMs }]) => untilMs > nowMs)
      .sort(([, a], [, b]) => Number(a.isFirm) - Number(b.isFirm));
    return new Map(active);
  }
}
