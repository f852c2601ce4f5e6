import assert from 'node:assert/strict';
import { test } from 'node:test';

import fc from 'fast-check';

import chooseOwner from '../src/ownership/chooseOwner';
import createOwnershipState from '../src/ownership/createOwnershipState';
import findOwner from '../src/ownership/findOwner';
import type Member from '../src/ownership/Member';
import ownershipLeaseMs from '../src/ownership/ownershipLeaseMs';
import removeMember from '../src/ownership/removeMember';
import updateMembership from '../src/ownership/updateMembership';

const SEED = 5;
const TARGETS = 1300;

function createMember(index: number): Member {
  const region = index % 3;
  return { name: `entry-${index}`, region: `r${region}`, dataCentre: `r${region}-${index % 2}` };
}

const members = Array.from({ length: 18 }, (_, index) => createMember(index));
const targets = Array.from({ length: TARGETS }, (_, index) => ({
  id: `target-${index}`, dataCentre: `r${index % 3}-${index % 2}`, region: `r${index % 3}`,
}));

test('an owner is in the data centre, else in the region, else there is none', () => {
  const target = { id: 't', dataCentre: 'r0-0', region: 'r0' };
  const findMember = (name: string | undefined): Member | undefined => (
    members.find((member) => member.name === name)
  );
  assert.equal(findMember(chooseOwner(target, members))?.dataCentre, 'r0-0');
  const others = members.filter((member) => member.dataCentre !== 'r0-0');
  assert.equal(findMember(chooseOwner(target, others))?.region, 'r0');
  assert.equal(chooseOwner(target, others.filter((member) => member.region !== 'r0')), undefined);
});

test('only the targets of a lost entry change owner', () => {
  const [lost, ...rest] = members;
  const moved = targets.filter((target) => (
    chooseOwner(target, members) !== chooseOwner(target, rest)
  ));
  assert.ok(moved.length > 0);
  assert.ok(moved.every((target) => chooseOwner(target, members) === lost?.name));
});

test('targets are distributed evenly across owners', () => {
  const counts = new Map<string, number>();
  targets.forEach((target) => {
    const owner = chooseOwner(target, members) ?? '';
    counts.set(owner, (counts.get(owner) ?? 0) + 1);
  });
  const mean = TARGETS / members.length;
  assert.ok(Math.max(...counts.values()) < 1.5 * mean);
});

test('an owner that left is replaced at once, a lost one after its lease has expired', () => {
  const target = { id: 'target-0', dataCentre: 'r0-0', region: 'r0' };
  const old = chooseOwner(target, members) ?? '';
  const rest = members.filter((member) => member.name !== old);
  const next = chooseOwner(target, rest) ?? '';
  const state = createOwnershipState(next);
  updateMembership(state, members, 0);
  assert.equal(findOwner(state, target, ownershipLeaseMs), old);
  updateMembership(state, rest, 10_000);
  assert.equal(findOwner(state, target, 10_000 + ownershipLeaseMs - 1), undefined);
  assert.equal(findOwner(state, target, 10_000 + ownershipLeaseMs), next);
  const released = createOwnershipState(next);
  updateMembership(released, members, 0);
  assert.equal(findOwner(released, target, ownershipLeaseMs), old);
  removeMember(released, old);
  assert.equal(findOwner(released, target, ownershipLeaseMs), next);
});

// Each membership change reaches each entry after a delay shorter than the lease. An entry that has
// not received it by then has lost its lease and no longer acts as an owner.
test(`a target has at most one owner at a time under membership races, seed ${SEED}`, () => {
  const regionMembers = members.filter((member) => member.region === 'r0');
  const target = { id: 'target-0', dataCentre: 'r0-0', region: 'r0' };
  const change = fc.record({
    afterMs: fc.integer({ min: 1, max: 6000 }),
    present: fc.subarray(regionMembers, { minLength: 1 }),
    delaysMs: fc.array(fc.integer({ min: 0, max: ownershipLeaseMs - 1 }), {
      minLength: regionMembers.length, maxLength: regionMembers.length,
    }),
  });
  fc.assert(fc.property(fc.array(change, { minLength: 1, maxLength: 8 }), (changes) => {
    const states = regionMembers.map((member) => createOwnershipState(member.name));
    const updates: { atMs: number; index: number; present: Member[] }[] = [];
    const lastAtMs = regionMembers.map(() => 0);
    let atMs = 0;
    changes.forEach(({ afterMs, present, delaysMs }) => {
      atMs += afterMs;
      regionMembers.forEach((member, index) => {
        // Messages of a session arrive in order.
        const arrivalMs = Math.max(atMs + (delaysMs[index] ?? 0), lastAtMs[index] ?? 0);
        lastAtMs[index] = arrivalMs;
        updates.push({ atMs: arrivalMs, index, present });
      });
    });
    updates.sort((left, right) => left.atMs - right.atMs);
    updates.forEach((update) => {
      const state = states[update.index];
      if (state !== undefined) updateMembership(state, update.present, update.atMs);
      const owners = states.filter((other) => (
        findOwner(other, target, update.atMs) === other.self
      ));
      assert.ok(owners.length <= 1, owners.map((owner) => owner.self).join(' and '));
    });
  }), { seed: SEED, numRuns: 500 });
});
