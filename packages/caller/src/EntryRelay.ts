/** Why a request is handed to another entry. */
type RelayReason = 'home' | 'owner';

/** Knows the entries that requests can be handed to. */
interface EntryRelay {
  /** Region of this entry. */
  readonly region: string;
  /**
   * @param regions - regions of the entries
   * @returns the callers' addresses of the entries there, in the order to be tried
   */
  findEntries: (regions: readonly string[]) => readonly string[];
  /**
   * @param name - name of an entry
   * @returns its callers' address, undefined if it is not known
   */
  addressOf: (name: string) => string | undefined;
  /**
   * @param reason - why the request is handed on
   * @param requestId - id of the request
   * @returns the value of the relay header, which only an entry can make
   */
  sign: (reason: RelayReason, requestId: string) => string;
  /**
   * @param header - value of the relay header
   * @param requestId - id of the request
   * @returns why another entry handed the request on, undefined if none did
   */
  verify: (header: string | undefined, requestId: string) => RelayReason | undefined;
}

export default EntryRelay;
