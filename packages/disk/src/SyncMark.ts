import * as z from 'zod';

/** How far a log was synced when the mark was written. */
const SyncMark = z.strictObject({
  kind: z.literal('synced'),
  /** Increases with each mark. */
  sequence: z.int().min(1),
  /** Length of the start of the log that tells it from other logs, in bytes. */
  initialBytes: z.int().min(0),
  /** CRC-32 of these bytes. */
  initialChecksum: z.int().min(0),
  /** Length of what had been synced, in bytes. */
  syncedBytes: z.int().min(0),
});
type SyncMark = z.infer<typeof SyncMark>;

export default SyncMark;
