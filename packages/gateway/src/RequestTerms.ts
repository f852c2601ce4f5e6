/** What a caller says about its request besides method, path and body. */
interface RequestTerms {
  readonly requestId: string | undefined;
  /** How long the caller will wait, in milliseconds; undefined if it does not say. */
  readonly remainingMs: number | undefined;
  /** Host of the request, in lower case and without a port. */
  readonly host: string;
}

export default RequestTerms;
