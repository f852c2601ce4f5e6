/** An answer that the entry itself gives. */
interface FailureAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
}

export default FailureAnswer;
