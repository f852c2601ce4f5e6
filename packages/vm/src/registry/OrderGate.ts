import findChangeSubject from '@guavayard/core/registry/findChangeSubject';
import isOvertaken from '@guavayard/core/registry/isOvertaken';
import type RegistryChange from '@guavayard/core/registry/RegistryChange';

import type RegistryStore from './RegistryStore';

/**
 * Carries out changes without a version of their own on the leader, one at a time for each data
 * centre and target, so that each is compared with all that were proposed before it.
 */
export default class OrderGate {
  /** The last change in progress, by what it is about. */
  private readonly pending = new Map<string, Promise<unknown>>();

  constructor(private readonly store: Pick<RegistryStore, 'state' | 'changedAtIndex'>) {}

  /**
   * Proposes a change unless it would undo a later one.
   *
   * @param change - the change
   * @param basis - index up to which the log was known to the VM that received the call
   * @param propose - proposes the change; returns whether it was committed and applied
   * @returns what became of it
   */
  async run(
    change: RegistryChange,
    basis: number,
    propose: () => Promise<boolean>,
  ): Promise<'committed' | 'overtaken' | 'unknown'> {
    const subject = findChangeSubject(change);
    if (subject === undefined) return await propose() ? 'committed' : 'unknown';
    const earlier = this.pending.get(subject);
    const current = (async () => {
      await earlier;
      const { store } = this;
      if (isOvertaken(store.state, change, store.changedAtIndex(subject), basis)) return 'overtaken';
      return await propose() ? 'committed' : 'unknown';
    })();
    this.pending.set(subject, current);
    try {
      return await current;
    } finally {
      if (this.pending.get(subject) === current) this.pending.delete(subject);
    }
  }
}
