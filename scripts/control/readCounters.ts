import { readFileSync } from 'node:fs';

const TICKS_PER_SECOND = 100;

interface Counters {
  readonly cpuSeconds: number;
  readonly residentBytes: number;
  readonly transferredBytes: number;
}

function readField(text: string, name: string): number {
  return Number(new RegExp(`^${name}:\\s+(\\d+)`, 'm').exec(text)?.[1] ?? NaN);
}

/**
 * Reads the counters of a process from `/proc`.
 *
 * @param pid - id of the process
 * @returns the counters since the start of the process
 */
export default function readCounters(pid: number): Counters {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const io = readFileSync(`/proc/${pid}/io`, 'utf8');
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  return {
    cpuSeconds: (Number(fields[11]) + Number(fields[12])) / TICKS_PER_SECOND,
    residentBytes: readField(status, 'VmRSS') * 1024,
    transferredBytes: readField(io, 'rchar') + readField(io, 'wchar'),
  };
}
