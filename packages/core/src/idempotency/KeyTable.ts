import type Clock from '../types/Clock';
import type KeyRecord from './KeyRecord';

/** Maximum number of records that one entry stores. */
const MAX_RECORDS = 100_000;
/** Maximum total size of the response bodies that one entry stores, in bytes. */
const MAX_STORED_BYTES = 32 * 1024 * 1024;

interface TimedRecord {
  record: KeyRecord;
  readonly untilMs: number;
  readonly runUntilMs: number;
}

function bodyBytes(record: KeyRecord): number {
  return record.answer?.body.byteLength ?? 0;
}

/** Idempotency records of one entry. Records are never evicted before they expire. */
export default class KeyTable {
  private readonly records = new Map<string, TimedRecord>();

  private storedBytes = 0;

  constructor(private readonly clock: Clock, private readonly maxRecords = MAX_RECORDS) {}

  /**
   * Finds the record of a key.
   *
   * @param key - the idempotency key
   * @returns the record with its remaining times, or undefined if there is none
   */
  find(key: string): KeyRecord | undefined {
    const timed = this.records.get(key);
    return timed === undefined ? undefined : this.withRemainingTimes(timed);
  }

  /**
   * Stores a record, without its response if the size limit of stored responses is reached.
   * The expiry times of a known record do not change.
   *
   * @param record - the record to add or replace
   * @returns false if the table is full
   */
  store(record: KeyRecord): boolean {
    const known = this.records.get(record.key);
    if (known === undefined && this.records.size >= this.maxRecords) return false;
    this.storedBytes -= known === undefined ? 0 : bodyBytes(known.record);
    const hasRoom = this.storedBytes + bodyBytes(record) <= MAX_STORED_BYTES;
    const kept = hasRoom ? record : { ...record, answer: undefined };
    this.storedBytes += bodyBytes(kept);
    const nowMs = this.clock();
    this.records.set(record.key, {
      record: kept,
      untilMs: known?.untilMs ?? nowMs + record.expiresInMs,
      runUntilMs: known?.runUntilMs ?? nowMs + record.runLeftMs,
    });
    return true;
  }

  /**
   * Removes the record of a key whose request did not run, which allows the request to run again.
   *
   * @param key - the idempotency key
   */
  remove(key: string): void {
    const known = this.records.get(key);
    if (known === undefined) return;
    this.storedBytes -= bodyBytes(known.record);
    this.records.delete(key);
  }

  /** Removes expired records. */
  expire(): void {
    const nowMs = this.clock();
    this.records.forEach(({ untilMs }, key) => {
      if (untilMs <= nowMs) this.remove(key);
    });
  }

  /** @returns all records with their remaining times */
  all(): KeyRecord[] {
    return [...this.records.values()].map((timed) => this.withRemainingTimes(timed));
  }

  private withRemainingTimes({ record, untilMs, runUntilMs }: TimedRecord): KeyRecord {
    const nowMs = this.clock();
    return { ...record, expiresInMs: untilMs - nowMs, runLeftMs: runUntilMs - nowMs };
  }
}
