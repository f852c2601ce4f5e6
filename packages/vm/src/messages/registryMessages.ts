import * as z from 'zod';

import RegisteredTarget from '@guavayard/core/registry/RegisteredTarget';
import Declaration from '@guavayard/core/registry/Declaration';
import Name from '@guavayard/core/types/Name';

import VmLocation from '../registry/VmLocation';

/** Messages by which entries learn what control replicates. */
const registryMessages = [
  /** An entry asks whether a control VM is current; pulses follow. */
  z.strictObject({ kind: z.literal('registryAsk') }),
  /** An entry asks for the whole registry and for all changes from then on. */
  z.strictObject({ kind: z.literal('registrySubscribe') }),
  /** The whole registry as it was applied up to an index of the log. */
  z.strictObject({
    kind: z.literal('registryView'),
    index: z.int().min(0),
    declaration: Declaration.optional(),
    evacuated: z.array(Name),
    targets: z.array(RegisteredTarget),
  }),
  /** What has changed since the view or the update before; parts left out have not. */
  z.strictObject({
    kind: z.literal('registryUpdate'),
    index: z.int().min(0),
    declaration: Declaration.optional(),
    evacuated: z.array(Name).optional(),
    targets: z.array(RegisteredTarget),
    removedIds: z.array(z.string()),
  }),
  /** Tells a subscriber whether the control VM still hears the leader. */
  z.strictObject({ kind: z.literal('registryPulse'), isCurrent: z.boolean() }),
  /** A control VM tells the leader which targets and entries it has heard. */
  z.strictObject({
    kind: z.literal('presence'), targetIds: z.array(z.string()), entries: z.array(VmLocation),
  }),
  /** All control VMs and entries, as the leader knows them. */
  z.strictObject({
    kind: z.literal('roster'), controls: z.array(VmLocation), entries: z.array(VmLocation),
  }),
  /**
   * A target crashed while it ran a request. An entry tells the control VM that it follows, which
   * tells the other control VMs, and each of them its subscribers.
   */
  z.strictObject({
    kind: z.literal('crashReport'), fingerprint: z.string(), isRelayed: z.boolean(),
  }),
] as const;

export default registryMessages;
