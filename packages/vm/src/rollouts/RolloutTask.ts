import type Logger from 'bunyan';

import type RegistryChange from '@guavayard/core/registry/RegistryChange';
import CountCollector from '@guavayard/core/rollouts/CountCollector';
import decideRolloutStep from '@guavayard/core/rollouts/decideRolloutStep';
import isUnderWay from '@guavayard/core/rollouts/isUnderWay';
import type Rollout from '@guavayard/core/rollouts/Rollout';
import VersionJudge from '@guavayard/core/rollouts/VersionJudge';
import type Clock from '@guavayard/core/types/Clock';

import type ConsensusTask from '../control/ConsensusTask';
import type VmMessage from '../messages/VmMessage';
import type RegistryStore from '../registry/RegistryStore';
import type Roster from '../registry/Roster';
import type SessionHandler from '../session/SessionHandler';
import type VmHub from '../session/VmHub';
import type VmSession from '../session/VmSession';
import type RolloutLimits from './RolloutLimits';
import ROLLOUT_VERSION from './rolloutVersion';

type Counts = Extract<VmMessage, { kind: 'rolloutCounts' }>;
type Step = NonNullable<ReturnType<typeof decideRolloutStep>>;

/** Interval at which roll-outs are decided on, in milliseconds. */
const INTERVAL_MS = 100;
/**
 * Interval at which responses are judged, in milliseconds: entries report every 250 ms, and the
 * evidence of one interval is limited.
 */
const JUDGE_INTERVAL_MS = 250;
/**
 * Time after which the leader has the counts of all entries, which report each 250 ms and notice a
 * new control VM after up to 0.8 s. Before, a doubt of the former leader may not be known.
 */
const SETTLE_MS = 1200;
/** Part of the slack that bad responses may use up before a version is rolled back anyway. */
const EXCESS_SHARE = 0.5;

interface RolloutTaskOptions {
  readonly consensus: Pick<ConsensusTask, 'hasCommittedInTerm' | 'isLeader' | 'leaderName' | 'propose'>;
  readonly store: Pick<RegistryStore, 'state' | 'times'>;
  readonly hub: Pick<VmHub, 'protocolVersionOf' | 'send'>;
  readonly log: Logger;
  readonly clock: Clock;
  readonly limits: RolloutLimits;
  /** Returns the entries of the system, undefined if this VM does not know them. */
  readonly entries: () => Roster['entries'] | undefined;
}

/** What this VM knows of a roll-out as the leader. */
interface Watched {
  readonly number: number;
  readonly collector: CountCollector;
  readonly judge: VersionJudge;
  judgedAtMs: number;
  /** When this VM began to collect the counts, by the monotonic clock. */
  readonly sinceMs: number;
  isProposing: boolean;
}

/**
 * Passes the counts of entries on to the leader. As the leader, it judges versions by them and
 * appends the steps of roll-outs to the log.
 */
export default class RolloutTask implements SessionHandler {
  private readonly watched = new Map<string, Watched>();

  constructor(private readonly options: RolloutTaskOptions) {}

  /** Number of roll-outs that are under way. */
  get underWayCount(): number {
    return Object.values(this.options.store.state.rollouts ?? {}).filter(isUnderWay).length;
  }

  /** @returns the timer that decides at regular intervals */
  start(): NodeJS.Timeout {
    return setInterval(() => this.tick(), INTERVAL_MS);
  }

  onOpen(): void {}

  onMessage(_session: VmSession, message: VmMessage): void {
    if (message.kind !== 'rolloutCounts') return;
    if (this.options.consensus.isLeader) this.record(message);
    else this.relay(message);
  }

  onClose(): void {}

  /** Decides on the roll-outs that are under way, if this VM leads. */
  tick(): void {
    const { consensus, store } = this.options;
    if (!consensus.hasCommittedInTerm) {
      // Entries report all that they have counted, so a VM that leads again starts anew.
      this.watched.clear();
      return;
    }
    Object.entries(store.state.rollouts ?? {}).forEach(([service, rollout]) => {
      if (isUnderWay(rollout)) this.decide(service, rollout);
      else this.watched.delete(service);
    });
  }

  private relay(message: Counts): void {
    const { consensus: { leaderName }, hub } = this.options;
    // A VM that was told to be the leader and is not does not send it back.
    if (message.isRelayed || leaderName === undefined) return;
    if (hub.protocolVersionOf(leaderName) < ROLLOUT_VERSION) return;
    hub.send(leaderName, { ...message, isRelayed: true });
  }

  private record({ entry, counts }: Counts): void {
    const rollout = this.options.store.state.rollouts?.[counts.service];
    if (rollout?.number !== counts.number || !isUnderWay(rollout)) return;
    this.watch(counts.service, rollout).collector.record(entry, counts, this.options.clock());
  }

  private watch(service: string, { number }: Rollout): Watched {
    const known = this.watched.get(service);
    if (known?.number === number) return known;
    const watched: Watched = {
      number,
      collector: new CountCollector(),
      judge: new VersionJudge(),
      judgedAtMs: -Infinity,
      sinceMs: this.options.clock(),
      isProposing: false,
    };
    this.watched.set(service, watched);
    return watched;
  }

  private decide(service: string, rollout: Rollout): void {
    const {
      store, clock, limits, entries,
    } = this.options;
    const watched = this.watch(service, rollout);
    const { collector, judge } = watched;
    const nowMs = clock();
    if (nowMs - watched.judgedAtMs >= JUDGE_INTERVAL_MS) {
      watched.judgedAtMs = nowMs;
      judge.judge(collector.takeResponses(), nowMs, rollout.phase === 'switching');
    }
    if (watched.isProposing) return;
    const step = decideRolloutStep({
      rollout,
      maxShare: limits.share,
      elapsedMs: store.times.elapsedMs(store.state, service),
      isBad: judge.isBad || judge.excessCount >= limits.slack * EXCESS_SHARE,
      isGood: judge.isGood && nowMs - watched.sinceMs >= SETTLE_MS,
      traffic: collector.traffic,
      isDrained: collector.isDrained((entries() ?? []).map(({ name }) => name), nowMs),
    });
    if (step !== undefined) this.propose(service, rollout, watched, step);
  }

  private propose(service: string, rollout: Rollout, watched: Watched, step: Step): void {
    const { consensus, log, store } = this.options;
    const state = watched;
    const { judge: { responseCount, strongest }, collector: { traffic } } = watched;
    const { number, targetVersion } = rollout;
    state.isProposing = true;
    consensus.propose({ kind: 'registry', change: RolloutTask.createChange(service, number, step) })
      .then((isCommitted) => {
        log.info({
          service,
          targetVersion,
          step: step.kind,
          ...(step.kind === 'rollBack' ? { reason: step.reason } : {}),
          isCommitted,
          elapsedMs: Math.round(store.times.elapsedMs(store.state, service)),
          responses: responseCount,
          evidence: strongest,
          ...traffic,
        }, 'roll-out');
      }, (err: Error) => log.error({ err }, 'failed to append a step of a roll-out'))
      .finally(() => {
        state.isProposing = false;
      });
  }

  private static createChange(service: string, number: number, step: Step): RegistryChange {
    if (step.kind === 'complete') return { kind: 'completeRollout', service, number };
    if (step.kind === 'rollBack') return { kind: 'rollBackRollout', service, number };
    return {
      kind: 'switchRollout', service, number, afterMs: step.afterMs,
    };
  }
}
