import { performance } from 'node:perf_hooks';

import type EntryCounts from '@guavayard/core/objectives/EntryCounts';
import type VmStatus from '@guavayard/core/types/VmStatus';
import type VmIdentity from '@guavayard/vm/session/VmIdentity';
import type ReportSource from '@guavayard/vm/status/ReportSource';

import programVersion from '../programVersion';
import type VmReportProviders from './VmReportProviders';

/** Creates the status and the request counts of this VM from what its roles provide. */
export default class VmReports implements ReportSource {
  private providers: VmReportProviders = {
    version: () => undefined,
    entry: () => undefined,
    control: () => undefined,
    services: () => undefined,
  };

  constructor(private readonly identity: VmIdentity) {}

  /**
   * Registers providers, which replace earlier ones of the same name.
   *
   * @param providers - the providers of one role
   */
  provide(providers: Partial<VmReportProviders>): void {
    this.providers = { ...this.providers, ...providers };
  }

  status(): VmStatus {
    const {
      name, region, dataCentre, roles,
    } = this.identity;
    return {
      vm: name,
      region,
      dataCentre,
      roles,
      program: programVersion,
      uptimeMs: Math.floor(performance.now()),
      memoryBytes: process.memoryUsage.rss(),
      version: this.providers.version(),
      entry: this.providers.entry(),
      control: this.providers.control(),
    };
  }

  counts(): EntryCounts | undefined {
    const services = this.providers.services();
    if (services === undefined) return undefined;
    const { name, dataCentre } = this.identity;
    return {
      entry: name, dataCentre, uptimeMs: Math.floor(performance.now()), services,
    };
  }
}
