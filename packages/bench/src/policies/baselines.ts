import type Policy from '../Policy';
import createDirectPolicy from './createDirectPolicy';
import HotColdChooser from './HotColdChooser';
import LeastLoadChooser from './LeastLoadChooser';
import RandomChooser from './RandomChooser';
import RoundRobinChooser from './RoundRobinChooser';

/** Standard policies that the production policy must not be worse than. */
const baselines: readonly Policy[] = [
  createDirectPolicy('random', ({ random }) => new RandomChooser(random)),
  createDirectPolicy('round robin', ({ random }) => new RoundRobinChooser(random)),
  createDirectPolicy('least in flight', ({ countInFlight, random }) => (
    new LeastLoadChooser(countInFlight, random)
  )),
  createDirectPolicy('power of two', ({ countInFlight, random }) => (
    new LeastLoadChooser(countInFlight, random, 2)
  )),
  createDirectPolicy('power of two, reported', ({ countInFlight, random, loads }) => (
    new LeastLoadChooser((id) => Math.max(countInFlight(id), loads.reportedOf(id)), random, 2)
  )),
  createDirectPolicy('hot/cold', ({ countInFlight, loads }) => (
    new HotColdChooser(countInFlight, loads)
  )),
];

export default baselines;
