import type { FileHandle } from 'node:fs/promises';

/**
 * Appends bytes to a file in one call of the system, as far as it takes them. `appendFile` splits
 * them: after a loss of power a later part may be there without an earlier one, which cannot be
 * told from corruption.
 *
 * @param handle - the file, at its end
 * @param bytes - the bytes to append
 */
export default async function writeAtOnce(handle: FileHandle, bytes: Buffer): Promise<void> {
  let written = 0;
  while (written < bytes.length) {
    // eslint-disable-next-line no-await-in-loop -- the rest of a short write follows it
    written += (await handle.write(bytes, written, bytes.length - written, null)).bytesWritten;
  }
}
