import createColdRamp from '../coldstart/createColdRamp';
import connectionLimits from '../connections/connectionLimits';
import type DataCentreRamp from '../limits/DataCentreRamp';
import type TokenBucket from '../limits/TokenBucket';
import type Candidate from '../routing/Candidate';
import type SchedulingOptions from '../scheduling/SchedulingOptions';
import type TargetState from '../scheduling/TargetState';
import type TargetTable from '../scheduling/TargetTable';
import type KnownTarget from '../types/KnownTarget';
import type Random from '../types/Random';
import estimateInFlight from './estimateInFlight';
import estimateSlowness from './estimateSlowness';
import type Selection from './Selection';
import type SelectionRequest from './SelectionRequest';

/** A hedge is not sent to a target that is more than this many times slower than its peers. */
const MAX_HEDGE_SLOWNESS = 2;

/** Selects the target with the lowest expected response time among those with free capacity. */
export default class TargetSelector {
  constructor(
    private readonly entryName: string,
    private readonly targets: TargetTable,
    private readonly dataCentres: DataCentreRamp,
    private readonly remoteBytes: TokenBucket,
    private readonly options: SchedulingOptions,
    private readonly random: Random,
  ) {}

  /**
   * Selects a target.
   *
   * @param request - the attempt and the candidates
   * @returns the target, or undefined if none has free capacity
   */
  select(request: SelectionRequest): Selection | undefined {
    let best: Selection | undefined;
    let bestMs = Infinity;
    const { candidates } = request;
    const mayUseRemote = this.mayUseRemote(request);
    for (let index = 0; index < candidates.length; index += 1) {
      const candidate = candidates[index] as Candidate;
      if (mayUseRemote || candidate.distance !== 'remote') {
        const state = this.targets.stateOf(candidate.target);
        const costMs = this.estimateCostMs(candidate, state, request);
        if (costMs < bestMs) {
          best = { candidate, state };
          bestMs = costMs;
        }
      }
    }
    return best;
  }

  /**
   * Finds a cold target to relay an attempt for, if all candidates are cold and none of them is
   * owned by this entry. Only the owner of a cold target may send to it.
   *
   * @param candidates - the candidates of an attempt
   * @returns a cold target that another entry owns, or undefined
   */
  findRelayTarget(candidates: readonly Candidate[]): KnownTarget | undefined {
    if (!candidates.every(({ target }) => this.isReservedForOwner(target))) return undefined;
    const owned = candidates.filter(({ target }) => target.owner !== undefined);
    if (owned.some(({ target }) => target.owner === this.entryName)) return undefined;
    return owned[Math.floor(this.random() * owned.length)]?.target;
  }

  private isReservedForOwner(target: KnownTarget): boolean {
    return target.state === 'cold' && !this.targets.stateOf(target).isWarm;
  }

  private estimateCostMs(
    candidate: Candidate,
    state: TargetState,
    request: SelectionRequest,
  ): number {
    const { target, distance } = candidate;
    const { service, nowMs } = request;
    if (request.triedTargetIds.includes(target.id)) return Infinity;
    const { medianMs } = service.latencies;
    const roundTripMs = this.options.roundTripMs[distance];
    if (target.state === 'cold' && !state.isWarm) {
      return this.hasColdCapacity(target, state, request) ? roundTripMs + medianMs : Infinity;
    }
    if (service.outliers.isEjected(target.id, nowMs)) return Infinity;
    // An attempt without a connection is not sent.
    const connections = Math.min(target.connectionLimit, connectionLimits.maxPerTarget);
    if (state.outstanding.size >= connections) return Infinity;
    const inFlight = estimateInFlight(state, this.options, nowMs);
    if (!this.hasCapacity(candidate, state.affinity, inFlight, request)) return Infinity;
    const slowness = estimateSlowness(state, service.latencies, this.options, nowMs);
    if (request.isHedge && slowness > MAX_HEDGE_SLOWNESS) return Infinity;
    const queueing = Math.max(0, inFlight + 1 - target.slots) / target.slots;
    const preference = state.affinity * this.options.affinityWeight
      + this.random() * this.options.randomWeight + inFlight / target.slots;
    return roundTripMs + medianMs * (slowness * (1 + queueing) + preference);
  }

  private hasColdCapacity(
    target: KnownTarget,
    state: TargetState,
    request: SelectionRequest,
  ): boolean {
    if (target.owner !== this.entryName || request.isHedge) return false;
    const ramp = state.coldRamp ?? createColdRamp();
    state.coldRamp = ramp;
    return state.outstanding.size < ramp.limit && request.nowMs >= ramp.backoffUntilMs;
  }

  private hasCapacity(
    candidate: Candidate,
    affinity: number,
    inFlight: number,
    request: SelectionRequest,
  ): boolean {
    const { target, distance } = candidate;
    const queue = request.isHedge || distance === 'remote' ? 0 : this.options.targetQueue;
    const share = this.dataCentres.shareOf(target.dataCentre, request.nowMs);
    if (share === 1) return inFlight < target.slots + queue;
    // While a data centre returns, each entry uses a growing subset of its targets, by affinity.
    return inFlight < Math.ceil(target.slots * share) && affinity < share;
  }

  private mayUseRemote(request: SelectionRequest): boolean {
    if (request.isHedge || this.remoteBytes.available(request.nowMs) <= 0) return false;
    return request.waitedMs >= this.options.roundTripMs.remote
      || request.candidates.every((candidate) => candidate.distance === 'remote');
  }
}
