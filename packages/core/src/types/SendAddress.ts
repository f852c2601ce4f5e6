/** Address that requests are sent to, of a target or another entry. */
interface SendAddress {
  readonly address: string;
  /** Maximum number of connections that all entries together may open. */
  readonly connectionLimit: number;
}

export default SendAddress;
