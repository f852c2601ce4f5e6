import type VmStatus from '@guavayard/core/types/VmStatus';

import describeDuration from './describeDuration';
import renderTable from './renderTable';

const BYTES_PER_MEGABYTE = 1_000_000;
const PERCENT = 100;

function createVmRow(status: VmStatus): string[] {
  return [
    status.vm,
    status.region,
    status.dataCentre,
    status.roles.join('+'),
    status.version === undefined ? '-' : String(status.version),
    describeDuration(status.uptimeMs),
    `${Math.round(status.memoryBytes / BYTES_PER_MEGABYTE)} MB`,
    status.program,
  ];
}

function createEntryRows({ vm, entry }: VmStatus): string[][] {
  if (entry === undefined) return [];
  const { cold, ready, draining } = entry.targets;
  const share = entry.measuring === undefined
    ? '-'
    : `${(entry.measuring.usedShare * PERCENT).toFixed(2)}% of ${(entry.measuring.budgetShare * PERCENT).toFixed(2)}%`;
  return [[
    vm,
    entry.hasLease ? 'held' : 'none',
    entry.isReady ? 'ready' : 'not ready',
    String(ready),
    String(cold),
    String(draining),
    String(entry.ownedTargets),
    share,
  ]];
}

function createControlRows({ vm, control }: VmStatus): string[][] {
  if (control === undefined) return [];
  return [[vm, control.state, String(control.term), control.leader ?? '-', control.voters.join(', ')]];
}

function describeBreaches(vms: readonly VmStatus[]): string[] {
  const lines = vms.flatMap(({ vm, entry }) => Object.entries(entry?.invariants ?? {})
    .filter(([, count]) => count > 0)
    .map(([kind, count]) => `INVARIANT BROKEN on ${vm}: ${kind} ${count} times`));
  return lines.length === 0 ? ['invariants: no breach'] : lines;
}

function renderSection(headings: string[], rows: readonly string[][]): string[] {
  return rows.length === 0 ? [] : ['', ...renderTable([headings, ...rows])];
}

/**
 * Renders the status of all VMs as plain text.
 *
 * @param vms - status reported by each VM
 * @param silent - names of the VMs that did not respond
 * @returns the lines of text
 */
export default function renderStatusText(
  vms: readonly VmStatus[],
  silent: readonly string[],
): string[] {
  return [
    ...renderTable([
      ['vm', 'region', 'data centre', 'roles', 'version', 'up', 'memory', 'program'],
      ...vms.map(createVmRow),
    ]),
    ...renderSection(
      ['entry', 'lease', 'platform', 'ready', 'cold', 'draining', 'owned', 'measuring'],
      vms.flatMap(createEntryRows),
    ),
    ...renderSection(['control', 'state', 'term', 'leader', 'voters'], vms.flatMap(createControlRows)),
    '',
    ...describeBreaches(vms),
    ...(silent.length === 0 ? [] : [`no answer from: ${silent.join(', ')}`]),
  ];
}
