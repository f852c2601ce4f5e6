import type FleetClock from './FleetClock';

interface HeldEvent {
  readonly kind: 'timer' | 'network';
  readonly run: () => void;
}

/** The process of an entry, which runs its events, or holds them back while it stands still. */
export default class FleetActor {
  private stalledUntilMs = -Infinity;

  private held: HeldEvent[] = [];

  constructor(private readonly clock: FleetClock) {}

  /** Runs an event, or keeps it until the process runs again. */
  deliver(kind: HeldEvent['kind'], run: () => void): void {
    if (this.held.length > 0 || this.clock.nowMs < this.stalledUntilMs) {
      this.held.push({ kind, run });
    } else {
      this.clock.enter(this, run);
    }
  }

  /** Lets the process stand still; afterwards its timers run before network events. */
  stall(ms: number): void {
    this.stalledUntilMs = Math.max(this.stalledUntilMs, this.clock.nowMs + ms);
    this.clock.after(ms, () => this.release());
  }

  private release(): void {
    if (this.clock.nowMs < this.stalledUntilMs) return;
    const { held } = this;
    this.held = [];
    [...held.filter(({ kind }) => kind === 'timer'), ...held.filter(({ kind }) => kind === 'network')]
      .forEach(({ run }) => this.clock.enter(this, run));
  }
}
