/** The reports that VMs sent in response to one request. */
interface GatheredReports<Report> {
  readonly reports: readonly Report[];
  /** Names of the VMs that did not respond in time. */
  readonly silent: readonly string[];
}

export default GatheredReports;
