import { createServer, type Server } from 'node:http';

import { H3, readBody, type H3Event } from 'h3';
import { toNodeHandler } from 'h3/node';

import createFailureResponse from '@guavayard/core/http/createFailureResponse';
import ConfigurationPatch from '@guavayard/core/types/ConfigurationPatch';
import describeMistakes from '@guavayard/core/types/describeMistakes';

import type ConfigurationService from './ConfigurationService';
import isAuthorized from './isAuthorized';
import type ReportService from './ReportService';
import type SystemStatus from './SystemStatus';

/** Longest patch, in bytes. */
const MAX_PATCH_BYTES = 1024 * 1024;

/** The operators' HTTP API. It owns its server socket. */
export default class OperatorListener {
  readonly server: Server;

  constructor(
    private readonly service: ConfigurationService,
    private readonly status: () => SystemStatus,
    token: string,
    reports: ReportService,
  ) {
    const app = new H3()
      .use((event) => (isAuthorized(event.req.headers.get('authorization'), token)
        ? undefined
        : createFailureResponse({ kind: 'unauthorized', detail: '' })))
      .post('/v1/patches', async (event) => this.submit(event))
      .get('/v1/configuration', () => this.service.latest)
      .get('/v1/status', () => this.status())
      .get('/v1/vms', async () => reports.vms())
      .get('/v1/report', async () => reports.burn());
    this.server = createServer(toNodeHandler(app));
  }

  private async submit(event: H3Event): Promise<unknown> {
    if (Number(event.req.headers.get('content-length') ?? Infinity) > MAX_PATCH_BYTES) {
      return createFailureResponse({ kind: 'bodyTooLarge', detail: `at most ${MAX_PATCH_BYTES} bytes` });
    }
    const input = await readBody<unknown>(event).catch(() => undefined);
    const patch = ConfigurationPatch.safeParse(input);
    if (!patch.success) {
      const detail = describeMistakes(patch.error, input).join('; ');
      return createFailureResponse({ kind: 'invalidPatch', detail });
    }
    const result = await this.service.submit(patch.data);
    if (result.err) return createFailureResponse(result.val);
    return { version: result.val };
  }
}
