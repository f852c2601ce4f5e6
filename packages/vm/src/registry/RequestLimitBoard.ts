import findTarget from '@guavayard/core/registry/findTarget';
import type RequestLimitNotice from '@guavayard/core/requestLimit/RequestLimitNotice';

import type RegistryStore from './RegistryStore';

/** Notices that are due to be sent. */
interface DueNotices {
  /** All of them, for the entries that follow this control VM. */
  readonly all: readonly RequestLimitNotice[];
  /** Those that did not come from another control VM, for the other control VMs. */
  readonly own: readonly RequestLimitNotice[];
}

/**
 * The request limits of registered targets that entries have reported to a control VM. They are not
 * replicated: a control VM that starts hears of each limit again within seconds.
 */
export default class RequestLimitBoard {
  private readonly current = new Map<string, RequestLimitNotice>();

  private readonly due = new Map<string, { notice: RequestLimitNotice; isRelayed: boolean }>();

  constructor(private readonly store: RegistryStore) {}

  /**
   * Records a notice; one about a target or incarnation that is not registered is ignored, so that
   * the board stays as small as the registry.
   *
   * @param notice - what an entry has learnt
   * @param isRelayed - whether another control VM has relayed it
   */
  record(notice: RequestLimitNotice, isRelayed: boolean): void {
    if (!this.isRegistered(notice)) return;
    if (notice.requestsPerSecond === undefined) this.current.delete(notice.targetId);
    else this.current.set(notice.targetId, notice);
    this.due.set(notice.targetId, { notice, isRelayed });
  }

  /** @returns the notices recorded since the last call, the latest of each target */
  collect(): DueNotices {
    const due = [...this.due.values()];
    this.due.clear();
    return {
      all: due.map(({ notice }) => notice),
      own: due.filter(({ isRelayed }) => !isRelayed).map(({ notice }) => notice),
    };
  }

  /** @returns the limits that hold, for an entry that starts to follow this control VM */
  list(): RequestLimitNotice[] {
    [...this.current.values()].filter((notice) => !this.isRegistered(notice))
      .forEach(({ targetId }) => this.current.delete(targetId));
    return [...this.current.values()];
  }

  private isRegistered({ targetId, bornAtMs }: RequestLimitNotice): boolean {
    return findTarget(this.store.state, targetId)?.bornAtMs === bornAtMs;
  }
}
