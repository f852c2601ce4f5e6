import { createServer, type Server } from 'node:http';

import { H3, readBody, type H3Event } from 'h3';
import { toNodeHandler } from 'h3/node';
import type { Result } from 'ts-results';

import type Failure from '@guavayard/core/errors/Failure';
import createFailureResponse from '@guavayard/core/http/createFailureResponse';
import ConfigurationPatch from '@guavayard/core/types/ConfigurationPatch';
import describeIssues from '@guavayard/core/types/describeIssues';

import type ConfigurationService from './ConfigurationService';
import isAuthorized from './isAuthorized';
import type ReportService from './ReportService';
import type SystemStatus from './SystemStatus';

/** Maximum size of a patch, in bytes. */
const MAX_PATCH_BYTES = 1024 * 1024;

const OutcomeQuery = ConfigurationPatch.pick({ id: true, base: true });

function respond(result: Result<unknown, Failure>): unknown {
  return result.err ? createFailureResponse(result.val) : result.val;
}

/** Serves the operators' HTTP API. It owns its server socket. */
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
      .get('/v1/outcomes', async (event) => this.outcome(event))
      .get('/v1/configuration', async () => respond(await this.service.readConfiguration()))
      .get('/v1/enforcement', async () => respond(await this.service.enforcement()))
      .get('/v1/status', () => this.status())
      .get('/v1/vms', async () => reports.vms())
      .get('/v1/report', async () => reports.readBurnReport());
    this.server = createServer(toNodeHandler(app));
  }

  private async submit(event: H3Event): Promise<unknown> {
    if (Number(event.req.headers.get('content-length') ?? Infinity) > MAX_PATCH_BYTES) {
      return createFailureResponse({ kind: 'bodyTooLarge', detail: `at most ${MAX_PATCH_BYTES} bytes` });
    }
    const input = await readBody<unknown>(event).catch(() => undefined);
    const patch = ConfigurationPatch.safeParse(input);
    if (!patch.success) {
      const detail = describeIssues(patch.error, input).join('; ');
      return createFailureResponse({ kind: 'invalidPatch', detail });
    }
    const result = await this.service.submit(patch.data);
    return respond(result.map((version) => ({ version })));
  }

  private async outcome(event: H3Event): Promise<unknown> {
    const query = new URL(event.req.url).searchParams;
    const input = { id: query.get('id'), base: Number(query.get('base') ?? NaN) };
    const parsed = OutcomeQuery.safeParse(input);
    if (!parsed.success) {
      const detail = describeIssues(parsed.error, input).join('; ');
      return createFailureResponse({ kind: 'malformedRequest', detail });
    }
    return respond(await this.service.outcome(parsed.data.id, parsed.data.base));
  }
}
