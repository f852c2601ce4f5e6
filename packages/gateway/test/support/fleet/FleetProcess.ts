import type FleetClock from './FleetClock';
import type FleetConnection from './FleetConnection';

const NOT_RUN_STATUS = 503;
const MISDIRECTED_STATUS = 421;
const MAX_WAITING = 4;

interface FleetResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
}

/** How the processes of a target behave. */
interface ProcessOptions {
  readonly id: string;
  readonly address: string;
  readonly slots: number;
  /** Duration of a request, in milliseconds. */
  readonly workMs: number;
  /** Time for which it is cold from its start, in milliseconds. */
  readonly coldMs: number;
  /** Whether it closes each connection after a response. */
  readonly closesConnections: boolean;
  /** Whether it closes the connections of requests that it cannot queue. */
  readonly resetsWhenFull: boolean;
}

interface ReceivedRequest {
  readonly requestId: string;
  readonly expectedId: string;
}

/** A process of a target; records when requests arrive at it. */
export default class FleetProcess {
  /** Arrivals of requests while it was cold, in milliseconds. */
  readonly coldArrivalsAtMs: number[] = [];

  /** Arrivals of requests, probes excluded, in milliseconds. */
  readonly arrivalsAtMs: number[] = [];

  /** Tells of each request that arrives while it is cold, for traces. */
  readonly coldTrace: string[] = [];

  readonly connections = new Set<FleetConnection>();

  isListening = true;

  warmAtMs: number;

  readonly bornAtMs: number;

  private isEnded = false;

  private running = 0;

  private readonly waiting: (() => void)[] = [];

  constructor(readonly options: ProcessOptions, private readonly clock: FleetClock) {
    this.bornAtMs = Math.floor(clock.nowMs);
    this.warmAtMs = clock.nowMs + options.coldMs;
  }

  get coldLeftMs(): number {
    return Math.max(0, this.warmAtMs - this.clock.nowMs);
  }

  /** Ends the process with all its connections. */
  end(): void {
    this.isListening = false;
    this.isEnded = true;
    this.connections.forEach(({ onClosed }) => onClosed());
    this.connections.clear();
  }

  /** Responds to a probe. */
  probe(): FleetResponse {
    return {
      status: 200,
      headers: {
        target: this.options.id, cold: String(Math.floor(this.coldLeftMs)), ...this.describe(),
      },
    };
  }

  /**
   * Takes a request that has arrived.
   *
   * @param request - the request
   * @param trace - what the entry knew when it sent the request
   * @param respond - called with the response, undefined for a reset; never once the process ends
   */
  receive(
    { requestId, expectedId }: ReceivedRequest,
    trace: string,
    respond: (response: FleetResponse | undefined) => void,
  ): void {
    const { id, slots, resetsWhenFull } = this.options;
    const refuse = (status: number): void => respond({
      status,
      headers: {
        id: requestId, 'not-run': '1', 'content-length': '0', ...this.describe(),
      },
    });
    if (expectedId !== id) {
      refuse(MISDIRECTED_STATUS);
      return;
    }
    this.arrivalsAtMs.push(this.clock.nowMs);
    if (this.coldLeftMs > 0) {
      this.coldArrivalsAtMs.push(this.clock.nowMs);
      this.coldTrace.push(`${(this.clock.nowMs - this.bornAtMs).toFixed(1)} ms ${trace}`);
    }
    const run = (): void => this.run(requestId, respond);
    if (this.running < slots) run();
    else if (this.waiting.length < MAX_WAITING) this.waiting.push(run);
    else if (resetsWhenFull) respond(undefined);
    else refuse(NOT_RUN_STATUS);
  }

  private run(requestId: string, respond: (response: FleetResponse) => void): void {
    this.running += 1;
    this.clock.after(this.options.workMs, () => {
      this.running -= 1;
      if (this.isEnded) return;
      respond({
        status: 200,
        headers: {
          id: requestId, signed: 'yes', 'content-length': '6', ...this.describe(),
        },
      });
      this.waiting.shift()?.();
    });
  }

  private describe(): Record<string, string> {
    const { slots, closesConnections } = this.options;
    return {
      load: JSON.stringify({
        running: this.running, waiting: this.waiting.length, slots, slowness: 1,
      }),
      ...(closesConnections ? { connection: 'close' } : {}),
    };
  }
}
