import type { IncomingMessage } from 'node:http';

import type AnswerHeaders from '@guavayard/core/dispatch/AnswerHeaders';
import errorTable from '@guavayard/core/errors/errorTable';
import type Failure from '@guavayard/core/errors/Failure';
import type LoadFigures from '@guavayard/core/placement/LoadFigures';

import type ResponseMetadata from '../../src/ResponseMetadata';
import type Dialect from '../../src/Dialect';
import type FailureResponse from '../../src/FailureResponse';
import type ProbeMetadata from '../../src/ProbeMetadata';
import type RequestMetadata from '../../src/RequestMetadata';
import type TargetRequestMetadata from '../../src/TargetRequestMetadata';

function readLoad(headers: AnswerHeaders): LoadFigures | undefined {
  const value = headers.load?.toString();
  return value === undefined ? undefined : JSON.parse(value) as LoadFigures;
}

function readLimit(headers: AnswerHeaders): number | undefined {
  return headers.limit === undefined ? undefined : Number(headers.limit);
}

/** Dialect for tests, whose headers are named after their content. */
export default class PlainDialect implements Dialect {
  readRequest(req: Pick<IncomingMessage, 'headers'>): RequestMetadata {
    const deadline = req.headers.remaining?.toString();
    return {
      requestId: req.headers.id?.toString(),
      remainingMs: deadline === undefined ? undefined : Number(deadline),
      host: req.headers.host ?? '',
    };
  }

  readKeys(rawHeaders: readonly string[]): string[] {
    return rawHeaders.filter((_value, index) => index % 2 === 1 && rawHeaders[index - 1] === 'key');
  }

  createHeaders(rawHeaders: readonly string[], metadata: TargetRequestMetadata): string[] {
    return [
      ...rawHeaders,
      'expected',
      metadata.targetId,
      'left',
      String(metadata.remainingMs),
      ...(metadata.tenant?.label === undefined ? [] : ['tenant', metadata.tenant.label]),
    ];
  }

  readResponse(headers: AnswerHeaders): ResponseMetadata {
    return {
      requestId: headers.id?.toString(),
      isSigned: headers.signed !== undefined,
      isMarkedNotRun: headers['not-run'] !== undefined,
      isEncoded: headers['content-encoding'] !== undefined,
      load: readLoad(headers),
      requestLimit: readLimit(headers),
      restMs: headers.rest === undefined ? undefined : Number(headers.rest),
      isLeaving: headers.leaving !== undefined,
    };
  }

  readProbe(headers: AnswerHeaders): ProbeMetadata {
    return {
      targetId: headers.target?.toString(),
      load: readLoad(headers),
      coldLeftMs: headers.cold === undefined ? undefined : Number(headers.cold),
      requestLimit: readLimit(headers),
      restMs: headers.rest === undefined ? undefined : Number(headers.rest),
      isLeaving: headers.leaving !== undefined,
    };
  }

  createFailureResponse(
    failure: Failure,
    _requestId: string | undefined,
    retryAfterMs: number | undefined,
  ): FailureResponse {
    const { status, outcome } = errorTable[failure.kind];
    const isRetryable = outcome === 'not-run' && status >= 500;
    return {
      status: isRetryable ? 503 : status,
      headers: retryAfterMs === undefined ? {} : { 'retry-after': String(retryAfterMs) },
      body: failure.kind,
    };
  }
}
