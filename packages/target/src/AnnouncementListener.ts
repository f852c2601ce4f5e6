import { createServer, type Server } from 'node:http';

import { H3, readBody, type H3Event } from 'h3';
import { toNodeHandler } from 'h3/node';

import describeIssues from '@guavayard/core/types/describeIssues';
import createFailureResponse from '@guavayard/core/http/createFailureResponse';
import TargetAnnouncement from '@guavayard/core/types/TargetAnnouncement';

import type TargetDirectory from './TargetDirectory';

/** Maximum size of an announcement, in bytes. */
const MAX_ANNOUNCEMENT_BYTES = 16 * 1024;

/** Receives target announcements over HTTP. It owns its server socket. */
export default class AnnouncementListener {
  readonly server: Server;

  constructor(private readonly directory: TargetDirectory) {
    const app = new H3()
      .put('/v1/targets/:id', async (event) => this.announce(event))
      .delete('/v1/targets/:id', (event) => this.withdraw(event))
      .get('/v1/targets', () => this.directory.all());
    this.server = createServer(toNodeHandler(app));
  }

  private async announce(event: H3Event): Promise<unknown> {
    if (Number(event.req.headers.get('content-length') ?? Infinity) > MAX_ANNOUNCEMENT_BYTES) {
      return createFailureResponse({ kind: 'bodyTooLarge', detail: `at most ${MAX_ANNOUNCEMENT_BYTES} bytes` });
    }
    const body = await readBody<object>(event).catch(() => undefined);
    const input = { ...body, id: event.context.params?.id };
    const announcement = TargetAnnouncement.safeParse(input);
    if (!announcement.success) {
      const detail = describeIssues(announcement.error, input).join('; ');
      return createFailureResponse({ kind: 'invalidAnnouncement', detail });
    }
    const accepted = this.directory.announce(announcement.data);
    if (accepted.err) return createFailureResponse(accepted.val);
    return { id: announcement.data.id, timeToLiveMs: announcement.data.timeToLiveMs };
  }

  private withdraw(event: H3Event): unknown {
    this.directory.withdraw(event.context.params?.id ?? '');
    return {};
  }
}
