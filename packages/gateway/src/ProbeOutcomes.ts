/** Counts of the probes that ran into their timeout since the start. */
interface ProbeOutcomes {
  /** Probes that no connection had taken by then, so that the target has not seen them. */
  unwritten: number;
  /** Probes that were written to a connection and not answered. */
  unanswered: number;
}

export default ProbeOutcomes;
