import splitHostPort from '../utils/splitHostPort';
import type RegisteredTarget from './RegisteredTarget';

interface AnnouncementContext {
  /** Names of the data centres; undefined if they are not known. */
  readonly dataCentres: ReadonlySet<string> | undefined;
  /** Time of day, in milliseconds since 1970. */
  readonly nowMs: number;
}

const MAX_PORT = 65_535;
const MAX_OCTET = 255;
/** First octet of the IPv4 addresses that are multicast, reserved or broadcast. */
const FIRST_MULTICAST = 224;
const MAX_SLOTS = 1_000_000;
/** Time by which the clock of a target may be ahead, in milliseconds. */
const MAX_CLOCK_SKEW_MS = 600_000;
const READABLE_ID = /^[\x21-\x7e]+$/;

function isUsableHost(host: string): boolean {
  if (host.includes(':')) return true;
  const octets = host.split('.').map(Number);
  const [first = 0] = octets;
  return octets.every((octet) => octet <= MAX_OCTET) && first > 0 && first < FIRST_MULTICAST;
}

/**
 * Finds what makes an announcement one that no target can have sent, although its fields have the
 * right types. Such an announcement must not displace that of a target.
 *
 * @param target - the announced target
 * @param context - what it is compared with
 * @returns the mistake, undefined if there is none
 */
export default function findAnnouncementMistake(
  target: RegisteredTarget,
  { dataCentres, nowMs }: AnnouncementContext,
): string | undefined {
  const {
    id, address, slots, sequence, bornAtMs, dataCentre, coldLeftMs,
  } = target;
  const { host, port } = splitHostPort(address);
  if (!READABLE_ID.test(id) || id === '__proto__') return 'the id is not a readable text';
  if (port < 1 || port > MAX_PORT) return `port ${port} does not exist`;
  if (!isUsableHost(host)) return `nothing can listen on ${host}`;
  if (!Number.isInteger(slots) || slots < 1 || slots > MAX_SLOTS) return `${slots} slots`;
  if (!Number.isSafeInteger(sequence) || sequence < 0) return `sequence ${sequence}`;
  if (!Number.isSafeInteger(bornAtMs) || bornAtMs < 0) return `start at ${bornAtMs}`;
  if (bornAtMs > nowMs + MAX_CLOCK_SKEW_MS) return 'the start is in the future';
  if (!Number.isFinite(coldLeftMs)) return 'the time until it is warm is not finite';
  if (dataCentres !== undefined && !dataCentres.has(dataCentre)) {
    return `unknown data centre "${dataCentre}"`;
  }
  return undefined;
}
