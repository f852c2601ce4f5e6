import { performance } from 'node:perf_hooks';

import announce from '@guavayard/emulator/announce';
import EmulatedTarget from '@guavayard/emulator/EmulatedTarget';

import type RunRecord from './RunRecord';

const SLOTS = 4;
const SERVICE_TIME_MS = 8;
const TIME_TO_LIVE_MS = 3000;
const HEARTBEAT_MS = 500;
const CONNECTION_LIMIT = 260;

/** A target that announces itself and can crash; each restart has a new start id. */
export default class SoakTarget {
  private target: EmulatedTarget | undefined;

  private heartbeat: NodeJS.Timeout | undefined;

  private starts = 0;

  private address = '';

  /**
   * @param id - id of the target
   * @param dataCentre - data centre of the target
   * @param entryAddress - returns the address of an entry that accepts announcements, if any
   * @param onRun - called on each run of a request
   */
  constructor(
    private readonly id: string,
    private readonly dataCentre: string,
    private readonly entryAddress: () => string | undefined,
    private readonly onRun: (run: RunRecord) => void,
  ) {}

  /** Starts the target with a new start id. */
  async start(): Promise<void> {
    const target = new EmulatedTarget(this.id, {
      slots: SLOTS, serviceTimeMs: SERVICE_TIME_MS, queueLimit: SLOTS,
    });
    this.starts += 1;
    target.onRun = (req) => this.onRun({
      requestId: String(req.headers['guavayard-request-id']),
      key: req.headers['idempotency-key'] as string | undefined,
      targetId: this.id,
      dataCentre: this.dataCentre,
      atMs: performance.now(),
    });
    this.address = await target.listen();
    this.target = target;
    this.announce();
    this.heartbeat = setInterval(() => this.announce(), HEARTBEAT_MS);
  }

  /** Crashes the target: closes its connections without notifying any entry. */
  crash(): void {
    clearInterval(this.heartbeat);
    this.target?.crash();
    this.target = undefined;
  }

  private announce(): void {
    const entryAddress = this.entryAddress();
    if (entryAddress === undefined) return;
    announce(entryAddress, {
      id: this.id,
      service: 'ledger',
      dataCentre: this.dataCentre,
      address: this.address,
      slots: SLOTS,
      connectionLimit: CONNECTION_LIMIT,
      startId: `start-${this.starts}`,
      state: 'ready',
      timeToLiveMs: TIME_TO_LIVE_MS,
    }).catch(() => undefined);
  }
}
