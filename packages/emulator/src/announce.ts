import { request } from 'undici';

import type TargetAnnouncement from '@guavayard/core/types/TargetAnnouncement';

/**
 * Announces a target to an entry.
 *
 * @param entryAddress - address of the target listener of the entry
 * @param announcement - the announcement
 * @throws if the entry rejects the announcement
 */
export default async function announce(
  entryAddress: string,
  announcement: TargetAnnouncement,
): Promise<void> {
  const { id, ...body } = announcement;
  const response = await request(`http://${entryAddress}/v1/targets/${id}`, {
    method: 'PUT',
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify(body),
  });
  const text = await response.body.text();
  if (response.statusCode !== 200) throw new Error(`announcement rejected: ${text}`);
}
