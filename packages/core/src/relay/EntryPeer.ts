/** Another entry, as the roster of control lists it. */
interface EntryPeer {
  readonly name: string;
  readonly region: string;
  readonly dataCentre: string;
}

export default EntryPeer;
