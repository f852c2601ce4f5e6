/** Metadata of a caller's request, besides method, path and body. */
interface RequestMetadata {
  readonly requestId: string | undefined;
  /** How long the caller will wait, in milliseconds; undefined if it sets no limit. */
  readonly remainingMs: number | undefined;
  /** Host of the request, in lower case and without a port. */
  readonly host: string;
}

export default RequestMetadata;
