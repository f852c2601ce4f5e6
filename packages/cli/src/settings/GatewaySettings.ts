import * as z from 'zod';

import HostPort from '@guavayard/core/types/HostPort';
import ExternalName from '@guavayard/core/types/ExternalName';
import TlsFiles from '@guavayard/vm/session/TlsFiles';

const Port = z.int().min(1).max(65535);
const Seconds = z.number().min(0);

/** Settings of one VM in declared mode, read from its TOML file. */
const GatewaySettings = z.object({
  /** Distinguishes these settings from those of a system that is configured by patches. */
  mode: z.literal('declared'),
  vm: z.object({
    /** Memory of the VM, in megabytes, from which the account of held bytes is derived. */
    memoryMb: z.number().positive().optional(),
    /** Descriptors that the process may have open, from which the connections are derived. */
    maxFds: z.int().positive().optional(),
    /** Human-readable name; VMs identify each other by IP address. */
    label: ExternalName,
    ip: z.ipv4(),
    region: ExternalName,
    dataCentre: ExternalName,
    /** Whether connections to targets are opened from `ip`, so that targets can tell VMs apart. */
    bindsToIp: z.boolean().default(false),
    /** Port for sessions between VMs, the same on all VMs. */
    sessionPort: Port,
    /** Control VMs through which the other VMs are discovered; only the IP addresses are used. */
    seeds: z.array(HostPort).min(1),
    /** Whether the system as a whole starts for the first time. */
    isFirstStart: z.boolean(),
    /**
     * File with the key that all VMs share, of 16 characters or more. Without it, the variable
     * GUAVAYARD_SESSION_KEY holds the key; without both, sessions are open to anyone.
     */
    keyFile: z.string().min(1).optional(),
    /** PEM files for mutual TLS between the VMs; without them, sessions are not encrypted. */
    tls: TlsFiles.optional(),
  }),
  /** Region of each data centre. */
  regions: z.record(ExternalName, ExternalName),
  /** Role `entry`: listeners for callers and for readiness checks. */
  entry: z.object({ callers: HostPort, readiness: HostPort }).optional(),
  /** Role `control`: listener for operators and targets, and the data folder. */
  control: z.object({ listen: HostPort, folder: z.string().min(1) }).optional(),
  bounds: z.object({
    /** Number of VMs with a data folder that may be lost at the same time. */
    lostVms: z.int().min(0),
    targetHeartbeatSeconds: Seconds,
    /** Maximum time from SIGTERM to the end of the process, in seconds. */
    graceSeconds: Seconds,
    retryRatio: z.number().min(0),
    retryWindowSeconds: Seconds,
    retrySlack: z.number().min(0),
    coldBurstFactor: z.number().min(0),
    coldSlack: z.number().min(0),
    probesPerSecond: z.number().min(0),
  }),
  /** Second attempts of requests that are late; without a share, no request is hedged. */
  hedging: z.object({
    /** Hedges for each first request of a service, at most; they also need the retry budget. */
    share: z.number().min(0).max(1).optional(),
  }).default({}),
  /** Revocation of keys within a bound, at every entry; without it, entries use what they know. */
  revocation: z.object({
    /** Time after which a key that a configuration has taken away works at no entry, in seconds. */
    seconds: z.number().positive(),
  }).optional(),
  /** Limits of tenants over all entries; without them, rates of tenants are not limits. */
  quota: z.object({
    /** Window in which the requests of a tenant are bounded, in seconds. */
    windowSeconds: z.number().positive(),
    /** Tolerated requests beyond rate and burst in a window, as a share of them. */
    overage: z.number().min(0),
    /** Tolerated requests beyond that. */
    slack: z.number().min(0),
  }).optional(),
  /**
   * How versions of services are brought in by degrees. Without it they are not, and versions of
   * targets are not recorded, so that an older build can read the log.
   */
  rollout: z.object({
    /**
     * Largest share of the requests to a service that a bad version may get between an order and
     * its deadline.
     */
    share: z.number().gt(0).lt(1).default(0.1),
    /** Requests beyond the share that a bad version may get, for messages that come late. */
    slack: z.number().min(0).default(50),
    /**
     * Longest time for which a version that turns out to be bad gets requests, in seconds. An entry
     * without control sends it none after half of that.
     */
    rollbackSeconds: z.number().gt(0).default(5),
  }).optional(),
  /** Listener that serves metrics; without it none are served. */
  metrics: z.object({ listen: HostPort }).optional(),
  log: z.object({ level: z.enum(['debug', 'info', 'warn', 'error']) }).default({ level: 'info' }),
});
type GatewaySettings = z.infer<typeof GatewaySettings>;

export default GatewaySettings;
