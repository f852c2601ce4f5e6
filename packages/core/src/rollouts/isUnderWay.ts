import type Rollout from './Rollout';

/**
 * @param rollout - a roll-out
 * @returns whether it has neither been completed nor rolled back
 */
export default function isUnderWay({ phase }: Pick<Rollout, 'phase'>): boolean {
  return phase === 'running' || phase === 'switching';
}
