import type TargetSender from '@guavayard/core/dispatch/TargetSender';
import type ByteBudget from '@guavayard/core/limits/ByteBudget';
import type RequestRelay from '@guavayard/core/relay/RequestRelay';
import type Clock from '@guavayard/core/types/Clock';

import type CrashWatch from './CrashWatch';
import type Dialect from './Dialect';
import type KeyGate from './KeyGate';
import type Placement from './Placement';
import type QuotaGate from './QuotaGate';
import type RequestLog from './RequestLog';
import type TargetProber from './TargetProber';
import type TargetPool from './TargetPool';

/** The components of the entry that an exchange depends on. */
interface ExchangeDependencies {
  readonly clock: Clock;
  readonly dialect: Dialect;
  readonly sender: TargetSender;
  readonly pool: TargetPool;
  readonly placement: Placement;
  readonly prober: TargetProber;
  readonly crashes: CrashWatch;
  /** Decides which tenant a request is of, and whether it may be sent. */
  readonly keys: KeyGate;
  readonly log: RequestLog;
  /** Bounds the response bytes that all exchanges of the entry buffer. */
  readonly responseBytes: ByteBudget;
  /** Bounds the bytes of bodies that are read while their requests wait for a target. */
  readonly requestBytes: ByteBudget;
  /** Relays requests whose targets cannot be reached to other entries. */
  readonly relay: RequestRelay;
  /** Admits requests of tenants within their quotas; undefined if the settings name none. */
  readonly quotas?: QuotaGate | undefined;
  /** Returns the version of the declaration in force, 0 if there is none. */
  readonly version: () => number;
}

export default ExchangeDependencies;
