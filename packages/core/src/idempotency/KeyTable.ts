import type Clock from '../types/Clock';
import type KeyRecord from './KeyRecord';

/** Most records that one entry keeps. */
const MAX_RECORDS = 100_000;
/** Most bytes of stored answers that one entry keeps. */
const MAX_ANSWER_BYTES = 32 * 1024 * 1024;

interface TimedRecord {
  record: KeyRecord;
  readonly untilMs: number;
  readonly runUntilMs: number;
}

function bytesOf(record: KeyRecord): number {
  return record.answer?.body.byteLength ?? 0;
}

/** The records of one entry. Nothing is forgotten before its window is over. */
export default class KeyTable {
  private readonly records = new Map<string, TimedRecord>();

  private answerBytes = 0;

  constructor(private readonly clock: Clock, private readonly maxRecords = MAX_RECORDS) {}

  /**
   * @param key - the key
   * @returns its record with the times that are left, if there is one
   */
  find(key: string): KeyRecord | undefined {
    const timed = this.records.get(key);
    return timed === undefined ? undefined : this.withTimes(timed);
  }

  /**
   * Stores a record. An answer for which there is no room is left out.
   *
   * @param record - the record
   * @returns false if there is no room for another record
   */
  store(record: KeyRecord): boolean {
    const known = this.records.get(record.key);
    if (known === undefined && this.records.size >= this.maxRecords) return false;
    this.answerBytes -= known === undefined ? 0 : bytesOf(known.record);
    const hasRoom = this.answerBytes + bytesOf(record) <= MAX_ANSWER_BYTES;
    const kept = hasRoom ? record : { ...record, answer: undefined };
    this.answerBytes += bytesOf(kept);
    const nowMs = this.clock();
    this.records.set(record.key, {
      record: kept,
      untilMs: known?.untilMs ?? nowMs + record.expiresInMs,
      runUntilMs: known?.runUntilMs ?? nowMs + record.runLeftMs,
    });
    return true;
  }

  /**
   * Forgets a key, because its request did not run.
   *
   * @param key - the key
   */
  remove(key: string): void {
    const known = this.records.get(key);
    if (known === undefined) return;
    this.answerBytes -= bytesOf(known.record);
    this.records.delete(key);
  }

  /** Forgets the keys whose window is over. */
  expire(): void {
    const nowMs = this.clock();
    this.records.forEach(({ untilMs }, key) => {
      if (untilMs <= nowMs) this.remove(key);
    });
  }

  /** @returns all records with the times that are left */
  all(): KeyRecord[] {
    return [...this.records.values()].map((timed) => this.withTimes(timed));
  }

  private withTimes({ record, untilMs, runUntilMs }: TimedRecord): KeyRecord {
    const nowMs = this.clock();
    return { ...record, expiresInMs: untilMs - nowMs, runLeftMs: runUntilMs - nowMs };
  }
}
