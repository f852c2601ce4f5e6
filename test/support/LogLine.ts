/** A line of a VM's log, with the fields that tests read. */
interface LogLine {
  readonly msg: string;
  readonly listener?: string;
  readonly address?: string;
  readonly version?: number;
  readonly failure?: string;
}

export default LogLine;
