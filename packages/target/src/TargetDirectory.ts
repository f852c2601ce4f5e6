import type KnownTarget from '@guavayard/core/types/KnownTarget';
import type TargetAnnouncement from '@guavayard/core/types/TargetAnnouncement';

interface Entry {
  readonly announcement: TargetAnnouncement;
  readonly expiresAtMs: number;
}

/** The targets that have announced themselves and whose time to live has not run out. */
export default class TargetDirectory {
  private readonly entries = new Map<string, Entry>();

  private byService = new Map<string, KnownTarget[]>();

  /**
   * @param now - monotonic clock, in milliseconds
   */
  constructor(private readonly now: () => number) {}

  /**
   * Takes an announcement in place of the target's earlier one.
   *
   * @param announcement - the announcement
   */
  announce(announcement: TargetAnnouncement): void {
    const expiresAtMs = this.now() + announcement.timeToLiveMs;
    this.entries.set(announcement.id, { announcement, expiresAtMs });
    this.byService.clear();
  }

  /**
   * Forgets a target.
   *
   * @param id - the target
   */
  remove(id: string): void {
    this.entries.delete(id);
    this.byService.clear();
  }

  /** Forgets the targets whose time to live has run out. */
  expire(): void {
    const nowMs = this.now();
    this.entries.forEach((entry, id) => {
      if (entry.expiresAtMs <= nowMs) this.remove(id);
    });
  }

  /**
   * @param service - service name
   * @returns the targets of the service, sorted by id
   */
  targetsOf(service: string): readonly KnownTarget[] {
    const known = this.byService.get(service);
    if (known !== undefined) return known;
    const targets = this.all().filter((target) => target.service === service);
    this.byService.set(service, targets);
    return targets;
  }

  /** @returns all targets, sorted by id */
  all(): readonly KnownTarget[] {
    return [...this.entries.values()]
      .map((entry) => ({ ...entry.announcement, owner: undefined }))
      .sort((left, right) => (left.id < right.id ? -1 : 1));
  }
}
