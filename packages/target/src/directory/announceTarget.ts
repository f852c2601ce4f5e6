import { Ok, type Result } from 'ts-results';

import fail from '@guavayard/core/errors/fail';
import type Failure from '@guavayard/core/errors/Failure';
import type TargetAnnouncement from '@guavayard/core/types/TargetAnnouncement';
import type TargetRecord from '@guavayard/core/types/TargetRecord';

import type DirectoryEffect from './DirectoryEffect';
import type DirectoryEntry from './DirectoryEntry';
import type DirectoryState from './DirectoryState';
import directoryTimes from './directoryTimes';
import hasChanged from './hasChanged';
import storeRecord from './storeRecord';
import addRetiredStartId from './addRetiredStartId';

type AnnouncementResult = Result<DirectoryEffect[], Failure>;

function publish(state: DirectoryState, record: TargetRecord, nowMs: number): AnnouncementResult {
  storeRecord(state, record, nowMs);
  return Ok([{ kind: 'publish', record }]);
}

function createRecord(state: DirectoryState, announcement: TargetAnnouncement): TargetRecord {
  return {
    announcement,
    generation: 1,
    sequence: announcement.sequence ?? 0,
    claim: 0,
    holder: state.self,
    isWarm: false,
    isWithdrawn: false,
    retiredStartIds: [],
  };
}

function handleHeartbeat(
  state: DirectoryState,
  known: DirectoryEntry,
  nowMs: number,
): AnnouncementResult {
  const { record } = known;
  const { id, startId } = record.announcement;
  if (known.isLive && record.holder === state.self) {
    state.entries.set(id, {
      ...known, endsAtMs: nowMs + record.announcement.timeToLiveMs, confirmedAtMs: nowMs,
    });
    return Ok([]);
  }
  if (known.isLive && nowMs - known.confirmedAtMs <= directoryTimes.maxConfirmationAgeMs) {
    return Ok([{
      kind: 'heartbeat', to: record.holder, targetId: id, startId,
    }]);
  }
  return publish(state, { ...record, claim: record.claim + 1, holder: state.self }, nowMs);
}

function updateSameStart(
  state: DirectoryState,
  known: DirectoryEntry,
  announcement: TargetAnnouncement,
  nowMs: number,
): AnnouncementResult {
  const { record } = known;
  if ((announcement.sequence ?? Infinity) < record.sequence) {
    return fail('invalidAnnouncement', `sequence ${announcement.sequence} is older than ${record.sequence}`);
  }
  if (!hasChanged(record.announcement, announcement)) return handleHeartbeat(state, known, nowMs);
  const sequence = Math.max(announcement.sequence ?? 0, record.sequence + 1);
  return publish(state, {
    ...record, announcement, sequence, claim: 0, holder: state.self,
  }, nowMs);
}

/**
 * Handles an announcement that a target sent to this entry.
 *
 * @param state - the directory
 * @param announcement - the announcement
 * @param nowMs - monotonic clock
 * @returns updates to send to other entries, or `invalidAnnouncement` if a later incarnation or a
 *   later announcement has superseded it
 */
export default function announceTarget(
  state: DirectoryState,
  announcement: TargetAnnouncement,
  nowMs: number,
): AnnouncementResult {
  const known = state.entries.get(announcement.id);
  if (known === undefined) return publish(state, createRecord(state, announcement), nowMs);
  const { record } = known;
  if (record.retiredStartIds.includes(announcement.startId)) {
    return fail('invalidAnnouncement', `start id "${announcement.startId}" has been replaced or withdrawn`);
  }
  if (record.announcement.startId === announcement.startId) {
    return updateSameStart(state, known, announcement, nowMs);
  }
  return publish(state, {
    ...createRecord(state, announcement),
    generation: record.generation + 1,
    retiredStartIds: addRetiredStartId(record),
  }, nowMs);
}
