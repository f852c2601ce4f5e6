import { readFileSync } from 'node:fs';

import type ProcessUsage from './ProcessUsage';

const MS_PER_TICK = 10;
const BYTES_PER_PAGE = 4096;
const USER_TICKS = 11;
const SYSTEM_TICKS = 12;
const RESIDENT_PAGES = 21;

/**
 * Reads the CPU time and memory of a process from `/proc`.
 *
 * @param pid - the process
 * @returns the CPU time and resident memory
 */
export default function readUsage(pid: number): ProcessUsage {
  const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1]?.split(' ') ?? [];
  return {
    cpuMs: (Number(fields[USER_TICKS]) + Number(fields[SYSTEM_TICKS])) * MS_PER_TICK,
    memoryBytes: Number(fields[RESIDENT_PAGES]) * BYTES_PER_PAGE,
  };
}
