import type Clock from '@guavayard/core/types/Clock';

/** Time after the start in which requests wait for the first declaration, in milliseconds. */
const START_MS = 3000;
/** Longest wait of a request; control elects a leader within about this time, in milliseconds. */
const MAX_WAIT_MS = 600;

interface Held {
  readonly run: () => void;
  readonly timer: NodeJS.Timeout;
}

/**
 * Holds requests back while the entry has just started and knows no declaration yet.
 *
 * Load pattern: many VMs start at once after a loss of power. The callers' next attempts come
 * while control still elects its leader; refused, they would use up their retries meanwhile.
 */
export default class StartGate {
  private readonly startedAtMs: number;

  private readonly held = new Set<Held>();

  constructor(private readonly clock: Clock) {
    this.startedAtMs = clock();
  }

  /** Whether a request may wait for the declaration. */
  get isStarting(): boolean {
    return this.clock() - this.startedAtMs < START_MS;
  }

  /**
   * Holds a request back until the gate opens, or for as long as it may wait.
   *
   * @param run - goes on with the request
   */
  hold(run: () => void): void {
    const held: Held = {
      run,
      timer: setTimeout(() => {
        this.held.delete(held);
        run();
      }, MAX_WAIT_MS),
    };
    this.held.add(held);
  }

  /** Goes on with all requests: a declaration is known. */
  open(): void {
    const all = [...this.held];
    this.held.clear();
    all.forEach(({ run, timer }) => {
      clearTimeout(timer);
      run();
    });
  }
}
