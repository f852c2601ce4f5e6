import type Random from '@guavayard/core/types/Random';

import type ObservedLoads from './ObservedLoads';

/** Inputs that are available to the chooser of a baseline policy. */
interface ChooserContext {
  readonly countInFlight: (targetId: string) => number;
  readonly random: Random;
  readonly loads: ObservedLoads;
}

export default ChooserContext;
