/** The request line and headers of a request that a `RawTarget` received. */
interface RawRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: ReadonlyMap<string, string>;
}

export default RawRequest;
