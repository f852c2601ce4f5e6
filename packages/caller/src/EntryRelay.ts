/** Why a request is relayed to another entry. */
type RelayReason = 'home' | 'owner';

/** Finds and authenticates the entries that requests are relayed between. */
interface EntryRelay {
  /** Region of this entry. */
  readonly region: string;
  /**
   * @param regions - regions to search
   * @returns the caller-facing addresses of their entries, in the order to try them
   */
  findEntries: (regions: readonly string[]) => readonly string[];
  /**
   * @param name - name of an entry
   * @returns its caller-facing address; undefined if unknown
   */
  addressOf: (name: string) => string | undefined;
  /**
   * @param reason - why the request is relayed
   * @param requestId - id of the request
   * @returns the value of the relay header, which only an entry can create
   */
  sign: (reason: RelayReason, requestId: string) => string;
  /**
   * @param header - value of the relay header
   * @param requestId - id of the request
   * @returns why another entry relayed the request; undefined if none did
   */
  verify: (header: string | undefined, requestId: string) => RelayReason | undefined;
}

export default EntryRelay;
