import type PlacedTarget from './PlacedTarget';

/**
 * Returns whether nothing speaks against a path to a target. A request that is sent without a path
 * cannot be taken back, so a target that has left a probe unanswered gets none before it answers.
 *
 * @param target - the target
 * @returns false if a probe is unanswered or has failed since the target last answered
 */
export default function isConfirmed(target: PlacedTarget): boolean {
  const { unansweredProbes, probeSentAtMs, lastAnswerAtMs } = target;
  return unansweredProbes === 0 && (probeSentAtMs === undefined || lastAnswerAtMs >= probeSentAtMs);
}
