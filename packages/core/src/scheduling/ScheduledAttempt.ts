/** An attempt that was handed to the scheduler. */
interface ScheduledAttempt {
  /** Leaves the queue. Does nothing once the decision has been given. */
  cancel: () => void;
}

export default ScheduledAttempt;
