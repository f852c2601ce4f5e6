import { request } from 'undici';

import type TargetAnnouncement from '@guavayard/core/types/TargetAnnouncement';

/**
 * Announces a target to an entry.
 *
 * @param entryAddress - address of the entry's listener for targets
 * @param announcement - the announcement
 * @throws if the entry refuses it
 */
export default async function announce(
  entryAddress: string,
  announcement: TargetAnnouncement,
): Promise<void> {
  const { id, ...body } = announcement;
  const answer = await request(`http://${entryAddress}/v1/targets/${id}`, {
    method: 'PUT',
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify(body),
  });
  const text = await answer.body.text();
  if (answer.statusCode !== 200) throw new Error(`announcement refused: ${text}`);
}
