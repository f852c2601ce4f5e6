/** A response that the entry itself creates instead of a target. */
interface FailureResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
}

export default FailureResponse;
