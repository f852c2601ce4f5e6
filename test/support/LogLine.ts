/** A JSON line of a VM's log, limited to the fields that tests read. */
interface LogLine {
  readonly msg: string;
  readonly listener?: string;
  readonly address?: string;
  readonly version?: number;
  readonly failure?: string;
}

export default LogLine;
