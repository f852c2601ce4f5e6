/** The answers of the VMs to one question. */
interface Gathered<Report> {
  readonly reports: readonly Report[];
  /** Names of the VMs that did not answer in time. */
  readonly silent: readonly string[];
}

export default Gathered;
