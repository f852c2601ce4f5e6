import type Random from '@guavayard/core/types/Random';

import type BenchEntry from './BenchEntry';
import type BenchRequest from './BenchRequest';
import type Fleet from './Fleet';
import NoisePhases from './NoisePhases';
import sampleExponential from './sampleExponential';
import sampleLogNormal from './sampleLogNormal';

/** Mean service time without slowdown, in milliseconds. */
const MEAN_WORK_MS = 10;
const WORK_SIGMA = 0.6;
const TIMEOUT_MS = 2000;

/** Open-loop load: Poisson arrivals at the entries of each region. */
export default class Traffic {
  requests = 0;

  /**
   * @param fleet - the targets
   * @param entries - the entries
   * @param load - offered load, as a share of the capacity that slow phases leave
   * @param endMs - time after which no request arrives, in milliseconds
   */
  constructor(
    private readonly fleet: Fleet,
    private readonly entries: readonly BenchEntry[],
    private readonly load: number,
    private readonly endMs: number,
  ) {}

  /** Starts the arrivals of every service in every region. */
  start(): void {
    const { profile } = this.fleet;
    profile.services.forEach((service, serviceIndex) => {
      profile.regions.forEach((region, regionIndex) => {
        const slots = this.fleet.targets
          .filter((target) => target.region === region && target.known.service === service.name)
          .reduce((sum, target) => sum + target.known.slots, 0);
        const ratePerMs = (slots * NoisePhases.MEAN_CAPACITY_SHARE * this.load) / MEAN_WORK_MS;
        const random = this.fleet.createRandom(10 + serviceIndex * 10 + regionIndex);
        const entries = this.entries.filter((entry) => entry.location.region === region);
        this.scheduleNext(random, 1 / ratePerMs, () => {
          const entry = entries[Math.floor(random() * entries.length)] as BenchEntry;
          entry.take(this.createRequest(random, service.name, service.idempotentShare));
        });
      });
    });
  }

  private scheduleNext(random: Random, meanGapMs: number, arrive: () => void): void {
    const { clock } = this.fleet;
    clock.after(sampleExponential(random, meanGapMs), () => {
      if (clock.nowMs > this.endMs) return;
      this.requests += 1;
      arrive();
      this.scheduleNext(random, meanGapMs, arrive);
    });
  }

  private createRequest(
    random: Random,
    serviceName: string,
    idempotentShare: number,
  ): BenchRequest {
    const { nowMs } = this.fleet.clock;
    return {
      serviceName,
      workMs: [
        sampleLogNormal(random, MEAN_WORK_MS, WORK_SIGMA),
        sampleLogNormal(random, MEAN_WORK_MS, WORK_SIGMA),
      ],
      isIdempotent: random() < idempotentShare,
      arrivedAtMs: nowMs,
      deadlineMs: nowMs + TIMEOUT_MS,
    };
  }
}
