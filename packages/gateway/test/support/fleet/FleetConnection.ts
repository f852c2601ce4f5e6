import type FleetProcess from './FleetProcess';

/** A connection from an entry to a process of a target. */
interface FleetConnection {
  readonly process: FleetProcess;
  /** Tells the entry, after the time that this takes, that the process has closed it. */
  readonly onClosed: () => void;
}

export default FleetConnection;
