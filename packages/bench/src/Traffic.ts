import type Random from '@guavayard/core/types/Random';

import type BenchEntry from './BenchEntry';
import type BenchRequest from './BenchRequest';
import type Fleet from './Fleet';
import NoisePhases from './NoisePhases';
import sampleExponential from './sampleExponential';
import sampleLogNormal from './sampleLogNormal';

/** Mean time that a request takes on a quick target, in milliseconds. */
const MEAN_WORK_MS = 10;
const WORK_SIGMA = 0.6;
const TIMEOUT_MS = 2000;

/** Callers' requests: independent arrivals at the entries of each region. */
export default class Traffic {
  requests = 0;

  /**
   * @param fleet - the targets
   * @param entries - the entries
   * @param load - part of the capacity, slow phases taken off, that is asked for
   * @param endMs - no request arrives after this moment
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
        const ratePerMs = (slots * NoisePhases.CAPACITY * this.load) / MEAN_WORK_MS;
        const random = this.fleet.createRandom(10 + serviceIndex * 10 + regionIndex);
        const entries = this.entries.filter((entry) => entry.place.region === region);
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
