import { createHash } from 'node:crypto';

import Name from '../types/Name';

/** Maximum number of characters of the original text that a name shows. */
const EXCERPT_LENGTH = 24;
/** Number of hexadecimal digits that distinguish names of different texts. */
const HASH_LENGTH = 32;

/**
 * Returns the name by which the VMs know something that others have named, without restrictions.
 * A text that is a valid name stays as it is. Any other is replaced by an excerpt and a hash of it,
 * so that older builds can read the name in logs and messages.
 *
 * @param text - the text that others use
 * @returns the same name for the same text
 */
export default function createName(text: string): Name {
  if (Name.safeParse(text).success) return text;
  const excerpt = text.slice(0, EXCERPT_LENGTH).toLowerCase()
    .replace(/[^a-z0-9]+/g, '-').replace(/^-|-$/g, '');
  // UTF-8 would replace lone surrogates, so that different texts could get the same hash.
  const hash = createHash('sha256').update(Buffer.from(text, 'utf16le')).digest('hex').slice(0, HASH_LENGTH);
  return excerpt === '' ? hash : `${excerpt}.${hash}`;
}
