/** Address that requests are sent to, of a target or another entry. */
interface SendAddress {
  readonly address: string;
  /** Most connections that may carry requests to it; a probe may have one beside them. */
  readonly connectionLimit: number;
}

export default SendAddress;
