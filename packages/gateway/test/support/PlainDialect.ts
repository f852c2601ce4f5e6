import type { IncomingMessage } from 'node:http';

import type AnswerHeaders from '@guavayard/core/dispatch/AnswerHeaders';
import errorTable from '@guavayard/core/errors/errorTable';
import type Failure from '@guavayard/core/errors/Failure';
import type LoadFigures from '@guavayard/core/placement/LoadFigures';

import type AnswerMarks from '../../src/AnswerMarks';
import type Dialect from '../../src/Dialect';
import type FailureAnswer from '../../src/FailureAnswer';
import type ProbeMarks from '../../src/ProbeMarks';
import type RequestTerms from '../../src/RequestTerms';
import type SendTerms from '../../src/SendTerms';

function readLoad(headers: AnswerHeaders): LoadFigures | undefined {
  const value = headers.load?.toString();
  return value === undefined ? undefined : JSON.parse(value) as LoadFigures;
}

/** Headers of tests, named after what they hold. */
export default class PlainDialect implements Dialect {
  readRequest(req: IncomingMessage): RequestTerms {
    const deadline = req.headers.remaining?.toString();
    return {
      requestId: req.headers.id?.toString(),
      remainingMs: deadline === undefined ? undefined : Number(deadline),
      host: req.headers.host ?? '',
    };
  }

  createHeaders(rawHeaders: readonly string[], terms: SendTerms): string[] {
    return [...rawHeaders, 'expected', terms.targetId, 'left', String(terms.remainingMs)];
  }

  readAnswer(headers: AnswerHeaders): AnswerMarks {
    return {
      requestId: headers.id?.toString(),
      isSigned: headers.signed !== undefined,
      isMarkedNotRun: headers['not-run'] !== undefined,
      isEncoded: headers['content-encoding'] !== undefined,
      load: readLoad(headers),
    };
  }

  readProbe(headers: AnswerHeaders): ProbeMarks {
    return {
      targetId: headers.target?.toString(),
      load: readLoad(headers),
      coldLeftMs: headers.cold === undefined ? undefined : Number(headers.cold),
    };
  }

  createFailure(
    failure: Failure,
    _requestId: string | undefined,
    retryAfterMs: number | undefined,
  ): FailureAnswer {
    const { status, outcome } = errorTable[failure.kind];
    const isPromise = outcome === 'not-run' && status >= 500;
    return {
      status: isPromise ? 503 : status,
      headers: retryAfterMs === undefined ? {} : { 'retry-after': String(retryAfterMs) },
      body: failure.kind,
    };
  }
}
