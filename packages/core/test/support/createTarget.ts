import createPlacedTarget from '../../src/placement/createPlacedTarget';
import type LoadReading from '../../src/placement/LoadReading';
import type PlacedTarget from '../../src/placement/PlacedTarget';

/**
 * Creates a target for tests of target placement.
 *
 * @param id - its id
 * @param reading - load reported at time 0; undefined if the target reported none
 * @param slots - its number of slots
 * @returns the target
 */
export default function createTarget(
  id: string,
  reading?: Partial<LoadReading>,
  slots = 2,
): PlacedTarget {
  const target = createPlacedTarget({
    id,
    service: 'lots',
    address: `10.0.0.1:${8000 + id.length}`,
    dataCentre: 'cork',
    slots,
    state: 'ready',
    bornAtMs: 0,
    sequence: 1,
    coldLeftMs: 0,
  }, 'munster', 'entry-1');
  if (reading === undefined) return target;
  target.reading = {
    running: 0, waiting: 0, slots, slowness: 1, sentAtMs: 0, atMs: 0, ...reading,
  };
  return target;
}
