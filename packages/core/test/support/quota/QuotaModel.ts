import type QuotaRule from '@guavayard/core/quota/QuotaRule';
import type TenantLimit from '@guavayard/core/quota/TenantLimit';
import type Random from '@guavayard/core/types/Random';

import createRandom from '../createRandom';
import ModelQuotaControl from './ModelQuotaControl';
import ModelQuotaEntry from './ModelQuotaEntry';
import ModelSession from './ModelSession';
import VirtualTime from './VirtualTime';

const MS_PER_SECOND = 1000;

interface Traffic {
  readonly tenant: TenantLimit;
  /** Requests per second at a time. */
  readonly ratePerSecond: (nowMs: number) => number;
  /** Requests that arrive together. */
  readonly batch?: number;
}

interface QuotaModelOptions {
  readonly seed: number;
  readonly traffic: readonly Traffic[];
  readonly rule: QuotaRule;
  readonly entries?: number;
  readonly controls?: number;
}

interface TenantResult {
  /** Times at which requests were admitted, in milliseconds. */
  readonly admittedAtMs: number[];
  /** Times at which requests were refused by a share that control published. */
  readonly refusedAtMs: number[];
  /** Times at which requests were refused by entries without control. */
  readonly refusedAlone: number[];
}

/** Entries, control VMs and callers of tenants on a virtual clock. */
export default class QuotaModel {
  readonly time = new VirtualTime();

  readonly random: Random;

  readonly controls: ModelQuotaControl[];

  readonly entries: ModelQuotaEntry[];

  /** Tenants in force; replaced to change rates. */
  tenants: readonly TenantLimit[];

  private readonly results = new Map<string, TenantResult>();

  constructor({
    seed, traffic, rule, entries = 132, controls = 5,
  }: QuotaModelOptions) {
    const { time } = this;
    this.random = createRandom(seed);
    this.tenants = traffic.map(({ tenant }) => tenant);
    this.controls = Array.from({ length: controls }, (_, index) => new ModelQuotaControl({
      name: `control-${index}`, time, rule, tenants: () => this.tenants,
    }));
    this.controls.forEach((control, index) => {
      this.controls.slice(0, index).forEach((peer) => this.connect(control, peer));
    });
    this.entries = Array.from({ length: entries }, (_, index) => {
      const nearest = index % controls;
      return new ModelQuotaEntry({
        index,
        count: entries,
        time,
        rule,
        random: this.random,
        controls: [...this.controls.slice(nearest), ...this.controls.slice(0, nearest)],
        delayMs: () => this.delayMs(),
        onAdmitted: (name) => this.result(name).admittedAtMs.push(time.nowMs),
        onRefused: (name, basis) => {
          const { refusedAtMs, refusedAlone } = this.result(name);
          (basis.startsWith('share') ? refusedAtMs : refusedAlone).push(time.nowMs);
        },
      });
    });
    traffic.forEach((source) => this.startTraffic(source));
  }

  /** Returns one of the control VMs. */
  pickControl(): ModelQuotaControl {
    const index = Math.floor(this.random() * this.controls.length);
    return this.controls[index] as ModelQuotaControl;
  }

  /** Ends a control VM and starts it again after a time, without what it knew. */
  restartControl(control: ModelQuotaControl, downMs: number): void {
    if (!control.isUp) return;
    control.kill();
    this.time.after(downMs, () => {
      control.restart();
      this.controls.filter((peer) => peer !== control && peer.isUp)
        .forEach((peer) => this.connect(control, peer));
    });
  }

  /** Freezes a control VM; sessions end after two seconds of silence and open again afterwards. */
  freezeControl(control: ModelQuotaControl, forMs: number): void {
    const state = control;
    state.frozenUntilMs = this.time.nowMs + forMs;
    if (forMs <= 2 * MS_PER_SECOND) return;
    this.time.after(forMs + 2 * this.delayMs(), () => {
      [...control.peers.keys()].forEach((peer) => this.connect(control, peer));
    });
  }

  result(name: string): TenantResult {
    const known = this.results.get(name);
    if (known !== undefined) return known;
    const result = { admittedAtMs: [], refusedAtMs: [], refusedAlone: [] };
    this.results.set(name, result);
    return result;
  }

  /** Returns the most requests of a tenant that were admitted in any window. */
  countWorstWindow(name: string, windowMs: number): number {
    const { admittedAtMs } = this.result(name);
    let start = 0;
    return admittedAtMs.reduce((worst, atMs, index) => {
      while ((admittedAtMs[start] ?? atMs) <= atMs - windowMs) start += 1;
      return Math.max(worst, index - start + 1);
    }, 0);
  }

  private delayMs(): number {
    return 1 + this.random() * 29;
  }

  private connect(control: ModelQuotaControl, peer: ModelQuotaControl): void {
    control.peers.get(peer)?.session.close();
    const session = new ModelSession({
      time: this.time,
      delayMs: () => this.delayMs(),
      isBlocked: (direction) => (direction === 0 ? peer : control).isFrozen,
    });
    control.peers.set(peer, { session, direction: 0 });
    peer.peers.set(control, { session, direction: 1 });
    control.sendState(peer);
    peer.sendState(control);
  }

  /** Lets requests arrive by a Poisson process, in each millisecond. */
  private startTraffic(source: Traffic): void {
    const { batch = 1, tenant, ratePerSecond } = source;
    const none = Math.exp(-ratePerSecond(this.time.nowMs) / MS_PER_SECOND / batch);
    for (let left = this.random(); left > none; left *= this.random()) {
      for (let sent = 0; sent < batch; sent += 1) {
        this.entries[Math.floor(this.random() * this.entries.length)]?.request(tenant);
      }
    }
    this.time.after(1, () => this.startTraffic(source));
  }
}
