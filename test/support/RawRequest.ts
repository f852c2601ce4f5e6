/** One request as a raw target received it. */
interface RawRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: ReadonlyMap<string, string>;
}

export default RawRequest;
