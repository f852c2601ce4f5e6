/** An entry of the system, as the roster of control lists it. */
interface EntryLocation {
  readonly name: string;
  readonly region: string;
}

export default EntryLocation;
