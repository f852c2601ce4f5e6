import type Configuration from '../types/Configuration';

/** Time in which the share of a data centre that has returned grows to its full capacity. */
const RAMP_MS = 10_000;
const MIN_SHARE = 0.05;

/** Ramps up the share of a data centre gradually after operators have brought it back. */
export default class DataCentreRamp {
  private configuration: Configuration | undefined;

  private readonly returnedAtMs = new Map<string, number>();

  /**
   * Observes the configuration in force and records data centres that have returned.
   *
   * @param configuration - the configuration
   * @param nowMs - monotonic clock, in milliseconds
   */
  observe(configuration: Configuration, nowMs: number): void {
    const previous = this.configuration;
    if (previous === configuration) return;
    this.configuration = configuration;
    Object.entries(configuration.dataCentres).forEach(([name, { state }]) => {
      if (state === 'out') this.returnedAtMs.delete(name);
      else if (previous?.dataCentres[name]?.state === 'out') this.returnedAtMs.set(name, nowMs);
    });
  }

  /**
   * @param dataCentre - name of a data centre with the state `in`
   * @param nowMs - monotonic clock, in milliseconds
   * @returns the share of its capacity that may be used, up to 1
   */
  shareOf(dataCentre: string, nowMs: number): number {
    const returnedAtMs = this.returnedAtMs.get(dataCentre);
    if (returnedAtMs === undefined) return 1;
    const share = (nowMs - returnedAtMs) / RAMP_MS;
    if (share >= 1) this.returnedAtMs.delete(dataCentre);
    return Math.min(1, Math.max(MIN_SHARE, share));
  }
}
