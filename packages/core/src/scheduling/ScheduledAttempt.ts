/** Handle of an attempt that was passed to the scheduler. */
interface ScheduledAttempt {
  /** Removes the attempt from the queue. Does nothing once it has a decision. */
  cancel: () => void;
}

export default ScheduledAttempt;
