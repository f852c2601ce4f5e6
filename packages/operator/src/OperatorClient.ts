import { Err, Ok, type Result } from 'ts-results';
import { request } from 'undici';
import * as z from 'zod';

import ConfigurationEnforcement from '@guavayard/core/configuration/ConfigurationEnforcement';
import PatchOutcome from '@guavayard/core/configuration/PatchOutcome';
import BurnReport from '@guavayard/core/objectives/BurnReport';
import type ConfigurationPatch from '@guavayard/core/types/ConfigurationPatch';
import VersionedConfiguration from '@guavayard/core/types/VersionedConfiguration';

import SystemStatus from './SystemStatus';
import VmOverview from './VmOverview';

const FIRST_ERROR_STATUS = 400;

const PatchAccepted = z.object({ version: z.int() });
const FailureMessage = z.object({ message: z.string() });

/** HTTP client of the operators' API. */
export default class OperatorClient {
  /**
   * @param url - base URL of a control VM's operator listener
   * @param token - bearer token of the operators
   */
  constructor(private readonly url: string, private readonly token: string) {}

  /**
   * Submits a patch.
   *
   * @param patch - the patch
   * @returns the version that it created, or the error message
   */
  async submit(patch: ConfigurationPatch): Promise<Result<number, string>> {
    const result = await this.send('POST', '/v1/patches', PatchAccepted, patch);
    return result.map((accepted) => accepted.version);
  }

  /** @returns the latest configuration, or the error message */
  async configuration(): Promise<Result<VersionedConfiguration, string>> {
    return this.send('GET', '/v1/configuration', VersionedConfiguration);
  }

  /**
   * Returns the outcome of a patch.
   *
   * @param id - id of the patch
   * @param base - configuration version that it is based on
   * @returns its outcome, or the error message
   */
  async outcome(id: string, base: number): Promise<Result<PatchOutcome, string>> {
    const query = new URLSearchParams({ id, base: String(base) });
    return this.send('GET', `/v1/outcomes?${query.toString()}`, PatchOutcome);
  }

  /** @returns which version is in force, or the error message */
  async enforcement(): Promise<Result<ConfigurationEnforcement, string>> {
    return this.send('GET', '/v1/enforcement', ConfigurationEnforcement);
  }

  /** @returns the status of the system, or the error message */
  async status(): Promise<Result<SystemStatus, string>> {
    return this.send('GET', '/v1/status', SystemStatus);
  }

  /** @returns the status of every VM, or the error message */
  async vms(): Promise<Result<VmOverview, string>> {
    return this.send('GET', '/v1/vms', VmOverview);
  }

  /** @returns the error budget burn of the service-level objectives, or the error message */
  async readBurnReport(): Promise<Result<BurnReport, string>> {
    return this.send('GET', '/v1/report', BurnReport);
  }

  private async send<Value>(
    method: 'GET' | 'POST',
    path: string,
    schema: z.ZodType<Value>,
    body?: unknown,
  ): Promise<Result<Value, string>> {
    try {
      const response = await request(`${this.url}${path}`, {
        method,
        headers: { authorization: `Bearer ${this.token}`, 'content-type': 'application/json' },
        body: body === undefined ? null : JSON.stringify(body),
      });
      const value: unknown = await response.body.json();
      if (response.statusCode >= FIRST_ERROR_STATUS) {
        return Err(FailureMessage.parse(value).message);
      }
      return Ok(schema.parse(value));
    } catch (err) {
      return Err(`${this.url}: ${(err as Error).message}`);
    }
  }
}
