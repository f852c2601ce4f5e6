import selectCandidates from '@guavayard/core/placement/selectCandidates';
import relayLimits from '@guavayard/core/relay/relayLimits';
import type RelayRefusal from '@guavayard/core/relay/RelayRefusal';

import type Placement from './Placement';
import type TargetPool from './TargetPool';
import type TargetProber from './TargetProber';

/** Age up to which an answer of a target shows that the service can be reached, in milliseconds. */
const RECENT_ANSWER_MS = 300;
/** Targets that are probed if there is no such answer. */
const PROBED_TARGETS = 3;
/** Longest wait for an answer of targets in the same region, in milliseconds. */
const NEAR_WAIT_MS = 25;
/** Longest wait for an answer of targets in other regions, in milliseconds. */
const FAR_WAIT_MS = 50;

interface RelayAdmissionOptions {
  readonly pool: TargetPool;
  readonly prober: TargetProber;
  readonly placement: Placement;
  /** Returns the version of the declaration in force, undefined if there is none. */
  readonly version: () => number | undefined;
}

/**
 * Decides whether this entry takes a request that another one cannot send to any target.
 *
 * Load pattern: most entries lose their targets at once. One that has not noticed yet must not take
 * requests of the others, so each must hear from a target before it agrees.
 */
export default class RelayAdmission {
  constructor(private readonly options: RelayAdmissionOptions) {}

  /**
   * Decides on a request.
   *
   * @param service - its service
   * @param version - version of the declaration by which the other entry matched it
   * @param respond - called once, with the reason of a refusal or undefined
   */
  decide(
    service: string,
    version: number,
    respond: (refusal: RelayRefusal | undefined) => void,
  ): void {
    const { pool: { paths }, placement } = this.options;
    if (this.options.version() !== version) respond('version');
    else if (paths.isCutOff(service)) respond('unreachable');
    else if (placement.waitingFor(service) >= relayLimits.busyQueue) respond('busy');
    else if (paths.reachability.hasAnsweredWithin(service, RECENT_ANSWER_MS)) respond(undefined);
    else this.probe(service, respond);
  }

  private probe(
    service: string,
    respond: (refusal: RelayRefusal | undefined) => void,
  ): void {
    const { pool, prober } = this.options;
    const { reachability } = pool.paths;
    const eligible = pool.findEligible(service, undefined, []);
    const near = eligible.filter((target) => pool.isNear(target));
    const targets = selectCandidates(near.length > 0 ? near : eligible, PROBED_TARGETS, 0);
    let isDecided = false;
    let timer: NodeJS.Timeout | undefined;
    const decide = (): void => {
      if (isDecided) return;
      isDecided = true;
      clearTimeout(timer);
      const isSilent = targets.length > 0
        && targets.every((target) => reachability.isSilent(target));
      if (reachability.hasAnsweredWithin(service, RECENT_ANSWER_MS)) respond(undefined);
      // A late answer is no evidence of a lost path: the same entry may be asked again soon.
      else respond(isSilent || pool.paths.isCutOff(service) ? 'unreachable' : 'busy');
    };
    const pending = prober.probe(targets, (left) => {
      if (left === 0 || reachability.hasAnsweredWithin(service, RECENT_ANSWER_MS)) decide();
    });
    if (pending === 0) decide();
    else timer = setTimeout(decide, near.length > 0 ? NEAR_WAIT_MS : FAR_WAIT_MS);
  }
}
