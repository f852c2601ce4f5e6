import * as z from 'zod';

const Pointer = z.string().max(1024);

/** JSON Patch operation (RFC 6902). */
const PatchOperation = z.discriminatedUnion('op', [
  z.strictObject({ op: z.literal('add'), path: Pointer, value: z.unknown() }),
  z.strictObject({ op: z.literal('replace'), path: Pointer, value: z.unknown() }),
  z.strictObject({ op: z.literal('test'), path: Pointer, value: z.unknown() }),
  z.strictObject({ op: z.literal('remove'), path: Pointer }),
  z.strictObject({ op: z.literal('move'), from: Pointer, path: Pointer }),
  z.strictObject({ op: z.literal('copy'), from: Pointer, path: Pointer }),
]);
type PatchOperation = z.infer<typeof PatchOperation>;

export default PatchOperation;
