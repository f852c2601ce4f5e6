/** Where a request is sent to: a target, or another entry. */
interface SendAddress {
  readonly address: string;
  /** Most connections that all entries together may open. */
  readonly connectionLimit: number;
}

export default SendAddress;
