import type MembershipChange from '../control/MembershipChange';
import type MembershipRevision from '../control/MembershipRevision';
import type VmIdentity from '../session/VmIdentity';

function isSame(a: MembershipRevision | undefined, b: MembershipRevision | undefined): boolean {
  return a?.term === b?.term && a?.count === b?.count;
}

/** The leader's table of entries, as an entry has been told of it. */
export default class EntryMembership {
  /** The latest state of the table that is known, undefined until the first one. */
  revision: MembershipRevision | undefined;

  private members = new Map<string, VmIdentity>();

  /** The entries, in the order of their names. */
  get entries(): VmIdentity[] {
    return [...this.members.values()].sort((a, b) => (a.name < b.name ? -1 : 1));
  }

  /**
   * Takes a change. One that does not follow what is known is left: the next renewal mends it.
   *
   * @param message - the change, if there is any
   * @returns true if it was taken
   */
  take({ change }: { readonly change?: MembershipChange | undefined }): boolean {
    if (change === undefined || !this.isNext(change)) return false;
    this.revision = change.revision;
    if (change.scope === 'whole') this.members.clear();
    change.left.forEach((startId) => this.members.delete(startId));
    change.joined.forEach((entry) => {
      this.forget(entry.name);
      this.members.set(entry.startId, entry);
    });
    return true;
  }

  private isNext({ scope, base, revision }: MembershipChange): boolean {
    if (scope === 'delta') return isSame(base, this.revision);
    const { term, count } = this.revision ?? { term: -1, count: -1 };
    return revision.term > term || (revision.term === term && revision.count > count);
  }

  /** Drops the earlier start of an entry that has started again. */
  private forget(name: string): void {
    this.members.forEach((entry, startId) => {
      if (entry.name === name) this.members.delete(startId);
    });
  }
}
