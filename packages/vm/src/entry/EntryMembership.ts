import type MembershipChange from '../control/MembershipChange';
import type MembershipRevision from '../control/MembershipRevision';
import type VmIdentity from '../session/VmIdentity';

function isSameRevision(
  a: MembershipRevision | undefined,
  b: MembershipRevision | undefined,
): boolean {
  return a?.term === b?.term && a?.count === b?.count;
}

/** An entry's copy of the leader's lease table, which lists the entries of the system. */
export default class EntryMembership {
  /** Revision of this copy, undefined until the first change is applied. */
  revision: MembershipRevision | undefined;

  private members = new Map<string, VmIdentity>();

  /** The entries, sorted by name. */
  get entries(): VmIdentity[] {
    return [...this.members.values()].sort((a, b) => (a.name < b.name ? -1 : 1));
  }

  /**
   * Applies a change. A change that does not fit the current revision is ignored; the next lease
   * grant includes the changes since that revision.
   *
   * @param message - message with the change, if it has any
   * @returns true if the change was applied
   */
  applyChange({ change }: { readonly change?: MembershipChange | undefined }): boolean {
    if (change === undefined || !this.isApplicable(change)) return false;
    this.revision = change.revision;
    if (change.scope === 'whole') this.members.clear();
    change.left.forEach((startId) => this.members.delete(startId));
    change.joined.forEach((entry) => {
      this.removeByName(entry.name);
      this.members.set(entry.startId, entry);
    });
    return true;
  }

  private isApplicable({ scope, base, revision }: MembershipChange): boolean {
    if (scope === 'delta') return isSameRevision(base, this.revision);
    const { term, count } = this.revision ?? { term: -1, count: -1 };
    return revision.term > term || (revision.term === term && revision.count > count);
  }

  /** Removes the earlier start of an entry that has restarted. */
  private removeByName(name: string): void {
    this.members.forEach((entry, startId) => {
      if (entry.name === name) this.members.delete(startId);
    });
  }
}
