import * as z from 'zod';

import errorTable from '@guavayard/core/errors/errorTable';
import type ErrorKind from '@guavayard/core/errors/ErrorKind';
import RelayedHead from '@guavayard/core/relay/RelayedHead';
import RelayRefusal from '@guavayard/core/relay/RelayRefusal';
import Name from '@guavayard/core/types/Name';

/** Number that the asking entry gives a relayed request; unique within its session. */
const RelayId = z.int().min(0);
const Chunk = z.custom<Uint8Array>((value) => value instanceof Uint8Array);
const ErrorKindName = z.enum(Object.keys(errorTable) as [ErrorKind, ...ErrorKind[]]);
const HeaderValue = z.union([z.string(), z.array(z.string())]);

/**
 * Messages by which an entry relays a request to another one. The asking entry sends the request
 * only after the other one has agreed, so that a request which nobody takes has provably not run.
 */
const relayMessages = [
  z.strictObject({
    kind: z.literal('relayAsk'), relayId: RelayId, service: Name, version: z.int().min(0),
  }),
  z.strictObject({ kind: z.literal('relayGrant'), relayId: RelayId }),
  z.strictObject({ kind: z.literal('relayRefusal'), relayId: RelayId, reason: RelayRefusal }),
  z.strictObject({ kind: z.literal('relayRequest'), relayId: RelayId, head: RelayedHead }),
  z.strictObject({
    kind: z.literal('relayBody'), relayId: RelayId, chunk: Chunk, isLast: z.boolean(),
  }),
  /** The serving entry has consumed a part of the body. */
  z.strictObject({ kind: z.literal('relayBodyRead'), relayId: RelayId, bytes: z.int().min(0) }),
  z.strictObject({
    kind: z.literal('relayResponse'),
    relayId: RelayId,
    status: z.int().min(200).max(599),
    headers: z.record(z.string(), HeaderValue),
  }),
  z.strictObject({ kind: z.literal('relayData'), relayId: RelayId, chunk: Chunk }),
  /** The asking entry has consumed a part of the response. */
  z.strictObject({ kind: z.literal('relayDataRead'), relayId: RelayId, bytes: z.int().min(0) }),
  z.strictObject({ kind: z.literal('relayEnd'), relayId: RelayId }),
  z.strictObject({
    kind: z.literal('relayFailure'),
    relayId: RelayId,
    failure: z.strictObject({ kind: ErrorKindName, detail: z.string() }),
    retryAfterMs: z.number().min(0).optional(),
  }),
  /** Nobody waits for the response any more. */
  z.strictObject({ kind: z.literal('relayCancel'), relayId: RelayId }),
] as const;

export default relayMessages;
