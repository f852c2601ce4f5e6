import * as z from 'zod';

import RegisteredTarget from '@guavayard/core/registry/RegisteredTarget';
import RequestLimitNotice from '@guavayard/core/requestLimit/RequestLimitNotice';
import Declaration from '@guavayard/core/registry/Declaration';
import RolloutNotice from '@guavayard/core/rollouts/RolloutNotice';
import ExternalName from '@guavayard/core/types/ExternalName';

import VmLocation from '../registry/VmLocation';

/** Messages by which control VMs publish the registry to entries. */
const registryMessages = [
  /** An entry asks whether a control VM is current. The control VM then sends periodic pulses. */
  z.strictObject({ kind: z.literal('registryAsk') }),
  /** An entry subscribes: it requests the complete registry and all later changes. */
  z.strictObject({ kind: z.literal('registrySubscribe') }),
  /** The complete registry as applied up to an index of the log. */
  z.strictObject({
    kind: z.literal('registryView'),
    index: z.int().min(0),
    declaration: Declaration.optional(),
    evacuated: z.array(ExternalName),
    targets: z.array(RegisteredTarget),
    /** The last roll-out of each service. From version 5 on. */
    rollouts: z.array(RolloutNotice).optional(),
  }),
  /** Changes since the previous view or update; omitted fields are unchanged. */
  z.strictObject({
    kind: z.literal('registryUpdate'),
    index: z.int().min(0),
    declaration: Declaration.optional(),
    evacuated: z.array(ExternalName).optional(),
    targets: z.array(RegisteredTarget),
    removedIds: z.array(z.string()),
    rollouts: z.array(RolloutNotice).optional(),
  }),
  /** Reports whether the control VM leads or still receives messages from the leader. */
  z.strictObject({ kind: z.literal('registryPulse'), isCurrent: z.boolean() }),
  /**
   * An entry asks the control VM that it follows whether it holds all that was acknowledged before
   * this question. From version 5 on.
   */
  z.strictObject({ kind: z.literal('currencyAsk'), number: z.int().min(0) }),
  /** The entry does, once it has processed what was sent before this answer. From version 5 on. */
  z.strictObject({ kind: z.literal('currencyAnswer'), number: z.int().min(0) }),
  /** A control VM asks the leader for a read point. From version 5 on. */
  z.strictObject({ kind: z.literal('readPointAsk'), number: z.int().min(0) }),
  /**
   * Index of the log that includes all that was acknowledged before the question, after a quorum
   * has confirmed the leader. From version 5 on.
   */
  z.strictObject({
    kind: z.literal('readPoint'), number: z.int().min(0), index: z.int().min(0),
  }),
  /** A control VM reports to the leader which targets and entries have contacted it. */
  z.strictObject({
    kind: z.literal('presence'), targetIds: z.array(z.string()), entries: z.array(VmLocation),
  }),
  /** All control VMs and entries known to the leader. */
  z.strictObject({
    kind: z.literal('roster'), controls: z.array(VmLocation), entries: z.array(VmLocation),
  }),
  /**
   * A target crashed while it ran a request. An entry reports this to the control VM that it
   * follows, which relays it to the other control VMs; each control VM sends it to its subscribers.
   */
  z.strictObject({
    kind: z.literal('crashReport'), fingerprint: z.string(), isRelayed: z.boolean(),
  }),
  /**
   * The same as `crashReport`, with the target, so that the reports of several entries on one end
   * of a target count as one.
   */
  z.strictObject({
    kind: z.literal('targetCrashed'),
    fingerprint: z.string(),
    targetId: z.string().min(1).max(128),
    isRelayed: z.boolean(),
  }),
  /**
   * A target has answered a request for which crashes were reported. It takes the same way as they
   * do, and clears the request of those at all VMs.
   */
  z.strictObject({
    kind: z.literal('requestAnswered'), fingerprint: z.string(), isRelayed: z.boolean(),
  }),
  /**
   * An incarnation of a target says in its responses that it is about to leave. An entry tells the
   * control VM that it follows, which registers the target as draining.
   */
  z.strictObject({
    kind: z.literal('targetLeaving'), targetId: z.string().min(1).max(128), bornAtMs: z.number(),
  }),
  /**
   * Limits that targets name on the requests of all entries together. An entry tells the control VM
   * that it follows, which relays them to the other control VMs; each control VM sends them to its
   * subscribers.
   */
  z.strictObject({
    kind: z.literal('requestLimits'),
    notices: z.array(RequestLimitNotice),
    isRelayed: z.boolean(),
  }),
] as const;

export default registryMessages;
