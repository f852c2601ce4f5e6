import type Random from '@guavayard/core/types/Random';

import type ObservedLoads from './ObservedLoads';

/** What a baseline's chooser may ask. */
interface ChooserContext {
  readonly countInFlight: (targetId: string) => number;
  readonly random: Random;
  readonly loads: ObservedLoads;
}

export default ChooserContext;
