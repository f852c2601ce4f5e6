import type Logger from 'bunyan';

/** Errors by which Node reports that the reader of a pipe or the peer of a socket is gone. */
const HARMLESS_CODES: ReadonlySet<string> = new Set(['EPIPE', 'ECONNRESET']);

/**
 * Reports unexpected exceptions, and keeps them from ending the process. What must end it, such as
 * a replica whose state may differ from its log, ends it where the failure is detected.
 */
export default class ErrorBoundary {
  private errors = 0;

  constructor(private readonly log: Logger) {}

  /** Number of exceptions that were reported. */
  get count(): number {
    return this.errors;
  }

  /** Catches the exceptions that no session, request or timer of the process has caught. */
  install(): void {
    process.on('uncaughtException', (err) => {
      if (!HARMLESS_CODES.has((err as NodeJS.ErrnoException).code ?? '')) this.report(err, 'process');
    });
  }

  /**
   * Logs and counts an exception.
   *
   * @param err - the exception
   * @param source - where it was caught
   */
  report(err: Error, source: 'process' | 'request' | 'session'): void {
    this.errors += 1;
    this.log.error({ err, source }, 'unexpected error');
  }
}
