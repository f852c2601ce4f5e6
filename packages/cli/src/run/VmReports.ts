import { performance } from 'node:perf_hooks';

import type EntryCounts from '@guavayard/core/objectives/EntryCounts';
import type VmStatus from '@guavayard/core/types/VmStatus';
import type VmIdentity from '@guavayard/vm/session/VmIdentity';
import type ReportSource from '@guavayard/vm/status/ReportSource';

import programVersion from '../programVersion';
import type VmReportParts from './VmReportParts';

/** What this VM tells about itself. Each role provides its own parts when it starts. */
export default class VmReports implements ReportSource {
  private parts: VmReportParts = {
    version: () => undefined,
    entry: () => undefined,
    control: () => undefined,
    services: () => undefined,
  };

  constructor(private readonly identity: VmIdentity) {}

  /**
   * Provides parts in place of earlier ones.
   *
   * @param parts - the parts
   */
  provide(parts: Partial<VmReportParts>): void {
    this.parts = { ...this.parts, ...parts };
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
      version: this.parts.version(),
      entry: this.parts.entry(),
      control: this.parts.control(),
    };
  }

  counts(): EntryCounts | undefined {
    const services = this.parts.services();
    if (services === undefined) return undefined;
    const { name, dataCentre } = this.identity;
    return {
      entry: name, dataCentre, uptimeMs: Math.floor(performance.now()), services,
    };
  }
}
