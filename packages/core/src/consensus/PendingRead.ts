/** Read that waits until a quorum has responded to its heartbeat round. */
interface PendingRead {
  readonly token: number;
  readonly index: number;
  readonly round: number;
}

export default PendingRead;
