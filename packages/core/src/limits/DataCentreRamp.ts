import type Configuration from '../types/Configuration';

/** Time in which the share of a data centre that has come back grows to the whole. */
const RAMP_MS = 10_000;
const SMALLEST_SHARE = 0.05;

/** Lets the share of a data centre grow gradually after operators have brought it back. */
export default class DataCentreRamp {
  private configuration: Configuration | undefined;

  private readonly returnedAtMs = new Map<string, number>();

  /**
   * Takes the configuration in force.
   *
   * @param configuration - the configuration
   * @param nowMs - monotonic clock, in milliseconds
   */
  observe(configuration: Configuration, nowMs: number): void {
    const before = this.configuration;
    if (before === configuration) return;
    this.configuration = configuration;
    Object.entries(configuration.dataCentres).forEach(([name, { state }]) => {
      if (state === 'out') this.returnedAtMs.delete(name);
      else if (before?.dataCentres[name]?.state === 'out') this.returnedAtMs.set(name, nowMs);
    });
  }

  /**
   * @param dataCentre - name of a data centre that is in
   * @param nowMs - monotonic clock, in milliseconds
   * @returns the part of its capacity that may be used, up to 1
   */
  shareOf(dataCentre: string, nowMs: number): number {
    const returnedAtMs = this.returnedAtMs.get(dataCentre);
    if (returnedAtMs === undefined) return 1;
    const share = (nowMs - returnedAtMs) / RAMP_MS;
    if (share >= 1) this.returnedAtMs.delete(dataCentre);
    return Math.min(1, Math.max(SMALLEST_SHARE, share));
  }
}
