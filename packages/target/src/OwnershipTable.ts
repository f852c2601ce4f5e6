import createOwnershipState from '@guavayard/core/ownership/createOwnershipState';
import expireViews from '@guavayard/core/ownership/expireViews';
import findOwner from '@guavayard/core/ownership/findOwner';
import type Member from '@guavayard/core/ownership/Member';
import type OwnershipState from '@guavayard/core/ownership/OwnershipState';
import removeMember from '@guavayard/core/ownership/removeMember';
import updateMembership from '@guavayard/core/ownership/updateMembership';
import type Clock from '@guavayard/core/types/Clock';
import type Configuration from '@guavayard/core/types/Configuration';
import type TargetAnnouncement from '@guavayard/core/types/TargetAnnouncement';

import type TargetOwnership from './TargetOwnership';

/** Assigns targets to owners, based on the membership of the entries. */
export default class OwnershipTable implements TargetOwnership {
  private readonly state: OwnershipState;

  private dataCentres: Configuration['dataCentres'] = {};

  /**
   * @param clock - monotonic clock
   * @param self - name of this entry
   */
  constructor(private readonly clock: Clock, self: string) {
    this.state = createOwnershipState(self);
  }

  epoch(): number {
    expireViews(this.state, this.clock());
    return this.state.epoch;
  }

  ownerOf({ id, dataCentre }: TargetAnnouncement): string | undefined {
    const region = this.dataCentres[dataCentre]?.region;
    return findOwner(this.state, { id, dataCentre, region }, this.clock());
  }

  /**
   * Applies a new membership view.
   *
   * @param members - all entries, including this one
   */
  applyMembership(members: readonly Member[]): void {
    updateMembership(this.state, members, this.clock());
  }

  /**
   * Records that an entry has given up its ownership of targets.
   *
   * @param name - name of the entry
   */
  release(name: string): void {
    removeMember(this.state, name);
  }

  /**
   * Applies the regions of the data centres, which affect who owns a target.
   *
   * @param configuration - the configuration in force
   */
  applyConfiguration(configuration: Configuration): void {
    this.dataCentres = configuration.dataCentres;
    this.state.epoch += 1;
  }
}
