import rankMember from '../ownership/rankMember';
import type AvoidedPeer from './AvoidedPeer';
import type EntryPeer from './EntryPeer';
import relayLimits from './relayLimits';

interface PeerContext {
  /** This entry. */
  readonly own: EntryPeer;
  /** The only regions to which the request may be sent; undefined if every region may get it. */
  readonly homeRegions: readonly string[] | undefined;
  /** Entries that have not taken a request lately, by name. */
  readonly avoided: ReadonlyMap<string, AvoidedPeer>;
  /** Relayed requests of this entry in progress, by name of the entry that serves them. */
  readonly inProgress: ReadonlyMap<string, number>;
  readonly nowMs: number;
}

function distance(own: EntryPeer, peer: EntryPeer): number {
  if (peer.dataCentre === own.dataCentre) return 0;
  return peer.region === own.region ? 1 : 2;
}

/** Ranks entries that have all refused: the longer ago, the more may have changed. */
function rankRefusing<Peer extends EntryPeer>(
  peers: readonly Peer[],
  findAvoided: (peer: Peer) => AvoidedPeer | undefined,
  nowMs: number,
): Peer[] {
  const { firmAskAgainMs, maxAskedAgain } = relayLimits;
  const sinceMs = (peer: Peer): number => findAvoided(peer)?.sinceMs ?? -Infinity;
  return peers.filter((peer) => nowMs - sinceMs(peer) >= firmAskAgainMs)
    .sort((a, b) => sinceMs(a) - sinceMs(b))
    .slice(0, maxAskedAgain);
}

/**
 * Ranks the entries that may be asked to serve a request of this entry: near ones first, and a few
 * of each data centre, as a data centre may be cut off as a whole. A hash of both names makes
 * different entries prefer different ones, so that those cut off together spread over the others.
 *
 * @param entries - the entries of the system
 * @param context - what decides for this request
 * @returns the entries to ask, in order
 */
export default function rankPeers<Peer extends EntryPeer>(
  entries: readonly Peer[],
  context: PeerContext,
): Peer[] {
  const {
    own, homeRegions, avoided, inProgress, nowMs,
  } = context;
  const findAvoided = ({ name }: EntryPeer): AvoidedPeer | undefined => {
    const known = avoided.get(name);
    return known !== undefined && known.untilMs > nowMs ? known : undefined;
  };
  const isDoubtful = (peer: EntryPeer): number => Number(findAvoided(peer) !== undefined);
  const allowed = entries.filter((peer) => peer.name !== own.name
    && (homeRegions === undefined || homeRegions.includes(peer.region)));
  const willing = allowed.filter((peer) => findAvoided(peer)?.isFirm !== true);
  if (willing.length === 0) return rankRefusing(allowed, findAvoided, nowMs);
  const ranked = willing
    .map((peer) => ({
      peer,
      isDoubtful: isDoubtful(peer),
      distance: distance(own, peer),
      rank: rankMember(peer.name, own.name),
    }))
    .sort((a, b) => (
      a.isDoubtful - b.isDoubtful || a.distance - b.distance || b.rank - a.rank));
  const { preferredPerDataCentre, askedPerDataCentre, maxAsked } = relayLimits;
  const byDataCentre = new Map<string, Peer[]>();
  ranked.forEach(({ peer }) => {
    const preferred = byDataCentre.get(peer.dataCentre) ?? [];
    if (preferred.length < preferredPerDataCentre) preferred.push(peer);
    byDataCentre.set(peer.dataCentre, preferred);
  });
  const load = ({ name }: Peer): number => inProgress.get(name) ?? 0;
  return [...byDataCentre.values()]
    .flatMap((peers) => peers
      .sort((a, b) => isDoubtful(a) - isDoubtful(b) || load(a) - load(b))
      .slice(0, askedPerDataCentre))
    .sort((a, b) => isDoubtful(a) - isDoubtful(b))
    .slice(0, maxAsked);
}
